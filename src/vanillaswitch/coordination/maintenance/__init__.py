"""Maintenance waves, budgets, pool moves, spare workers, decision records."""
