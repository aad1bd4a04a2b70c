"""Coordination logic: pure functions over typed state, and their tasks."""
