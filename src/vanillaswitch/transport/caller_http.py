"""HTTP from callers: whole requests in, true and complete answers out."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import json
from typing import Any

import falcon
import gevent

from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import requests
from vanillaswitch.transport import checked_handler
from vanillaswitch.transport import headers
from vanillaswitch.transport import problems
from vanillaswitch.transport import sockets

QUIET_S = 1.0
"""A kept connection unused for so long is closed by a drain."""

_DRAIN_POLL_S = 0.05
_RETRY_AFTER_DRAIN_S = 1.0
_BODILESS_STATUSES = frozenset({204, 304})
_FAILED = requests.Refusal(
    requests.Outcome.UNKNOWN,
    500,
    "internal-error",
    "an internal error; it is not known whether the request ran",
)
_LEAVING = requests.Refusal(
    requests.Outcome.NOT_RUN,
    503,
    "leaving",
    "this entry is shutting down; it did not run the request",
    _RETRY_AFTER_DRAIN_S,
)

Handle = Callable[[requests.RawRequest], requests.Reply]


@dataclasses.dataclass(frozen=True)
class Pages:
    """What is served below ``/_/`` to operators and the balancer.

    Attributes:
        ready: whether to send callers here, and why not.
        live: whether the process is worth keeping.
        counters: totals since the start, by name.
        histograms: JSON-compatible figures, by name.
    """

    ready: Callable[[], tuple[bool, str]]
    live: Callable[[], bool]
    counters: Callable[[], Mapping[str, int]]
    histograms: Callable[[], Mapping[str, Any]]


class Server:
    """A listening server; ``serve`` makes it."""

    def __init__(
        self,
        listen: str,
        handle: Handle,
        pages: Pages,
        clock: clocks.Clock,
        max_body_bytes: Callable[[], int],
    ):
        self._handle = handle
        self._pages = pages
        self._draining = False
        self._server = checked_handler.CheckedServer(
            sockets.listen(listen),
            _application(self),
            max_body_bytes,
            clock.monotonic,
        )
        self._address = self._server.bound

    @property
    def address(self) -> str:
        """The "ip:port" that it listens on."""
        return self._address

    @property
    def in_flight(self) -> int:
        """How many requests have begun and are not answered."""
        return self._server.in_flight

    @property
    def bad_requests(self) -> int:
        """How many requests were refused for their framing or size."""
        return self._server.bad_requests

    @property
    def draining(self) -> bool:
        """Whether ``drain`` was called."""
        return self._draining

    @property
    def pages(self) -> Pages:
        """What is served below ``/_/``."""
        return self._pages

    def start(self) -> None:
        """Begins to accept connections."""
        self._server.start()

    def drain(self, grace_s: float) -> bool:
        """Shuts down gracefully.

        No new connection is accepted, requests in flight finish, and a new
        request on a kept connection is refused as not run. Connections in use
        are kept until their next request, or until they were not used for
        ``QUIET_S``.

        Args:
            grace_s: longest wait for the requests in flight.

        Returns:
            Whether all requests in flight were answered.
        """
        self._draining = True
        self._server.accept_backlog()
        with gevent.Timeout(grace_s, False):
            while not self._is_quiet():
                self._server.wait_for_change(_DRAIN_POLL_S)
            return True
        return False

    def stop(self) -> None:
        """Closes all connections at once."""
        self._server.stop(timeout=0)

    def reply(self, incoming: requests.RawRequest) -> requests.Reply:
        """Returns what a request is answered with."""
        if self._draining:
            return _LEAVING
        return self._handle(incoming)

    def _is_quiet(self) -> bool:
        # Lets the tasks of just accepted connections begin, and those read
        # whose requests are in the kernel's buffers: such a request was sent
        # in good time and is refused rather than reset.
        gevent.sleep(0)
        if self._server.in_flight or self._server.has_unread:
            return False
        # A request may be on its way on a connection that was used a moment
        # ago. Closing that would reset it, and its caller could not know that
        # it was not run; answered once more, the caller is told to leave.
        return self._server.unused_s >= QUIET_S


def _application(server: Server) -> falcon.App[Any, Any]:
    app = falcon.App(media_type="", middleware=_CloseInDrain(server))
    app.add_error_handler(Exception, _on_failure)
    app.add_route("/_/ready", _Page(lambda: _ready(server)))
    app.add_route("/_/live", _Page(lambda: _live(server)))
    app.add_route("/_/counters", _Page(lambda: (200, server.pages.counters())))
    app.add_route(
        "/_/histograms", _Page(lambda: (200, server.pages.histograms()))
    )

    def sink(
        req: falcon.Request, resp: falcon.Response, **_params: Any
    ) -> None:
        reply = server.reply(_incoming(req.env))
        _write(reply, resp, req.method)

    app.add_sink(sink, "/")
    return app


class _CloseInDrain:
    """Sends callers to another connection once a drain has begun."""

    def __init__(self, server: Server):
        self._server = server

    def process_response(
        self,
        request: falcon.Request,
        response: falcon.Response,
        resource: object,
        succeeded: bool,
    ) -> None:
        """Called after the answer is known: a drain may have begun since."""
        del request, resource, succeeded
        if self._server.draining:
            response.set_header("Connection", "close")


class _Page:
    """One resource that shows a JSON document."""

    def __init__(self, show: Callable[[], tuple[int, Mapping[str, Any]]]):
        self._show = show

    def on_get(
        self,
        request: falcon.Request,  # noqa: ARG002
        response: falcon.Response,
    ) -> None:
        """Shows the document."""
        response.status, document = self._show()
        response.content_type = "application/json"
        response.data = json.dumps(dict(document)).encode()


def _ready(server: Server) -> tuple[int, Mapping[str, Any]]:
    ready, reason = server.pages.ready()
    if server.draining:
        ready, reason = False, "draining"
    return (200 if ready else 503), {"ready": ready, "reason": reason}


def _live(server: Server) -> tuple[int, Mapping[str, Any]]:
    live = server.pages.live()
    return (200 if live else 503), {"live": live}


def _incoming(environ: Mapping[str, Any]) -> requests.RawRequest:
    return requests.RawRequest(
        method=environ["REQUEST_METHOD"],
        target=environ[checked_handler.ENVIRON_TARGET],
        headers=environ[checked_handler.ENVIRON_HEADERS],
        body=environ[checked_handler.ENVIRON_BODY],
        received_at=environ[checked_handler.ENVIRON_RECEIVED],
    )


def _write(
    reply: requests.Reply, response: falcon.Response, method: str
) -> None:
    if isinstance(reply, requests.Refusal):
        response.status = reply.status
        response.data = problems.body(reply)
        fields = problems.fields(reply)
    else:
        response.status = reply.status
        response.data = reply.body
        fields = _answer_fields(reply, method)
    for name, value in fields:
        response.append_header(name, value)


def _answer_fields(answer: requests.Answer, method: str) -> requests.Headers:
    """Returns the fields of an answer that are passed on.

    Only an answer to HEAD keeps the length that it came with: it tells of a
    body that is not there. Elsewhere the length is that of the body.
    """
    fields = headers.end_to_end(answer.headers)
    if method != "HEAD" or answer.status in _BODILESS_STATUSES:
        fields = headers.without(fields, "content-length")
    fields = headers.without(fields, requests.HEADER_OUTCOME.lower())
    return (*fields, (requests.HEADER_OUTCOME, requests.Outcome.RAN.value))


def _on_failure(
    request: falcon.Request,
    response: falcon.Response,
    error: Exception,
    params: Mapping[str, Any],
) -> None:
    del params
    logs.error("a request failed: {!r}", error)
    _write(_FAILED, response, request.method)


@contextlib.contextmanager
def serve(
    listen: str,
    handle: Handle,
    pages: Pages,
    clock: clocks.Clock,
    max_body_bytes: Callable[[], int],
) -> Iterator[Server]:
    """Yields a running server and closes it afterwards.

    Args:
        listen: "ip:port"; port 0 takes any free one.
        handle: answers one request; called in the connection's own task.
        pages: what operators see.
        clock: stamps the arrival of requests.
        max_body_bytes: largest request body now in force.

    Raises:
        OSError: the address can't be bound.
    """
    server = Server(listen, handle, pages, clock, max_body_bytes)
    server.start()
    try:
        yield server
    finally:
        server.stop()
