"""TCP streams between the processes of the system.

Each process listens, and keeps one outgoing stream to each peer that it sends
to. A task owns each stream; others hand it messages through a bounded queue.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import random

import gevent
import gevent.pool
import gevent.server
import gevent.socket

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.transport import outbox as outboxes
from vanillaswitch.transport import sockets
from vanillaswitch.transport import stream

CONNECT_TIMEOUT_S = 1.0
FIRST_BACKOFF_S = 0.1
LONGEST_BACKOFF_S = 5.0
MAX_INCOMING = 512

_MAX_DOUBLINGS = 10


def backoff_s(failures: int, rng: random.Random) -> float:
    """Returns how long to wait after so many failed attempts in a row.

    The wait doubles up to a cap; a random half of it keeps the peers of a
    restarted process from coming back at the same moment.
    """
    doubled = FIRST_BACKOFF_S * 2.0 ** min(failures, _MAX_DOUBLINGS)
    return min(doubled, LONGEST_BACKOFF_S) * (0.5 + 0.5 * rng.random())


OnClosed = Callable[[str], None]
"""Told the address of a process whose stream to it ended by itself."""


def _ignore(address: str) -> None:
    del address


class _Link:
    """The outgoing stream to one peer, opened anew whenever it fails."""

    def __init__(
        self,
        address: str,
        on_message: peer_transport.MessageHandler,
        on_closed: OnClosed,
        clock: clocks.Clock,
        rng: random.Random,
        counters: collections.Counter[str],
    ):
        self._address = address
        self._on_closed = on_closed
        self._on_message = on_message
        self._clock = clock
        self._rng = rng
        self._counters = counters
        self._outbox = outboxes.Outbox()
        self._task = gevent.spawn(self._keep_open)

    def send(self, message: peers.Message) -> bool:
        """Queues a message; False when the queue is full."""
        return self._outbox.put(message)

    def close(self) -> None:
        """Closes the stream for good; what was queued is dropped."""
        self._task.kill()

    def _keep_open(self) -> None:
        failures = 0
        while True:
            # A link that is accepted and at once cut would be opened without
            # pause if connecting counted as success; hearing the peer does.
            failures = 0 if self._run_once() else failures + 1
            self._clock.sleep(backoff_s(failures, self._rng))

    def _run_once(self) -> bool:
        try:
            socket = sockets.connect(self._address, CONNECT_TIMEOUT_S)
        except (OSError, ValueError, OverflowError):
            self._counters["connect_failures"] += 1
            return False
        self._counters["connects"] += 1
        opened = stream.Stream(
            socket,
            self._outbox,
            self._on_message,
            self._clock,
            self._counters,
            self._address,
        )
        opened.run()
        self._on_closed(self._address)
        return opened.heard


class Streams:
    """All streams of one process; implements ``PeerTransport``."""

    def __init__(
        self,
        on_message: peer_transport.MessageHandler,
        clock: clocks.Clock,
        rng: random.Random,
        on_closed: OnClosed,
    ):
        self._on_message = on_message
        self._on_closed = on_closed
        self._clock = clock
        self._rng = rng
        self._counters: collections.Counter[str] = collections.Counter()
        self._links: dict[str, _Link] = {}
        self._address = ""

    @property
    def address(self) -> str:
        """The "ip:port" that it listens on."""
        return self._address

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts since the start; zero for what never happened."""
        return self._counters.copy()

    def send(self, address: str, message: peers.Message) -> bool:
        """Queues a message, opening a stream on first use."""
        link = self._links.get(address)
        if link is None:
            link = _Link(
                address,
                self._on_message,
                self._on_closed,
                self._clock,
                self._rng,
                self._counters,
            )
            self._links[address] = link
        queued = link.send(message)
        if not queued:
            self._counters["dropped"] += 1
        return queued

    def close_all_except(self, addresses: Iterable[str]) -> None:
        """Closes the outgoing streams to all other addresses."""
        for address in self._links.keys() - set(addresses):
            self._links.pop(address).close()

    @contextlib.contextmanager
    def _listening(self, address: str) -> Iterator[None]:
        listener = sockets.listen(address)
        self._address = sockets.bound_address(listener)
        server = gevent.server.StreamServer(
            listener, self._serve, spawn=gevent.pool.Pool(MAX_INCOMING)
        )
        server.start()
        try:
            yield
        finally:
            server.stop(timeout=0)
            self.close_all_except(())

    def _serve(self, socket: gevent.socket.socket, _: object) -> None:
        self._counters["accepts"] += 1
        stream.Stream(
            socket,
            outboxes.Outbox(),
            self._on_message,
            self._clock,
            self._counters,
            None,
        ).run()


@contextlib.contextmanager
def run(
    address: str,
    on_message: peer_transport.MessageHandler,
    clock: clocks.Clock,
    rng: random.Random,
    on_closed: OnClosed = _ignore,
) -> Iterator[Streams]:
    """Listens on ``address`` and closes every stream at exit.

    Args:
        address: "ip:port"; port 0 takes a free one.
        on_message: called in the task of the stream; it may block that
            stream, which holds its sender back.
        clock: judges silence and waits between attempts.
        rng: spreads the attempts to reconnect.
        on_closed: told of each outgoing stream that ends, at once when its
            process is killed.
    """
    streams = Streams(on_message, clock, rng, on_closed)
    with streams._listening(address):
        yield streams
