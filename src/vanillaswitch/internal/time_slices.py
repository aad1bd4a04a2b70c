"""Lets other greenlets run from time to time during a long computation."""

from vanillaswitch.internal import clock as clocks

SLICE_S = 0.01
"""Time for which a computation runs before it lets others run. It is a small
part of the time within which a request is answered and a lease renewed."""


class TimeSlices:
    """Divides one computation of a greenlet into slices."""

    def __init__(self, clock: clocks.Clock):
        """Begins a computation, and its first slice."""
        self._clock = clock
        self._slice_began = clock.monotonic()
        self._earlier_s = 0.0

    @property
    def busy_s(self) -> float:
        """Seconds for which the computation has run, without its pauses."""
        return self._earlier_s + self._clock.monotonic() - self._slice_began

    def pause(self) -> bool:
        """Lets other greenlets run if the slice is over.

        Returns:
            Whether they ran. They may have changed any shared state.
        """
        used_s = self._clock.monotonic() - self._slice_began
        if used_s < SLICE_S:
            return False
        self._earlier_s += used_s
        self._clock.sleep(0)
        self._slice_began = self._clock.monotonic()
        return True
