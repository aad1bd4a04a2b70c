"""Tracks what runs on instances and decides which runs start and stop.

One process, the owner, makes these decisions during its term. The package
covers orders to instances, their status reports, ended runs and recovery after
a change of owner. ``scheduler.Scheduler`` combines all of it.
"""
