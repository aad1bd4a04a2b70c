"""Which jobs client accounts submit beyond their share.

Load pattern: one account submits several times its usual work for some seconds,
and all pools are full. Without shares its jobs delay those of all the others.
An account is entitled to as many jobs a second as its weight says; what it
submits beyond that gets capacity after the jobs of the others. Whether a job is
within the share is decided once, when the owner receives it, so that the jobs
of a burst do not change places while they wait.
"""

import bisect


class ShareTracker:
    """Counts the recent jobs of each account that were within its share."""

    def __init__(self, window_s: float):
        """Creates a tracker without any jobs.

        Args:
            window_s: span over which jobs are counted. Within it an account may
                submit them at any moments, so a short burst is no excess.
        """
        self._window_s = window_s
        self._submitted_at: dict[str, list[float]] = {}

    def is_over_share(
        self, account: str, weight: float, submitted_at: float
    ) -> bool:
        """Counts a job and returns whether it is beyond its account's share.

        A new owner reads the jobs of some minutes in any order, so jobs need
        not come in the order of their submission.

        Args:
            account: the account; empty for a job without one.
            weight: jobs a second that it is entitled to; 0 for any number.
            submitted_at: monotonic seconds at which the job was submitted.
        """
        if not account or weight <= 0:
            return False
        times = self._submitted_at.setdefault(account, [])
        first = bisect.bisect_right(times, submitted_at - self._window_s)
        last = bisect.bisect_right(times, submitted_at)
        if last - first >= max(1.0, weight * self._window_s):
            return True
        bisect.insort(times, submitted_at)
        del times[: bisect.bisect_left(times, times[-1] - 2 * self._window_s)]
        return False

    def is_used_up(self, account: str, weight: float, now: float) -> bool:
        """Returns whether a job submitted now would be beyond the share.

        Counts nothing.

        Args:
            account: the account.
            weight: jobs a second that it is entitled to; 0 for any number.
            now: monotonic seconds.
        """
        if not account or weight <= 0:
            return False
        times = self._submitted_at.get(account, [])
        first = bisect.bisect_right(times, now - self._window_s)
        last = bisect.bisect_right(times, now)
        return last - first >= max(1.0, weight * self._window_s)
