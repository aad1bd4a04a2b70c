"""The clock that tasks are handed, so that tests can move time themselves."""

import time
from typing import Protocol

import gevent


class Clock(Protocol):
    """Time as a task sees it."""

    def monotonic(self) -> float:
        """Returns seconds that never go back; only differences have meaning."""

    def wall(self) -> float:
        """Returns seconds since the Unix epoch; may jump in both directions."""

    def sleep(self, seconds: float) -> None:
        """Lets other tasks run for at least ``seconds``."""


class SystemClock:
    """The machine's clocks, sleeping on the gevent loop."""

    def monotonic(self) -> float:
        """Returns the machine's monotonic clock in seconds."""
        return time.monotonic()

    def wall(self) -> float:
        """Returns the machine's wall clock in seconds."""
        return time.time()

    def sleep(self, seconds: float) -> None:
        """Sleeps on the gevent loop."""
        gevent.sleep(seconds)
