"""Time that the processes of the system have in common.

Load pattern: the time of day jumps by seconds, ahead or back, on some machines,
and what one process writes another one reads. By the time of day alone, an
owner whose clock is ahead removed jobs that had just ended, since they seemed
to have ended long ago, and served jobs of entries whose clock is behind last,
since they seemed too late to be of use.

So all ages between processes are counted on the store's own steady clock,
which comes with each of its answers. Only what is due at a time of day needs
one; it is taken as most machines have it. Each hand-in brings a sample, the
difference between the two clocks where it was taken in, and the median of
them holds while fewer than half of the machines are wrong.
"""

import collections
import statistics

from vanillaswitch.internal import clock as clocks

SAMPLES = 31
"""Hand-ins whose clocks are compared: about a second's worth, so that a few
machines that take in many do not decide, and a median over them costs some
microseconds."""

TRUST_S = 60.0
"""An answer of the store is trusted over an earlier one that promised a later
time only after so long. A slow answer is behind by its delay; two machines'
clocks drift apart by some milliseconds meanwhile."""


class SharedTime:
    """What this process knows of the store's clock and the time of day."""

    def __init__(self, clock: clocks.Clock):
        """Makes a time of which nothing is known.

        Args:
            clock: of this machine; its steady one carries the store's clock
                on between two answers.
        """
        self._clock = clock
        self._heard_ms: float | None = None
        self._heard_at = 0.0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=SAMPLES
        )

    @property
    def now_ms(self) -> float | None:
        """The store's steady clock; None before its first answer."""
        if self._heard_ms is None:
            return None
        passed_s = self._clock.monotonic() - self._heard_at
        return self._heard_ms + passed_s * 1000

    @property
    def wall_ms(self) -> float:
        """The time of day that most machines have, milliseconds since 1970."""
        own_ms = self._clock.wall() * 1000
        now_ms = self.now_ms
        if now_ms is None:
            return own_ms
        return now_ms + statistics.median([*self._samples, own_ms - now_ms])

    def heard(self, store_ms: float) -> None:
        """Takes the store's clock from an answer that has just come."""
        now_ms = self.now_ms
        now = self._clock.monotonic()
        late = now_ms is not None and store_ms < now_ms
        if late and now - self._heard_at < TRUST_S:
            return
        self._heard_ms = store_ms
        self._heard_at = now

    def handed_in(self, store_ms: float, wall_ms: float) -> None:
        """Takes a machine's two clocks as they stood when it took a job in."""
        if store_ms and wall_ms:
            self._samples.append(wall_ms - store_ms)

    def age_s(self, store_ms: float) -> float:
        """Returns how long ago it was; 0 while the store's clock is unknown."""
        now_ms = self.now_ms
        if now_ms is None or not store_ms:
            return 0.0
        return max(0.0, now_ms - store_ms) / 1000
