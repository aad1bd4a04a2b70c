"""Runs jobs on the instances of a fleet.

One process of the system owns the fleet at a time. Only the owner starts and
stops tasks, and only it has machines rebooted or moved to another pool. The
other processes accept jobs and forward queries.
"""
