"""A clock that all processes of the system agree on.

Load pattern: the wall clocks of some machines jump by seconds, forward or
backward, while processes read timestamps that others wrote. With wall clocks
alone, an owner whose clock is ahead would remove jobs that had just ended,
because they would seem to have ended long ago. It would serve jobs accepted by
a process whose clock is behind last, because they would seem too late to be of
use.

Ages across processes are therefore measured on the store's steady clock, which
comes with each of its answers. Only events due at a time of day need a wall
clock; the one that most machines agree on is used. Each submitted job brings a
sample, the offset between the wall clock of the machine that accepted it and
the store's clock. The median of the samples is right as long as fewer than
half of the machines are wrong.
"""

import collections
import statistics

from vanillaswitch.internal import clock as clocks

MAX_SAMPLES = 31
"""Submissions whose clock offsets are kept, about one second's worth. That
many keep a few machines with many submissions from deciding the median, which
costs some microseconds to compute."""

MAX_EXTRAPOLATION_S = 60.0
"""Time after which a store time that is behind the extrapolated one is
accepted. A slow answer is behind by its delay, so it is ignored before; the
clocks of two machines drift apart by some milliseconds meanwhile."""


class ReferenceClock:
    """Estimates of the store's clock and of the common time of day."""

    def __init__(self, clock: clocks.Clock):
        """Starts without any store time or sample.

        Args:
            clock: clock of this machine. Its monotonic time extrapolates the
                store's clock between two answers.
        """
        self._clock = clock
        self._store_ms: float | None = None
        self._received_at = 0.0
        self._samples: collections.deque[float] = collections.deque(
            maxlen=MAX_SAMPLES
        )

    @property
    def store_now_ms(self) -> float | None:
        """The store's steady clock in milliseconds; None before any answer."""
        if self._store_ms is None:
            return None
        elapsed_s = self._clock.monotonic() - self._received_at
        return self._store_ms + elapsed_s * 1000

    @property
    def wall_now_ms(self) -> float:
        """The time of day of most machines, in milliseconds since 1970."""
        own_ms = self._clock.wall() * 1000
        now_ms = self.store_now_ms
        if now_ms is None:
            return own_ms
        return now_ms + statistics.median([*self._samples, own_ms - now_ms])

    def observe_store_clock(self, store_ms: float) -> None:
        """Updates the store's clock from an answer that has just arrived."""
        now_ms = self.store_now_ms
        now = self._clock.monotonic()
        is_behind = now_ms is not None and store_ms < now_ms
        if is_behind and now - self._received_at < MAX_EXTRAPOLATION_S:
            return
        self._store_ms = store_ms
        self._received_at = now

    def add_wall_sample(self, store_ms: float, wall_ms: float) -> None:
        """Adds a clock sample from a submitted job.

        Args:
            store_ms: the store's clock when the job was accepted; 0 if unknown.
            wall_ms: wall clock of the accepting machine at that moment; 0 if
                unknown.
        """
        if store_ms and wall_ms:
            self._samples.append(wall_ms - store_ms)

    def age_of_s(self, store_ms: float) -> float:
        """Returns the age of a store timestamp in seconds.

        Args:
            store_ms: milliseconds on the store's clock.

        Returns:
            The age; 0 if it is negative or the store's clock is unknown.
        """
        now_ms = self.store_now_ms
        if now_ms is None or not store_ms:
            return 0.0
        return max(0.0, now_ms - store_ms) / 1000
