"""Executes job requests of clients, or forwards them to another process."""
