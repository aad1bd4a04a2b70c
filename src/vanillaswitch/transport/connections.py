"""Idle connections to minions, kept for the next request."""

import collections
import dataclasses
import select

from gevent import socket

from vanillaswitch.internal import clock as clocks


@dataclasses.dataclass(frozen=True)
class _Idle:
    connection: socket.socket
    until: float


def _is_quiet(connection: socket.socket) -> bool:
    poller = select.poll()
    poller.register(connection.fileno(), select.POLLIN)
    return not poller.poll(0)


class ConnectionPool:
    """Connections without work, by address, the last used first."""

    def __init__(self, clock: clocks.Clock, per_address: int, idle_s: float):
        """Makes an empty pool.

        Args:
            clock: tells how long a connection has been idle.
            per_address: how many are kept for one address.
            idle_s: how long one is kept.
        """
        self._clock = clock
        self._per_address = per_address
        self._idle_s = idle_s
        self._idle: dict[str, collections.deque[_Idle]] = {}
        self._next_sweep = clock.monotonic() + idle_s

    @property
    def size(self) -> int:
        """How many connections are kept."""
        return sum(len(kept) for kept in self._idle.values())

    def take(self, address: str) -> socket.socket | None:
        """Returns a quiet connection, or None when there is none."""
        now = self._clock.monotonic()
        kept = self._idle.get(address, collections.deque())
        while kept:
            idle = kept.pop()
            # A minion that closed an idle connection, or sent a second
            # answer on it, shows as readable. Nothing was asked yet, so the
            # connection is given up before any byte is sent on it.
            if now < idle.until and _is_quiet(idle.connection):
                return idle.connection
            idle.connection.close()
        return None

    def give_back(self, address: str, connection: socket.socket) -> None:
        """Keeps a connection whose last answer was read whole."""
        now = self._clock.monotonic()
        kept = self._idle.setdefault(address, collections.deque())
        kept.append(_Idle(connection, now + self._idle_s))
        if len(kept) > self._per_address:
            kept.popleft().connection.close()
        if now >= self._next_sweep:
            self._sweep(now)

    def discard(self, address: str) -> None:
        """Closes all that is kept for one address."""
        for idle in self._idle.pop(address, ()):
            idle.connection.close()

    def close(self) -> None:
        """Closes all that is kept."""
        for address in tuple(self._idle):
            self.discard(address)

    def _sweep(self, now: float) -> None:
        """Closes what is too old, also of minions that are gone for good."""
        self._next_sweep = now + self._idle_s
        for address, kept in tuple(self._idle.items()):
            while kept and kept[0].until <= now:
                kept.popleft().connection.close()
            if not kept:
                del self._idle[address]
