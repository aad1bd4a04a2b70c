"""Refuses submissions that certainly can't be of use, while pools are full."""
