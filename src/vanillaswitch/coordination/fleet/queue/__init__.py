"""What waits, in which order, and where it finds room."""
