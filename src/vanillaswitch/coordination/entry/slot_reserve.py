"""Computes how many slots are reserved for urgent requests."""

import math

SLOTS_PER_RESERVED_SLOT = 8
"""At least one slot in this many is reserved; the quotient is rounded."""

HEADROOM = 1.0
"""Maximum number of slots reserved beyond the average urgent use.

It is also limited to the average itself. Otherwise a rare urgent request would
close the only slot of a process to long requests.
"""

SMOOTHING_S = 1.0
"""Time constant of the exponential average of urgent use."""


class SlotReserve:
    """Average number of slots that urgent requests use.

    Running requests are not preempted. If long requests took every slot that
    urgent ones leave free during a lull, the urgent ones that arrive right
    after it would have to wait for them. So long requests leave as many slots
    free as urgent requests use on average. In quiet times that is close to
    none.
    """

    def __init__(self) -> None:
        self._mean_urgent = 0.0
        self._urgent = 0
        self._observed_at: float | None = None

    def record_urgent(self, urgent: int, now: float) -> None:
        """Records the number of urgent requests that run from now on."""
        if self._observed_at is not None:
            decay = math.exp(-max(0.0, now - self._observed_at) / SMOOTHING_S)
            self._mean_urgent = (
                decay * self._mean_urgent + (1 - decay) * self._urgent
            )
        self._observed_at = now
        self._urgent = urgent

    def reserved_slots(self, usable: int) -> int:
        """Returns the number of free slots closed to long requests.

        Args:
            usable: number of slots that this process may use at once.
        """
        minimum = round(usable / SLOTS_PER_RESERVED_SLOT)
        expected = self._mean_urgent + min(HEADROOM, self._mean_urgent)
        return max(minimum, round(expected - self._urgent))
