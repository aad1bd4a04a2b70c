"""A relay to the platform that can be cut, for some processes alone."""

import contextlib

import gevent
import gevent.server

from vanillaswitch.transport import sockets

_BLOCK_BYTES = 65_536
_CONNECT_S = 5.0


class Relay:
    """Passes bytes on in both directions until it is cut."""

    def __init__(self, target):
        self._target = target
        self._open = set()
        self._whole = True
        self._server = gevent.server.StreamServer(
            sockets.listen("127.0.0.1:0"), self._serve
        )

    @property
    def address(self):
        """The "ip:port" that it listens on."""
        host, port = self._server.socket.getsockname()
        return f"{host}:{port}"

    def start(self):
        """Begins to accept connections."""
        self._server.start()

    def cut(self):
        """Closes all connections; new ones are closed at once."""
        self._whole = False
        for connection in list(self._open):
            connection.close()

    def stop(self):
        """Closes all, the port too."""
        self.cut()
        self._server.stop()

    def _serve(self, near, _address):
        if not self._whole:
            return
        far = sockets.connect(self._target, _CONNECT_S)
        self._open |= {near, far}
        back = gevent.spawn(_pass_on, far, near)
        _pass_on(near, far)
        back.kill()
        far.close()
        self._open -= {near, far}


def _pass_on(source, target):
    with contextlib.suppress(OSError):
        while data := source.recv(_BLOCK_BYTES):
            target.sendall(data)


@contextlib.contextmanager
def run(target):
    """Yields a running relay to "ip:port"."""
    relay = Relay(target)
    relay.start()
    try:
        yield relay
    finally:
        relay.stop()
