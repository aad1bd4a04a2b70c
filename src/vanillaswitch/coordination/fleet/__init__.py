"""Running jobs on the instances of a fleet.

One process of the system owns the fleet at a time. It alone starts and stops
tasks and orders machines; the others take in jobs and pass questions on.
"""
