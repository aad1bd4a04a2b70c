"""The two daemons of an entry instance."""
