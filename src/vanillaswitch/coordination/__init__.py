"""Decisions: pure functions over typed state, and the tasks around them."""
