"""Moves machines between pools and puts them into maintenance."""
