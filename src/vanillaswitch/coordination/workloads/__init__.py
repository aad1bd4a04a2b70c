"""Placement of jobs on workers: quotas, usage, cordons and task leases."""
