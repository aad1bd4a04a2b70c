"""Message types, call outcomes and interfaces to external systems."""
