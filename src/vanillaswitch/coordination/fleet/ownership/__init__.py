"""Elects the process that owns the fleet, and runs its tasks while it does.

The owner is the one process that plans tasks and starts them on instances.
"""
