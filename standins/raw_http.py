"""Raw bytes over loopback, where a client library would tidy them up."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import gevent.pool
import gevent.server

from vanillaswitch.transport import sockets

_BLOCK_BYTES = 65_536
_CONNECT_S = 30.0

Reply = Callable[[bytes, Any], None]


def read_all(connection: Any) -> bytes:
    """Returns all bytes until the other end closes."""
    pieces = []
    while piece := connection.recv(_BLOCK_BYTES):
        pieces.append(piece)
    return b"".join(pieces)


def read_message(connection: Any) -> bytes:
    """Returns one head and the body that its Content-Length tells.

    What came before the connection ended is returned as it is.
    """
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(_BLOCK_BYTES)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = _content_length(head)
    while len(body) < length and (piece := connection.recv(_BLOCK_BYTES)):
        body += piece
    return head + b"\r\n\r\n" + body


def _content_length(head: bytes) -> int:
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            return int(line.partition(b":")[2])
    return 0


def exchange(address: str, data: bytes, end: bool = True) -> bytes:
    """Sends bytes on a new connection and returns all that comes back.

    Args:
        address: "ip:port".
        data: what to send.
        end: whether to close the sending side after it.
    """
    connection = sockets.connect(address, _CONNECT_S)
    with contextlib.closing(connection):
        connection.sendall(data)
        if end:
            connection.shutdown(1)
        return read_all(connection)


def answer(body: bytes, extra: bytes = b"", status: bytes = b"200 OK") -> bytes:
    """Returns the bytes of an answer with a length.

    Args:
        body: its content.
        extra: further header lines, each with its end.
        status: code and reason.
    """
    head = b"HTTP/1.1 %b\r\n%bContent-Length: %d\r\n\r\n"
    return head % (status, extra, len(body)) + body


class ScriptedMinion:
    """Answers each request as it is told, byte for byte."""

    def __init__(self, reply: Reply):
        """Makes a minion.

        Args:
            reply: called with each request and the connection it came on.
        """
        self._reply = reply
        self._requests: list[bytes] = []
        self._accepted = 0

    @property
    def requests(self) -> tuple[bytes, ...]:
        """All requests that came, in their order."""
        return tuple(self._requests)

    @property
    def accepted(self) -> int:
        """How many connections were opened."""
        return self._accepted

    def serve(self, connection: Any, _address: Any) -> None:
        """Serves one connection until it ends."""
        self._accepted += 1
        with contextlib.suppress(OSError):
            while request := read_message(connection):
                self._requests.append(request)
                self._reply(request, connection)


@contextlib.contextmanager
def scripted(reply: Reply) -> Iterator[tuple[ScriptedMinion, str]]:
    """Yields a scripted minion and its "ip:port"."""
    script = ScriptedMinion(reply)
    listener = sockets.listen("127.0.0.1:0")
    server = gevent.server.StreamServer(
        listener, script.serve, spawn=gevent.pool.Pool()
    )
    address = sockets.bound_address(listener)
    server.start()
    try:
        yield script, address
    finally:
        server.stop(timeout=0)
