"""Configuration, table rows and the views that processes hold in memory."""
