"""Addresses and sockets that send small messages at once.

Without TCP_NODELAY a small message waits in the sender for the other end's
delayed acknowledgement, about 40 ms on each hop. The libraries underneath set
it neither on accepted nor on opened sockets, so everything here does.
"""

from typing import Any

from gevent import pywsgi
import gevent.socket

_BACKLOG = 1024


def parse_address(address: str) -> tuple[str, int]:
    """Splits "ip:port".

    Raises:
        ValueError: it is not of that form.
    """
    host, colon, port = address.rpartition(":")
    if not colon or not host:
        raise ValueError(f"{address!r} is not of the form ip:port")
    return host, int(port)


def format_address(host: str, port: int) -> str:
    """Returns "ip:port"."""
    return f"{host}:{port}"


def bound_address(sock: Any) -> str:
    """Returns the "ip:port" that a socket is bound to."""
    host, port = sock.getsockname()[:2]
    return format_address(host, port)


def set_no_delay(sock: Any) -> None:
    """Sets TCP_NODELAY on a connected TCP socket."""
    sock.setsockopt(gevent.socket.IPPROTO_TCP, gevent.socket.TCP_NODELAY, 1)


def connect(address: str, timeout_s: float) -> Any:
    """Opens a connection with TCP_NODELAY set.

    Args:
        address: "ip:port".
        timeout_s: limit for connecting; the returned socket has no timeout.

    Raises:
        OSError: refused, unreachable or timed out.
    """
    sock = gevent.socket.create_connection(
        parse_address(address), timeout=timeout_s
    )
    set_no_delay(sock)
    sock.settimeout(None)
    return sock


def listen(address: str) -> Any:
    """Returns a listening socket; port 0 takes any free one.

    Raises:
        OSError: the address can't be bound.
    """
    sock = gevent.socket.socket(
        gevent.socket.AF_INET, gevent.socket.SOCK_STREAM
    )
    try:
        sock.setsockopt(gevent.socket.SOL_SOCKET, gevent.socket.SO_REUSEADDR, 1)
        sock.bind(parse_address(address))
        sock.listen(_BACKLOG)
    except BaseException:
        sock.close()
        raise
    return sock


class HttpServer(pywsgi.WSGIServer):  # type: ignore[misc]
    """A WSGI server whose accepted sockets have TCP_NODELAY set."""

    def __init__(self, listener: Any, application: Any, **options: Any):
        """Makes a server that writes no access log unless asked to.

        Args:
            listener: a listening socket, see ``listen``.
            application: the WSGI application.
            **options: passed on to ``pywsgi.WSGIServer``.
        """
        options.setdefault("log", None)
        super().__init__(listener, application, **options)

    @property
    def bound(self) -> str:
        """The "ip:port" that it listens on, known before it is started."""
        return bound_address(self.socket)

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection."""
        set_no_delay(sock)
        super().handle(sock, address)
