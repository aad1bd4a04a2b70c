"""Sockets, HTTP, peer streams and the clients of outside systems."""
