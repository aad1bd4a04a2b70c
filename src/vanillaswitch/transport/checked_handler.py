"""A server whose handler checks each request before anything is done."""

from collections.abc import Callable
import io
import math
import select
import time
from typing import Any

import gevent
from gevent import pywsgi
from gevent import socket
import gevent.event
import gevent.pool

from vanillaswitch.internal import logs
from vanillaswitch.protocol import requests
from vanillaswitch.transport import problems
from vanillaswitch.transport import request_checks
from vanillaswitch.transport import sockets

ENVIRON_TARGET = "vanillaswitch.target"
ENVIRON_HEADERS = "vanillaswitch.headers"
ENVIRON_BODY = "vanillaswitch.body"
ENVIRON_RECEIVED = "vanillaswitch.received"

_BLOCK_BYTES = 65_536
_LINGER_BYTES = 1_048_576
_LINGER_S = 5.0
_REQUEST_READ_S = 30.0
_MAX_CONNECTIONS = 4096
_STOPPED = requests.Refusal(
    requests.Outcome.UNKNOWN,
    500,
    "stopped",
    "this process stopped before the answer came; it may have run",
)

Application = Callable[..., Any]


class CheckedServer(sockets.HttpServer):
    """Counts requests in flight and knows its connections."""

    def __init__(
        self,
        listener: socket.socket,
        application: Application,
        max_body_bytes: Callable[[], int],
        monotonic: Callable[[], float] = time.monotonic,
    ):
        super().__init__(
            listener,
            application,
            spawn=gevent.pool.Pool(_MAX_CONNECTIONS),
            error_log=None,
            handler_class=CheckedHandler,
        )
        self.max_body_bytes = max_body_bytes
        self.monotonic = monotonic
        self.bad_requests = 0
        self._in_flight = 0
        self._open: dict[socket.socket, float] = {}
        self._changed = gevent.event.Event()

    @property
    def in_flight(self) -> int:
        """How many requests have begun and are not answered."""
        return self._in_flight

    @property
    def has_unread(self) -> bool:
        """Whether any connection has bytes that nobody has read yet."""
        poller = select.poll()
        for connection in self._open:
            poller.register(connection.fileno(), select.POLLIN)
        return bool(poller.poll(0))

    def update_environ(self) -> None:
        """Names the server without asking a resolver for its name."""
        host, port = self.address
        self.environ["SERVER_NAME"] = host
        self.environ["SERVER_PORT"] = str(port)

    def handle(self, sock: socket.socket, address: Any) -> None:
        """Serves one connection."""
        self._open[sock] = self.monotonic()
        try:
            super().handle(sock, address)
        finally:
            del self._open[sock]
            self._changed.set()

    def begin_request(self) -> None:
        """Counts a request whose first line came."""
        self._in_flight += 1

    def end_request(self, sock: socket.socket | None) -> None:
        """Counts a request as answered, on a connection unless it is gone."""
        self._in_flight -= 1
        if sock in self._open:
            self._open[sock] = self.monotonic()
        self._changed.set()

    @property
    def unused_s(self) -> float:
        """Time since any open connection was used; infinite without one."""
        last = max(self._open.values(), default=-math.inf)
        return self.monotonic() - last

    def wait_for_change(self, timeout_s: float) -> None:
        """Waits until a request or a connection ends, or for some time."""
        self._changed.clear()
        self._changed.wait(timeout_s)

    def accept_backlog(self) -> None:
        """Accepts what the kernel has accepted already, then no more.

        A caller in the kernel's queue has sent its request as far as it can
        tell. Closing the listener would reset it, and it could not know that
        the request was not run; accepted, it is told so.
        """
        self.stop_accepting()
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()


