"""Leader election among the processes, and the owner's tasks and writes."""
