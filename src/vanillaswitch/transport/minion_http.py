"""HTTP towards minions: each call of ``send`` sends at most once.

``geventhttpclient.HTTPClient.request`` is not used, because it sends again by
itself when a pooled connection turns out closed; only its response parser is.
"""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import dataclasses

import gevent
from gevent import socket

from vanillaswitch import errors
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import answer_reader
from vanillaswitch.transport import connections
from vanillaswitch.transport import headers
from vanillaswitch.transport import sockets

MIN_ANSWER_BYTES_PER_S = 2_000.0
"""An answer that arrives more slowly is given up. Many answers may share a link
of 2 Mbit/s."""

RATE_WINDOW_S = 10.0
"""The rate of an answer is measured over periods of this length, so that one
that began fast and then trickles is given up, too."""

_BLOCK_BYTES = 65_536
_PAUSE_S = 0.5
_METHODS_WITH_BODY = frozenset({"POST", "PUT", "PATCH"})
_OWN_FIELDS = (
    "host",
    "content-length",
    requests.HEADER_REQUEST_ID.lower(),
    requests.HEADER_CALLER_ID.lower(),
    requests.HEADER_IDEMPOTENCY_KEY.lower(),
    requests.HEADER_TIMEOUT_MS.lower(),
)


@dataclasses.dataclass(frozen=True)
class ClientSettings:
    """Limits of the client.

    Attributes:
        max_answer_bytes: largest answer with its head; a larger one is Lost.
        connect_timeout_s: longest wait for a new connection.
        idle_per_minion: connections kept open without work, per minion.
        idle_s: longest time that a connection is kept open without work.
        patience_s: how much longer an answer is waited for than the time that
            the other end is told, for one that refuses at the last moment.
        min_answer_bytes_per_s: an answer that has begun may go on arriving
            beyond the timeout at this rate or more; None if the timeout limits
            the whole attempt.
    """

    max_answer_bytes: int = 16 * 1024 * 1024
    connect_timeout_s: float = 1.0
    idle_per_minion: int = 8
    idle_s: float = 30.0
    patience_s: float = 0.0
    min_answer_bytes_per_s: float | None = None


class _AttemptTimeout:
    """Time limit of one attempt.

    It limits the whole attempt, or, with a minimum rate, each pause in which
    nothing arrives. An answer whose size grows with the deployment would
    otherwise be cut off at the same point by each retry.
    """

    def __init__(
        self,
        clock: clocks.Clock,
        timeout_s: float,
        min_bytes_per_s: float | None,
    ):
        self._clock = clock
        self._timeout_s = timeout_s
        self._min_bytes_per_s = min_bytes_per_s
        self._window_started_at = clock.monotonic()
        self._received_before = 0
        self._timeout = gevent.Timeout(timeout_s)

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the timer, which raises ``gevent.Timeout`` in the block."""
        self._timeout.start()
        try:
            yield
        finally:
            self._timeout.close()

    def has_raised(self, timeout: gevent.Timeout) -> bool:
        """Whether an exception is this time limit and not an outer one."""
        return timeout is self._timeout

    def record_progress(self, received: int) -> None:
        """Allows an answer that arrives fast enough another pause.

        Args:
            received: bytes of the answer so far.

        Raises:
            gevent.Timeout: the answer arrives too slowly.
        """
        if self._min_bytes_per_s is None:
            return
        now = self._clock.monotonic()
        elapsed_s = now - self._window_started_at
        arrived = received - self._received_before
        if elapsed_s > self._timeout_s + arrived / self._min_bytes_per_s:
            raise self._timeout
        if elapsed_s >= RATE_WINDOW_S:
            self._window_started_at, self._received_before = now, received
        self._timeout.close()
        self._timeout = gevent.Timeout.start_new(self._timeout_s)


OnProgress = Callable[[int, int], None]
"""Called when a part of an answer arrived, with the bytes so far and the length
of the body by its head (0 while that is unknown)."""


def ignore_progress(received: int, announced: int) -> None:
    """Ignores the progress of a call."""
    del received, announced


def encode(
    minion: minions.Minion, request: requests.Request, timeout_s: float
) -> bytes:
    """Returns the bytes of a request.

    The minion is told the time that this attempt has, not the time that the
    caller gave at first: of a retry after a silent connection only a part is
    left, and a minion that went by the whole would work for nobody.

    Raises:
        errors.InvariantError: a field holds a line break.
    """
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {minion.address}",
        f"{requests.HEADER_REQUEST_ID}: {request.request_id}",
        f"{requests.HEADER_CALLER_ID}: {request.caller}",
    ]
    if headers.first(request.headers, requests.HEADER_TIMEOUT_MS):
        left_ms = max(1, int(timeout_s * 1000))
        lines.append(f"{requests.HEADER_TIMEOUT_MS}: {left_ms}")
    if request.idempotency_key:
        lines.append(
            f"{requests.HEADER_IDEMPOTENCY_KEY}: {request.idempotency_key}"
        )
    if request.body or request.method in _METHODS_WITH_BODY:
        lines.append(f"Content-Length: {len(request.body)}")
    passed_on = headers.without(
        headers.end_to_end(request.headers), *_OWN_FIELDS
    )
    lines.extend(f"{name}: {value}" for name, value in passed_on)
    # A line break inside a field would begin a second request, which would
    # run unseen: the caller's side lets none in, and this holds it to that.
    if any("\r" in line or "\n" in line for line in lines):
        raise errors.InvariantError("a header field holds a line break")
    head = "\r\n".join(lines) + "\r\n\r\n"
    return head.encode("latin-1") + request.body


Encode = Callable[[minions.Minion, requests.Request, float], bytes]
"""Writes a request's bytes for an attempt of so many seconds."""


