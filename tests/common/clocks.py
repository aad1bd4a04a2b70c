"""A clock that only tests move."""


class ManualClock:
    """Time that stands still until a test advances it."""

    def __init__(self, monotonic: float = 1000.0, wall: float = 1.7e9):
        self._monotonic = monotonic
        self._wall = wall

    def monotonic(self) -> float:
        """Returns the monotonic time in seconds."""
        return self._monotonic

    def wall(self) -> float:
        """Returns the wall time in seconds."""
        return self._wall

    def sleep(self, seconds: float) -> None:
        """Advances the clock instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Moves both clocks forward."""
        self._monotonic += seconds
        self._wall += seconds
