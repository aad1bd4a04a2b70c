"""Serves clients' requests about jobs, here or through another process."""
