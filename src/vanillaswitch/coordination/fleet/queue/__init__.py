"""The queue of waiting tasks: its order, and placement on instances."""
