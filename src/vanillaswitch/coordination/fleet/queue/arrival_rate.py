"""Estimates the demand that newly arrived jobs add to a pool.

Load pattern: jobs come in bursts, many within a second, with few in between.
Their sizes differ by a factor of ten and more. One large job makes the demand
of a pool jump as much as the first second of a burst does, but no further
demand follows it. The estimate therefore multiplies the number of jobs by
their average size.
"""

import collections

SMOOTHING_FACTOR = 0.1
"""Weight of a new job in the moving average of job sizes. It averages over
about ten jobs, which is one second of a burst."""

RETENTION_S = 2.0
"""How long arrival times are kept; limits the window of ``demand_growth``."""


class ArrivalRate:
    """Arrival times and the average size of the jobs of one pool."""

    def __init__(self) -> None:
        """Starts without any job."""
        self._average_cpu: float | None = None
        self._times: collections.deque[float] = collections.deque()

    def record_job(self, cpu: int, now: float) -> None:
        """Records the arrival of a job.

        Args:
            cpu: thousandths of a core that its first steps request.
            now: monotonic seconds.
        """
        self._times.append(now)
        while self._times[0] < now - RETENTION_S:
            self._times.popleft()
        if self._average_cpu is None:
            self._average_cpu = cpu
        self._average_cpu += SMOOTHING_FACTOR * (cpu - self._average_cpu)

    def demand_growth(self, window_s: float, now: float) -> float:
        """Returns how fast demand grew in a window, assuming average jobs.

        Args:
            window_s: length of the window, which ends now; at most
                ``RETENTION_S``.
            now: monotonic seconds.

        Returns:
            Thousandths of a core per second.
        """
        count = sum(at > now - window_s for at in self._times)
        return count * (self._average_cpu or 0.0) / window_s
