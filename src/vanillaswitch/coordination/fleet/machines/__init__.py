"""Moves machines between pools and orders their maintenance."""
