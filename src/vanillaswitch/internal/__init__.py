"""Helpers that are no part of the public interface."""
