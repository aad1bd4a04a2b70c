"""Taking in jobs, cancels and questions, by this process or another."""
