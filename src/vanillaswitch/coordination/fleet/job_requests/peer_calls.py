"""Request/response calls to other processes over peer streams."""

from collections.abc import Callable
import itertools
from typing import Any

import gevent.event

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

IDLE_STREAM_S = 10.0
"""A stream without a new question is closed after this time."""

MakeQuestion = Callable[[str], peers.Message]
"""Creates a question with the given id."""


class PeerCalls:
    """Sends questions to other processes and matches answers by id."""

    def __init__(self, clock: clocks.Clock, boot: str):
        """Creates it without a transport; see ``set_transport``.

        Args:
            clock: source of time for closing idle streams.
            boot: id of this process's start; makes question ids unique.
        """
        self._clock = clock
        self._boot = boot
        self._ids = itertools.count(1)
        self._transport: peer_transport.PeerTransport | None = None
        self._waiting: dict[str, gevent.event.AsyncResult] = {}
        self._last_used_at: dict[str, float] = {}
        self._kept_open = ""

    def set_transport(self, transport: peer_transport.PeerTransport) -> None:
        """Sets the transport. Before this, no question can be sent."""
        self._transport = transport

    def on_answer(self, question: str, message: peers.Message) -> None:
        """Delivers an answer; drops it if its question has timed out."""
        waiting = self._waiting.get(question)
        if waiting is not None:
            waiting.set(message)

    def call(self, address: str, make: MakeQuestion, timeout_s: float) -> Any:
        """Sends a question to the process at an address.

        Returns:
            The answer; None if none arrived in time. The question may have
            arrived nevertheless, or may still arrive.
        """
        if not address or self._transport is None:
            return None
        self._retain(address)
        question_id = f"{self._boot}-{next(self._ids)}"
        waiting = gevent.event.AsyncResult()
        self._waiting[question_id] = waiting
        try:
            if not self._transport.send(address, make(question_id)):
                return None
            return waiting.get(timeout=timeout_s)
        except gevent.Timeout:
            # The stream may be dead or waiting to reconnect. It is closed, so
            # that the next question opens another at once.
            self._last_used_at.pop(address, None)
            self._transport.close_all_except(self._last_used_at)
            return None
        finally:
            del self._waiting[question_id]

    def keep_stream_open(self, address: str) -> None:
        """Keeps a stream open to one process, replacing the previous one.

        The stream closes at once when that process is killed, so this is
        detected earlier than by periodic questions.
        """
        self._kept_open = address
        if self._transport is None:
            return
        self._retain(address)
        question_id = f"{self._boot}-{next(self._ids)}"
        # The first message opens the stream; its answer is ignored.
        self._transport.send(address, peers.StoreQuestion(question_id))

    def _retain(self, address: str) -> None:
        now = self._clock.monotonic()
        self._last_used_at[address] = now
        for other, used_at in list(self._last_used_at.items()):
            if now - used_at > IDLE_STREAM_S and other != self._kept_open:
                del self._last_used_at[other]
        if self._transport is not None:
            self._transport.close_all_except(self._last_used_at)
