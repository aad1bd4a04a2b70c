"""Exit codes of the operators' commands."""

DONE = 0
REFUSED = 1
USAGE = 2
UNAVAILABLE = 3
