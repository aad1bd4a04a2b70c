"""The interface to whatever carries messages between processes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
from typing import Protocol

from vanillaswitch.protocol import peers

Reply = Callable[[peers.Message], None]
"""Answers on the stream that a message came on; harmless once it closed."""

OnMessage = Callable[[str | None, peers.Message, Reply], None]
"""Takes (sender's peer address or None while unknown, message, reply)."""


class PeerTransport(Protocol):
    """Streams to and from other processes; delivers at most once."""

    @property
    def address(self) -> str:
        """The "ip:port" that it listens on."""

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts since the start: bytes, messages, streams, faults."""

    def send(self, address: str, message: peers.Message) -> bool:
        """Queues a message, opening a stream on first use.

        Returns:
            False when the queue is full and the message was dropped.
        """

    def retain(self, addresses: Iterable[str]) -> None:
        """Closes the outgoing streams to all other addresses."""


OpenTransport = Callable[
    [str, OnMessage], contextlib.AbstractContextManager[PeerTransport]
]
"""Listens on an address, hands messages on, and closes all at its exit."""
