"""Exit codes of the operators' commands and the daemons."""

DONE = 0
REFUSED = 1
USAGE = 2
UNAVAILABLE = 3
BROKEN = 4
"""A daemon found a broken invariant."""