class _Exchange:
    """One request and its answer on one connection."""

    def __init__(
        self, limit: int, request: requests.Request, on_progress: OnProgress
    ):
        self._on_progress = on_progress
        self._reader = answer_reader.AnswerReader(request.method, limit)
        self._request = request
        self._sent = 0

    @property
    def reusable(self) -> bool:
        """Whether the connection may carry another request."""
        return self._reader.reusable

    def run(
        self, connection: socket.socket, data: bytes
    ) -> minions.SendOutcome:
        """Sends ``data`` once and reads the whole answer."""
        try:
            self._send(connection, data)
            self._read(connection)
        except (OSError, answer_reader.BrokenAnswerError) as error:
            return self.broken(str(error) or type(error).__name__)
        return self._check(self._reader.answer())

    def broken(
        self, reason: str, timed_out: bool = False
    ) -> minions.NotSent | minions.AnswerLost:
        """Returns what is known when the exchange ended early."""
        if not self._sent:
            return minions.NotSent(reason)
        received = self._reader.received
        return minions.AnswerLost(reason, timed_out and not received, received)

    def _send(self, connection: socket.socket, data: bytes) -> None:
        # ``sendall`` does not tell how much had left when it failed. Here
        # ``_sent`` stays 0 exactly until the kernel has taken a first byte,
        # so that NotSent is never said of a request that may have arrived.
        view = memoryview(data)
        while self._sent < len(data):
            self._sent += connection.send(view[self._sent :])

    def _read(self, connection: socket.socket) -> None:
        while not self._reader.whole:
            self._reader.feed(connection.recv(_BLOCK_BYTES))
            if not self._reader.whole:
                self._on_progress(self._reader.received, self._reader.announced)

    def _check(self, answer: requests.Answer) -> minions.SendOutcome:
        # A minion that answers one request twice leaves an answer on the
        # connection that may arrive just after it was found quiet. Where the
        # minion names the request that it answers, the name tells them apart.
        named = headers.first(answer.headers, requests.HEADER_REQUEST_ID)
        if named is not None and named != self._request.request_id:
            return minions.AnswerLost(
                "this answers another request", timed_out=False
            )
        return minions.Answered(answer)


