"""Applies configurations and distributes them to all processes."""
