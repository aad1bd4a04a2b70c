"""Stand-in platforms and servers with a script, on loopback."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
from typing import Any

import gevent.server
import gevent.socket

from standins import fleet as fleet_module
from standins import platform_http
from tests.common import clocks
from vanillaswitch.protocol import platform
from vanillaswitch.transport import platform_http as adapter
from vanillaswitch.transport import sockets

FLEET = fleet_module.Fleet(
    (
        fleet_module.Member(
            platform.Listing(
                "berthing-1",
                platform.InstanceKind.MINION,
                platform.ListedState.LIVE,
                "hall-recife",
                "r1",
                address="127.0.0.1:1",
                service="berthing",
            )
        ),
        fleet_module.Member(
            platform.Listing(
                "worker-1",
                platform.InstanceKind.WORKER,
                platform.ListedState.LIVE,
                "hall-recife",
                "r1",
                cores=16.0,
                memory_mb=65_536,
            )
        ),
    )
)


@contextlib.contextmanager
def served(
    clock: clocks.ManualClock,
) -> Iterator[tuple[fleet_module.MemoryPlatform, platform.Platform, str]]:
    """Yields a stand-in, a client of it over HTTP, and its address."""
    standin = fleet_module.MemoryPlatform(FLEET, clock)
    listener = sockets.listen("127.0.0.1:0")
    server = platform_http.make_server(listener, standin)
    server.start()
    try:
        with adapter.connect(server.bound) as client:
            yield standin, client, server.bound
    finally:
        server.stop(timeout=0)


class ScriptedServer:
    """Reads one whole request at a time and does what ``act`` says.

    Attributes:
        requests: heads and bodies as they came.
        connections: how many were accepted.
    """

    def __init__(
        self, act: Callable[[int], bytes | None], last: int | None = None
    ):
        """Makes a server.

        Args:
            act: from the number of requests so far to the bytes to answer;
                empty closes the connection, None stays silent.
            last: the request after whose answer the connection is closed.
        """
        self.requests: list[bytes] = []
        self.connections = 0
        self._act = act
        self._last = last

    def handle(self, sock: Any, _: object) -> None:
        """Serves one connection."""
        self.connections += 1
        reader = sock.makefile("rb")
        while head := self._head(reader):
            self.requests.append(head)
            answer = self._act(len(self.requests))
            if answer is None:
                reader.read()
            if not answer:
                return
            sock.sendall(answer)
            if len(self.requests) == self._last:
                return

    @staticmethod
    def _head(reader: Any) -> bytes:
        lines, length = [], 0
        while (line := reader.readline()) not in (b"\r\n", b""):
            lines.append(line)
            if line.lower().startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        return b"".join(lines) + reader.read(length)


@contextlib.contextmanager
def scripted(
    act: Callable[[int], bytes | None],
    timeout_s: float = 2.0,
    last: int | None = None,
) -> Iterator[tuple[ScriptedServer, platform.Platform]]:
    """Yields a scripted server and a platform client of it."""
    script = ScriptedServer(act, last)
    listener = sockets.listen("127.0.0.1:0")
    server = gevent.server.StreamServer(listener, script.handle)
    server.start()
    try:
        address = sockets.bound_address(listener)
        with adapter.connect(address, timeout_s) as client:
            yield script, client
    finally:
        server.stop(timeout=0)


def http(status: str, body: bytes) -> bytes:
    """Returns an HTTP answer."""
    head = f"HTTP/1.1 {status}\r\nContent-Length: {len(body)}\r\n\r\n"
    return head.encode() + body
