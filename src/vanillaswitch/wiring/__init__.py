"""The composition root: nothing else knows which adapter is behind what."""
