"""Measures for how long greenlets block the event loop.

Greenlets switch only where they wait. While one computes, no other greenlet of
the process runs: no request is answered and no lease is renewed.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import time
from typing import Any

import gevent
import greenlet

RESOLUTION_S = 0.005
"""Shorter times between two switches are not recorded. Reading the processor's
clock takes a system call, which is made at most this often."""


@dataclasses.dataclass(frozen=True)
class Blocking:
    """A time in which one greenlet ran without a switch.

    Attributes:
        function: name of the function that the greenlet runs.
        wall_s: seconds between its two switches.
        processor_s: seconds of processor time that it used, at most
            ``RESOLUTION_S`` too many. Less than ``wall_s`` if other processes
            took the processor.
    """

    function: str
    wall_s: float
    processor_s: float


class BlockingMonitor:
    """Records the longest time without a switch, in the thread that starts it.

    Callbacks that the event loop runs itself are not measured, because its time
    can't be told from that in which it waits.
    """

    def __init__(self) -> None:
        """Creates a monitor that does not measure yet."""
        self._hub = gevent.get_hub()
        self._longest: Blocking | None = None
        self._switched_at = 0.0
        self._running: Any = None
        self._processor_s = 0.0
        self._processor_read_at = 0.0

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Measures during the block."""
        self._switched_at = time.monotonic()
        self._read_processor(self._switched_at)
        previous = greenlet.settrace(self._on_switch)
        try:
            yield
        finally:
            greenlet.settrace(previous)

    def take(self) -> Blocking | None:
        """Returns the longest time since the last call, and forgets it.

        Returns:
            None if none took ``RESOLUTION_S``.
        """
        longest, self._longest = self._longest, None
        return longest

    def _on_switch(self, event: str, greenlets: tuple[Any, Any]) -> None:
        del event
        now = time.monotonic()
        wall_s = now - self._switched_at
        self._switched_at = now
        origin, target = greenlets
        # A greenlet that has ended does not know its function any more.
        running, self._running = self._running, getattr(target, "_run", None)
        if now - self._processor_read_at < RESOLUTION_S:
            return
        used_s = self._read_processor(now)
        if origin is self._hub or wall_s < RESOLUTION_S:
            return
        if self._longest is None or wall_s > self._longest.wall_s:
            self._longest = Blocking(
                _function_name(running, origin), wall_s, min(wall_s, used_s)
            )

    def _read_processor(self, now: float) -> float:
        """Returns the processor time since the last call, in seconds."""
        before, self._processor_s = self._processor_s, time.thread_time()
        self._processor_read_at = now
        return self._processor_s - before


def _function_name(function: Any, origin: Any) -> str:
    while isinstance(function, functools.partial):
        function = function.func
    name = getattr(function, "__qualname__", None)
    return str(name or type(origin).__name__)
