"""How many rows to ask for at once, by what the link has shown to carry.

Load pattern: a process that takes the fleet over reads some thousand rows while
it has to renew its lease on the same link. Pages of 500 rows in eight parts at
once filled a link of 2 Mbit/s for longer than a call may take: none of them
arrived whole, renewals were stuck behind them, and each process that took
over lost the fleet again within 1.4 to 3.4 s. A page that takes a quarter of
a second leaves room between.
"""

import collections

PAGE_S = 0.25
"""How long a page may keep its connection busy beyond the time of an empty
answer: a quarter of the pause after which an owner is suspect, and more."""

MIN_ROWS = 10
"""The first page of a part, and the smallest one: some 7 KB, so that 24 of
them at once take 0.7 s of a link of 2 Mbit/s."""

MOST_ROWS = 500
"""What the platform answers at most."""

_REMEMBERED = 32
"""Calls among which the quickest shows what an empty answer takes."""


class PageSize:
    """Learns how many rows of a table make a page."""

    def __init__(self) -> None:
        self._times: collections.deque[float] = collections.deque(
            maxlen=_REMEMBERED
        )

    def record_call(self, took_s: float) -> None:
        """Takes note of how long a call took, whatever it carried."""
        self._times.append(took_s)

    def next_limit(self, rows: int, took_s: float) -> int:
        """Returns how many rows to ask for next.

        Args:
            rows: rows of the page that was read.
            took_s: how long its call took.
        """
        empty_s = min(self._times, default=0.0)
        carried_s = took_s - empty_s
        if carried_s <= 0 or not rows:
            return MOST_ROWS
        wanted = rows * PAGE_S / carried_s
        return max(MIN_ROWS, min(MOST_ROWS, int(wanted)))
