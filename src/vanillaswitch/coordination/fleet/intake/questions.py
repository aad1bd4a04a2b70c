"""Questions to other processes over their streams, and the answers to them."""

from collections.abc import Callable
import itertools
from typing import Any

import gevent.event

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

KEEP_S = 10.0
"""A stream is kept open for so long after the last question on it."""

Ask = Callable[[str], peers.Message]
"""Makes a question from its id."""


class Questions:
    """Sends questions and matches the answers by their ids."""

    def __init__(self, clock: clocks.Clock, boot: str):
        """Makes it; it reaches nobody before it is attached.

        Args:
            clock: says which streams were used lately.
            boot: makes ids unique.
        """
        self._clock = clock
        self._boot = boot
        self._ids = itertools.count(1)
        self._transport: peer_transport.PeerTransport | None = None
        self._waiting: dict[str, gevent.event.AsyncResult] = {}
        self._used: dict[str, float] = {}
        self._watched = ""

    def attach(self, transport: peer_transport.PeerTransport) -> None:
        """Hands over the streams."""
        self._transport = transport

    def answered(self, question: str, message: peers.Message) -> None:
        """Takes an answer; one that nobody waits for any more is dropped."""
        waiting = self._waiting.get(question)
        if waiting is not None:
            waiting.set(message)

    def ask(self, address: str, make: Ask, timeout_s: float) -> Any:
        """Asks the process at an address.

        Returns:
            The answer; None when none came in time. A question without an
            answer may have arrived all the same, or may arrive later.
        """
        if not address or self._transport is None:
            return None
        self._retain(address)
        number = f"{self._boot}-{next(self._ids)}"
        waiting = gevent.event.AsyncResult()
        self._waiting[number] = waiting
        try:
            if not self._transport.send(address, make(number)):
                return None
            return waiting.get(timeout=timeout_s)
        except gevent.Timeout:
            # The stream may be silent or wait to be opened again; the next
            # question opens another at once.
            self._used.pop(address, None)
            self._transport.retain(self._used)
            return None
        finally:
            del self._waiting[number]

    def watch(self, address: str) -> None:
        """Keeps a stream open to one process, instead of to the one before.

        It ends at once when that process is killed, which tells so earlier
        than any question that is asked from time to time.
        """
        self._watched = address
        if self._transport is None:
            return
        self._retain(address)
        number = f"{self._boot}-{next(self._ids)}"
        # A stream opens with its first message; nobody waits for the answer.
        self._transport.send(address, peers.StoreQuestion(number))

    def _retain(self, address: str) -> None:
        now = self._clock.monotonic()
        self._used[address] = now
        for other, used_at in list(self._used.items()):
            if now - used_at > KEEP_S and other != self._watched:
                del self._used[other]
        if self._transport is not None:
            self._transport.retain(self._used)
