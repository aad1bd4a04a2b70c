"""A clock on which all processes of the system agree.

Load pattern: the wall clocks of some machines jump by seconds, forward or
backward, while processes read timestamps that others wrote. With wall clocks
alone, an owner whose clock is ahead would remove jobs that had just ended,
because they would seem to have ended long ago. And it would start jobs accepted
by a process whose clock is behind after all others, because they would seem to
be past the time at which they have any value.

Ages across processes are therefore measured on the store's steady clock, whose
time comes with each of the store's answers. Only events due at a time of day
need a wall clock. It is derived from the store's clock and the median offset of
the machines' wall clocks from it. Each submitted job gives one sample of this
offset, that of the machine which accepted the job. The median is right as long
as fewer than half of the samples are wrong.
"""

import collections
import statistics

from vanillaswitch.internal import clock as clocks

MAX_SAMPLES = 31
"""Number of clock offsets that are kept, from about one second of submissions.
With that many, a few machines with many submissions do not decide the median.
Computing it takes some microseconds."""

MAX_EXTRAPOLATION_S = 60.0
"""Time after which a store time behind the extrapolated one is accepted.

Before that it is ignored, because a slow answer is behind by its delay. The
clocks of two machines drift apart by some milliseconds in this time."""


class ReferenceClock:
    """Estimates of the store's clock and of the wall clock of most machines."""

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
        """The wall clock of most machines, in milliseconds since 1970."""
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

    def age_s(self, store_ms: float) -> float:
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
