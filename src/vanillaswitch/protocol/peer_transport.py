"""Interface to the transport of messages between processes."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import contextlib
from typing import Protocol

from vanillaswitch.protocol import peers

SendReply = Callable[[peers.Message], None]
"""Answers on the stream of the message; does nothing once it is closed."""

MessageHandler = Callable[[str | None, peers.Message, SendReply], None]
"""Handles (peer address of the sender, None if unknown; message; reply)."""


class PeerTransport(Protocol):
    """Streams to and from other processes, with at-most-once delivery."""

    @property
    def address(self) -> str:
        """The "ip:port" on which the transport listens."""

    @property
    def counters(self) -> Mapping[str, int]:
        """Counters since the start: bytes, messages, streams and faults."""

    def send(self, address: str, message: peers.Message) -> bool:
        """Queues a message; opens a stream to a new address.

        Returns:
            False if the queue was full and the message was dropped.
        """

    def close_all_except(self, addresses: Iterable[str]) -> None:
        """Closes outgoing streams to all addresses except the given ones."""


TransportFactory = Callable[
    [str, MessageHandler], contextlib.AbstractContextManager[PeerTransport]
]
"""Opens a transport on an address; closes it when the context exits."""
