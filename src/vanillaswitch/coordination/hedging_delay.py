"""Estimates how long to wait for the platform before a hedged call is sent.

Load pattern: a store answers within milliseconds for most of a day, then
loses a third of its answers for some seconds, or takes sixty times as long for
each. A fixed delay fits only one of these cases. A short one sends every call
several times to a store that is already slow. A long one holds a call whose
answer was lost for a second and more. So the delay follows the measured
response times, by the estimate that TCP uses for its retransmission timeout
(RFC 6298).
"""

MEAN_WEIGHT = 1 / 8
"""Weight of a new response time in the mean (RFC 6298)."""

DEVIATION_WEIGHT = 1 / 4
"""Weight of a new response time in the mean deviation (RFC 6298)."""

DEVIATION_FACTOR = 4
"""The delay is the mean plus this many mean deviations (RFC 6298)."""

MIN_DELAY_S = 0.1
"""Shortest delay: about fourteen times as long as a write to an idle store, so
that a store with a short queue gets each write once."""

INITIAL_DELAY_S = 0.3
"""Delay before the first answer."""

MAX_DELAY_S = 1.0
"""Longest delay: a store 60 times slower than its usual 7 ms answers in less
than half of it."""


class HedgingDelay:
    """Estimates the delay from response times."""

    def __init__(self) -> None:
        """Initializes an estimate without response times."""
        self._mean_s: float | None = None
        self._mean_deviation_s = 0.0

    @property
    def delay_s(self) -> float:
        """Time without an answer after which to send another copy."""
        if self._mean_s is None:
            return INITIAL_DELAY_S
        delay_s = self._mean_s + DEVIATION_FACTOR * self._mean_deviation_s
        return min(MAX_DELAY_S, max(MIN_DELAY_S, delay_s))

    def record_response_time(self, response_time_s: float) -> None:
        """Records the time between sending a call and its answer."""
        if self._mean_s is None:
            self._mean_s = response_time_s
            self._mean_deviation_s = response_time_s / 2
            return
        error_s = abs(self._mean_s - response_time_s)
        self._mean_deviation_s += DEVIATION_WEIGHT * (
            error_s - self._mean_deviation_s
        )
        self._mean_s += MEAN_WEIGHT * (response_time_s - self._mean_s)
