"""Raw bytes over loopback, where a client library would tidy them up."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import gevent.pool
import gevent.server

from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import sockets

LONG_S = 30.0
"""A limit that no healthy run comes near."""

Reply = Callable[[bytes, Any], None]


def request_of(
    request_id: str = "r-1",
    method: str = "GET",
    body: bytes = b"",
    key: str = "",
    headers: requests.Headers = (),
) -> requests.Request:
    """Returns a checked request."""
    return requests.Request(
        request_id,
        "harbour",
        "berthing",
        "quote",
        method,
        "/berthing/quote",
        headers,
        body,
        0.0,
        key,
    )


def minion_at(address: str) -> minions.Minion:
    """Returns a minion at an address."""
    return minions.Minion("i-1", "berthing", address, "dc", "rack", 8, 64)


def read_all(connection: Any) -> bytes:
    """Returns all bytes until the other end closes."""
    pieces = []
    while piece := connection.recv(65_536):
        pieces.append(piece)
    return b"".join(pieces)


def read_message(connection: Any) -> bytes:
    """Returns one head and the body that its Content-Length tells."""
    data = b""
    while b"\r\n\r\n" not in data:
        piece = connection.recv(65_536)
        if not piece:
            return data
        data += piece
    head, _, body = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            length = int(line.partition(b":")[2])
    while len(body) < length:
        body += connection.recv(65_536)
    return head + b"\r\n\r\n" + body


def exchange(address: str, data: bytes, end: bool = True) -> bytes:
    """Sends bytes on a new connection and returns all that comes back."""
    connection = sockets.connect(address, LONG_S)
    with contextlib.closing(connection):
        connection.sendall(data)
        if end:
            connection.shutdown(1)
        return read_all(connection)


class ScriptedMinion:
    """Answers each request as a test says, byte for byte."""

    def __init__(self, reply: Reply):
        self.requests: list[bytes] = []
        self.accepted = 0
        self._reply = reply

    def serve(self, connection: Any, _address: Any) -> None:
        """Serves one connection until it ends."""
        self.accepted += 1
        with contextlib.suppress(OSError):
            while request := read_message(connection):
                self.requests.append(request)
                self._reply(request, connection)


@contextlib.contextmanager
def scripted(reply: Reply) -> Iterator[tuple[ScriptedMinion, minions.Minion]]:
    """Yields a scripted minion and where it is."""
    script = ScriptedMinion(reply)
    listener = sockets.listen("127.0.0.1:0")
    server = gevent.server.StreamServer(
        listener, script.serve, spawn=gevent.pool.Pool()
    )
    address = sockets.bound_address(listener)
    server.start()
    try:
        yield script, minion_at(address)
    finally:
        server.stop(timeout=0)


def answer(body: bytes, extra: bytes = b"", status: bytes = b"200 OK") -> bytes:
    """Returns the bytes of an answer with a length."""
    length = str(len(body)).encode()
    return (
        b"HTTP/1.1 %b\r\n%bContent-Length: %b\r\n\r\n%b"
        % (status, extra, length, body)
    )  # fmt: skip