class HttpMinionClient:
    """Implements ``protocol.minions.MinionClient`` over HTTP/1.1."""

    def __init__(
        self,
        clock: clocks.Clock,
        settings: ClientSettings | None = None,
        encode: Encode = encode,
    ):
        self._clock = clock
        self._encode = encode
        self._settings = settings or ClientSettings()
        self._pool = connections.ConnectionPool(
            clock, self._settings.idle_per_minion, self._settings.idle_s
        )

    def send(
        self,
        minion: minions.Minion,
        request: requests.Request,
        timeout_s: float,
        fresh: bool,
        on_progress: OnProgress = ignore_progress,
    ) -> minions.SendOutcome:
        """Sends one request once; see ``protocol.minions.MinionClient``.

        Args:
            minion: gets the request.
            request: is sent at most once.
            timeout_s: limit for the attempt, or for each pause in it; see
                ``ClientSettings.min_answer_bytes_per_s``.
            fresh: on a new connection rather than a kept one.
            on_progress: called while an answer arrives in parts.
        """
        if timeout_s <= 0:
            return minions.NotSent("no time left")
        data = self._encode(minion, request, timeout_s)
        limit = _AttemptTimeout(
            self._clock,
            timeout_s + self._settings.patience_s,
            self._settings.min_answer_bytes_per_s,
        )

        def report(received: int, announced: int) -> None:
            limit.record_progress(received)
            on_progress(received, announced)

        exchange = _Exchange(self._settings.max_answer_bytes, request, report)
        with limit.running():
            try:
                return self._exchange(exchange, minion.address, data, fresh)
            except gevent.Timeout as raised:
                if not limit.has_raised(raised):
                    raise
                return self._timed_out(exchange, minion.address)

    def close(self) -> None:
        """Closes all idle connections."""
        self._pool.close()

    def _exchange(
        self, exchange: _Exchange, address: str, data: bytes, fresh: bool
    ) -> minions.SendOutcome:
        connection = None if fresh else self._pool.take(address)
        if connection is None:
            opened = self._open(address)
            if isinstance(opened, minions.NotSent):
                return opened
            connection = opened
        reusable = False
        try:
            outcome = exchange.run(connection, data)
            reusable = exchange.reusable
            reusable = reusable and isinstance(outcome, minions.Answered)
            return outcome
        finally:
            # Also when the task is killed or timed out: an answer that comes
            # late on this connection would be read as the next request's.
            if reusable:
                self._pool.give_back(address, connection)
            else:
                connection.close()

    def _open(self, address: str) -> socket.socket | minions.NotSent:
        """Opens a connection.

        The failure guarded against: the process is paused meanwhile, and the
        minion is drained. No connect takes longer than its limit, so a longer
        time shows the pause; whoever chose the minion has to look again.
        """
        limit = self._settings.connect_timeout_s
        began = self._clock.monotonic()
        try:
            connection = sockets.connect(address, limit)
        except OSError as error:
            return minions.NotSent(f"no connection: {error}")
        if self._clock.monotonic() - began > limit + _PAUSE_S:
            connection.close()
            return minions.NotSent("the process was paused")
        return connection

    def _timed_out(
        self, exchange: _Exchange, address: str
    ) -> minions.NotSent | minions.AnswerLost:
        outcome = exchange.broken("no whole answer in time", timed_out=True)
        # What lost track of one connection (a firewall that restarted, say)
        # has likely lost track of its neighbours of the same age, and each
        # would cost a request its whole timeout. New ones work.
        if isinstance(outcome, minions.AnswerLost) and outcome.timed_out:
            self._pool.discard(address)
        return outcome


@contextlib.contextmanager
def open_client(
    clock: clocks.Clock, settings: ClientSettings | None = None
) -> Iterator[HttpMinionClient]:
    """Yields a client and closes its idle connections afterwards."""
    client = HttpMinionClient(clock, settings)
    try:
        yield client
    finally:
        client.close()
