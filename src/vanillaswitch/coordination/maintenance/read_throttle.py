"""Throttles the reads of a process to a bounded rate."""

BYTES_PER_S = 3000.0
"""Average read rate allowed for all duties of one process together."""

IDLE_BURST_BYTES = 32_000.0
"""Burst that an idle duty may read without a pause."""

BUSY_BURST_BYTES = 128_000.0
"""Burst of a duty with operations in progress; larger for priority."""


class LeakyBucket:
    """A leaky bucket that returns a pause instead of rejecting a read."""

    def __init__(self) -> None:
        self._level_bytes = 0.0
        self._updated_at = 0.0

    def charge(self, size: float, now: float) -> None:
        """Adds bytes that were read.

        Args:
            size: number of bytes.
            now: monotonic seconds.
        """
        self._leak(now)
        self._level_bytes += size

    def pause_s(self, now: float, busy: bool) -> float:
        """Returns for how many seconds a duty must pause before it reads.

        Args:
            now: monotonic seconds.
            busy: whether the duty has operations in progress.
        """
        self._leak(now)
        burst = BUSY_BURST_BYTES if busy else IDLE_BURST_BYTES
        return max(0.0, self._level_bytes - burst) / BYTES_PER_S

    def _leak(self, now: float) -> None:
        leaked_bytes = (now - self._updated_at) * BYTES_PER_S
        self._level_bytes = max(0.0, self._level_bytes - max(0.0, leaked_bytes))
        self._updated_at = now
