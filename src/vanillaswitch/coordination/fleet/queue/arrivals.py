"""How much the jobs of the last moment add to what a pool is asked for.

Load pattern: in a turn many jobs come within a moment, in between there are
few; sizes differ by a factor of ten and more. One large job makes a pool's
need jump as the first second of a turn does, and goes on to ask for nothing
more. So jobs are counted, and each counts as one of usual size.
"""

import collections

SMOOTHING = 0.1
"""Weight of a new job in the usual size: some ten jobs, a second of a turn."""

KEPT_S = 2.0
"""Arrivals are kept for so long; growth is measured over less."""


class Arrivals:
    """Counts the jobs that came to one pool."""

    def __init__(self) -> None:
        """Has seen no job yet."""
        self._usual_cpu: float | None = None
        self._times: collections.deque[float] = collections.deque()

    def observe(self, cpu: int, now: float) -> None:
        """Takes note of a job.

        Args:
            cpu: thousandths of a core that its first steps ask for.
            now: monotonic seconds.
        """
        self._times.append(now)
        while self._times[0] < now - KEPT_S:
            self._times.popleft()
        if self._usual_cpu is None:
            self._usual_cpu = cpu
        self._usual_cpu += SMOOTHING * (cpu - self._usual_cpu)

    def growth(self, window_s: float, now: float) -> float:
        """Returns what the jobs of a window ask for, at their usual size.

        Args:
            window_s: length of the window that ends now, at most ``KEPT_S``.
            now: monotonic seconds.

        Returns:
            Thousandths of a core a second.
        """
        count = sum(at > now - window_s for at in self._times)
        return count * (self._usual_cpu or 0.0) / window_s
