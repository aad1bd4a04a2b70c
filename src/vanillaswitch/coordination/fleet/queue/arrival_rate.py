"""Estimates the demand that newly arrived jobs add to a pool.

Load pattern: jobs come in bursts, many within a moment, with few in between.
Their sizes differ by a factor of ten and more. One large job makes the demand
of a pool jump as much as the first second of a burst does, but no further
demand follows it. The estimate therefore counts jobs and gives each of them
the usual size.
"""

import collections

SMOOTHING = 0.1
"""Weight of a new job in the moving average of job sizes. It averages over
about ten jobs, which is one second of a burst."""

RETENTION_S = 2.0
"""How long arrivals are kept. Growth is measured over a shorter window."""


class ArrivalRate:
    """Counts the jobs that arrived for one pool."""

    def __init__(self) -> None:
        """Starts without any job."""
        self._usual_cpu: float | None = None
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
        if self._usual_cpu is None:
            self._usual_cpu = cpu
        self._usual_cpu += SMOOTHING * (cpu - self._usual_cpu)

    def demand_growth(self, window_s: float, now: float) -> float:
        """Returns how fast demand grew in a window, at the usual job size.

        Args:
            window_s: length of the window, which ends now; at most
                ``RETENTION_S``.
            now: monotonic seconds.

        Returns:
            Thousandths of a core per second.
        """
        count = sum(at > now - window_s for at in self._times)
        return count * (self._usual_cpu or 0.0) / window_s
