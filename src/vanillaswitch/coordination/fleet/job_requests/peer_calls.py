"""Request/response calls to other processes over peer streams."""

from collections.abc import Callable
import itertools
from typing import Any

import gevent.event

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers

IDLE_STREAM_TIMEOUT_S = 10.0
"""A stream on which no request was sent for this long is closed."""

MakeRequest = Callable[[str], peers.Message]
"""Creates a request message with the given id."""


class PeerCalls:
    """Sends requests to other processes and matches answers to them by id."""

    def __init__(self, clock: clocks.Clock, boot: str):
        """Creates an instance without a transport; see ``set_transport``.

        Args:
            clock: source of time for closing idle streams.
            boot: id of this process's start; makes request ids unique.
        """
        self._clock = clock
        self._boot = boot
        self._request_ids = itertools.count(1)
        self._transport: peer_transport.PeerTransport | None = None
        self._pending_calls: dict[str, gevent.event.AsyncResult] = {}
        self._last_used_at: dict[str, float] = {}
        self._kept_open_address = ""

    def set_transport(self, transport: peer_transport.PeerTransport) -> None:
        """Sets the transport. No request can be sent before."""
        self._transport = transport

    def on_answer(self, request_id: str, message: peers.Message) -> None:
        """Delivers an answer; drops it if its request has timed out."""
        pending_call = self._pending_calls.get(request_id)
        if pending_call is not None:
            pending_call.set(message)

    def call(
        self, address: str, make_request: MakeRequest, timeout_s: float
    ) -> Any:
        """Sends a request to the process at an address and awaits the answer.

        Returns:
            The answer; None if none arrived in time. The request may have
            arrived nevertheless, or may still arrive.
        """
        if not address or self._transport is None:
            return None
        self._record_use(address)
        request_id = f"{self._boot}-{next(self._request_ids)}"
        pending_call = gevent.event.AsyncResult()
        self._pending_calls[request_id] = pending_call
        try:
            if not self._transport.send(address, make_request(request_id)):
                return None
            return pending_call.get(timeout=timeout_s)
        except gevent.Timeout:
            # The stream may be dead or waiting to reconnect. Close it, so that
            # the next request opens a new one at once.
            self._last_used_at.pop(address, None)
            self._transport.close_all_except(self._last_used_at)
            return None
        finally:
            del self._pending_calls[request_id]

    def keep_stream_open(self, address: str) -> None:
        """Keeps a stream open to one process, replacing the previous one.

        The stream closes as soon as that process is killed. This detects the
        failure earlier than periodic requests would.
        """
        self._kept_open_address = address
        if self._transport is None:
            return
        self._record_use(address)
        request_id = f"{self._boot}-{next(self._request_ids)}"
        # The first message opens the stream; its answer is ignored.
        self._transport.send(address, peers.StoreQuestion(request_id))

    def _record_use(self, address: str) -> None:
        """Records that a stream is used now, and closes idle streams."""
        now = self._clock.monotonic()
        self._last_used_at[address] = now
        for used_address, used_at in list(self._last_used_at.items()):
            if (
                now - used_at > IDLE_STREAM_TIMEOUT_S
                and used_address != self._kept_open_address
            ):
                del self._last_used_at[used_address]
        if self._transport is not None:
            self._transport.close_all_except(self._last_used_at)