class CheckedHandler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Reads whole requests; the application sees nothing that is broken."""

    server: CheckedServer

    def handle_one_request(self) -> Any:
        """Serves one request; see the base class for the result."""
        line = self._first_line()
        if not line:
            return None
        self.server.begin_request()
        try:
            result = self._serve(line)
            if not isinstance(result, bytes):
                return result
            self._close_after(result)
            return None
        finally:
            self.server.end_request(self.socket)

    def handle_error(self, kind: Any, error: Any, trace: Any) -> None:
        """Tells the caller that nothing certain is known of its request."""
        del trace
        if not issubclass(kind, gevent.GreenletExit):
            logs.error("a request failed: {!r}", error)
        self.close_connection = True
        if not self.response_length:
            self._close_after(problems.last_message(_STOPPED))

    def get_environ(self) -> dict[str, Any]:
        """Adds the request as it came; the body has been read already."""
        environ: dict[str, Any] = super().get_environ()
        # Given as read, so that the library looks for no chunks in it.
        environ.pop("HTTP_TRANSFER_ENCODING", None)
        self.wsgi_input = pywsgi.Input(io.BytesIO(self._body), len(self._body))
        environ["wsgi.input"] = self.wsgi_input
        environ["CONTENT_LENGTH"] = str(len(self._body))
        environ[ENVIRON_TARGET] = self.path
        environ[ENVIRON_HEADERS] = self._fields
        environ[ENVIRON_BODY] = self._body
        environ[ENVIRON_RECEIVED] = self._received
        return environ

    def _first_line(self) -> str:
        if self.rfile.closed:
            return ""
        try:
            line = self.rfile.readline(request_checks.MAX_LINE_BYTES)
        except OSError:
            return ""
        return str(line, "latin-1")

    def _serve(self, line: str) -> Any:
        self.requestline = line
        try:
            # A caller that stops in the middle would hold its connection
            # and this task for good.
            with gevent.Timeout(_REQUEST_READ_S, _slow_request()):
                self._read(line)
        except request_checks.BadRequestError as error:
            return self._refused(error)
        except OSError:
            self.close_connection = True
            return None
        self.environ = self.get_environ()
        self.application = self.server.application
        self.handle_one_response()
        return None if self.close_connection else True

    def _read(self, line: str) -> None:
        """Reads the rest of the request.

        Raises:
            request_checks.BadRequestError: it can't be served.
            OSError: the connection failed.
        """
        parsed = request_checks.request_line(line)
        self.command = parsed.method
        self.path = parsed.target
        self.request_version = parsed.version
        self.headers = self.MessageClass(
            request_checks.HeadLines(self.rfile), 0
        )
        self._fields: requests.Headers = tuple(self.headers.items())
        self._received = self.server.monotonic()
        framing = request_checks.framing(parsed, self._fields)
        self.close_connection = not framing.keep_alive
        self.content_length = framing.length
        self._body = self._read_body(framing.length)

    def _read_body(self, length: int | None) -> bytes:
        limit = self.server.max_body_bytes()
        if length is not None and length > limit:
            raise _too_large(limit)
        wants_continue = self.headers.get("expect", "").lower()
        source = pywsgi.Input(
            self.rfile,
            length,
            socket=self.socket if wants_continue == "100-continue" else None,
            chunked_input=length is None,
        )
        pieces: list[bytes] = []
        size = 0
        while piece := _read_piece(source):
            size += len(piece)
            if size > limit:
                raise _too_large(limit)
            pieces.append(piece)
        return b"".join(pieces)

    def _refused(self, error: request_checks.BadRequestError) -> bytes:
        self.server.bad_requests += 1
        return problems.last_message(error.refusal)

    def _close_after(self, message: bytes) -> None:
        """Sends a last message and closes the connection in order.

        Closing a socket with unread bytes resets the connection, and the
        reset can overtake the message: the caller would see a failure instead
        of the reason. So the sending side is closed first, and what still
        comes is thrown away, up to a limit of bytes and time.
        """
        with gevent.Timeout(_LINGER_S, False):
            try:
                self.socket.sendall(message)
                self.socket.shutdown(socket.SHUT_WR)
                left = _LINGER_BYTES
                while left > 0 and (data := self.socket.recv(_BLOCK_BYTES)):
                    left -= len(data)
            except OSError:
                return


def _slow_request() -> request_checks.BadRequestError:
    return request_checks.BadRequestError(
        408, "slow-request", f"no whole request came in {_REQUEST_READ_S:g} s"
    )


def _too_large(limit: int) -> request_checks.BadRequestError:
    return request_checks.BadRequestError(
        413, "body-too-large", f"the body exceeds {limit} bytes"
    )


def _read_piece(source: pywsgi.Input) -> bytes:
    try:
        piece: bytes = source.read(_BLOCK_BYTES)
        return piece
    except (OSError, ValueError) as error:
        # The library reports a cut body and a broken chunk in the same way,
        # and an empty chunk size as ValueError. A reset ends up here too;
        # the message is then sent to nobody.
        raise request_checks.BadRequestError(
            400, "bad-body", f"the body is cut or malformed: {error}"
        ) from error
