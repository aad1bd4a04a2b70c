"""Machines that change their pool or go into upkeep."""
