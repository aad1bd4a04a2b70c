"""How long an answer of the platform is waited for before another copy is sent.

Load pattern: a store answers within milliseconds for most of a day, then
loses a third of its answers for some seconds, or takes sixty times as long
with each. A fixed wait fits one of them: a short one sends everything several
times over to a store that is slow already, a long one keeps each lost answer
open for a second and more. So the wait follows the answers that came, by the
estimate that TCP uses for its retransmissions (RFC 6298).
"""

SMOOTHING = 1 / 8
"""Weight of a new answer in the mean (RFC 6298)."""

SPREAD_SMOOTHING = 1 / 4
"""Weight of a new answer in the mean deviation (RFC 6298)."""

SPREADS = 4
"""The wait is the mean and so many mean deviations (RFC 6298)."""

LEAST_S = 0.1
"""Shortest wait: some fourteen times what a write to an idle store takes, so
that a store with a short queue gets each write once."""

FIRST_S = 0.3
"""The wait before any answer came."""

MOST_S = 1.0
"""Longest wait: a store 60 times slower than its 7 ms answers in half of it."""


class AnswerTimes:
    """Estimates the wait from how long answers took."""

    def __init__(self) -> None:
        """Knows of no answer yet."""
        self._mean_s: float | None = None
        self._spread_s = 0.0

    @property
    def wait_s(self) -> float:
        """After so long without an answer another copy is worth sending."""
        if self._mean_s is None:
            return FIRST_S
        wait_s = self._mean_s + SPREADS * self._spread_s
        return min(MOST_S, max(LEAST_S, wait_s))

    def observe(self, took_s: float) -> None:
        """Takes note of an answer, counted from when its call was sent."""
        if self._mean_s is None:
            self._mean_s = took_s
            self._spread_s = took_s / 2
            return
        off_s = abs(self._mean_s - took_s)
        self._spread_s += SPREAD_SMOOTHING * (off_s - self._spread_s)
        self._mean_s += SMOOTHING * (took_s - self._mean_s)
