"""Membership, heartbeats and messages between peer processes."""
