"""Typed messages, outcomes and the interfaces to outside systems."""
