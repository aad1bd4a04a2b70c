"""One TCP stream between two processes, while it lasts."""

import collections
import contextlib

import gevent
import gevent.socket

from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import codec
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.transport import outbox as outboxes
from vanillaswitch.transport import sockets

WRITE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_S = 30.0
SILENCE_S = 3.0
ACKNOWLEDGE_EVERY_S = 1.0

_RECEIVE_BYTES = 65_536


class Stream:
    """One connected socket, read and written until it fails."""

    def __init__(
        self,
        socket: gevent.socket.socket,
        outbox: outboxes.Outbox,
        on_message: peer_transport.MessageHandler,
        clock: clocks.Clock,
        counters: collections.Counter[str],
        peer: str | None,
    ):
        sockets.set_no_delay(socket)
        socket.settimeout(IDLE_TIMEOUT_S)
        self._socket = socket
        self._outbox = outbox
        self._on_message = on_message
        self._clock = clock
        self._counters = counters
        self._peer = peer
        self._outgoing = peer is not None
        self._encoder = codec.Encoder(small=not self._outgoing)
        self._decoder = codec.Decoder()
        self._unanswered_since: float | None = None
        self._acknowledged_at: float | None = None
        self._heard_at: float | None = None

    @property
    def heard(self) -> bool:
        """Whether the other end ever sent anything."""
        return self._heard_at is not None

    def run(self) -> None:
        """Reads and writes until the stream ends, then closes it."""
        writer = gevent.spawn(self._write_all)
        try:
            self._read_all()
        finally:
            writer.kill()
            self._socket.close()

    def _read_all(self) -> None:
        while True:
            try:
                data = self._socket.recv(_RECEIVE_BYTES)
            except OSError:
                return
            if not data:
                return
            self._counters["bytes_in"] += len(data)
            self._heard_at = self._clock.monotonic()
            self._unanswered_since = None
            decoded = self._decoder.feed(data)
            self._deliver(decoded)
            if decoded.error is not None:
                self._counters["malformed"] += 1
                logs.warning(
                    "stream of {} closed: {}", self._peer, decoded.error.reason
                )
                return

    def _deliver(self, decoded: codec.Decoded) -> None:
        self._counters["passed_over"] += decoded.skipped_frames
        self._counters["messages_in"] += len(decoded.messages)
        for message in decoded.messages:
            if isinstance(message, peers.Heartbeat) and not self._outgoing:
                self._peer = message.address
            self._on_message(self._peer, message, self._reply)
        if decoded.messages or decoded.skipped_frames:
            self._acknowledge()

    def _acknowledge(self) -> None:
        """Shows the sender that the stream works, about once a second."""
        now = self._clock.monotonic()
        last = self._acknowledged_at
        if self._outgoing or (
            last is not None and now - last < ACKNOWLEDGE_EVERY_S
        ):
            return
        self._acknowledged_at = now
        self._outbox.request_acknowledgement()

    def _reply(self, message: peers.Message) -> None:
        if not self._outbox.put(message):
            self._counters["dropped"] += 1

    def _write_all(self) -> None:
        while True:
            self._outbox.wait()
            if self._silent():
                self._counters["silent"] += 1
                break
            data = self._next()
            if data is not None and not self._write(data):
                break
        with contextlib.suppress(OSError):
            self._socket.shutdown(gevent.socket.SHUT_RDWR)

    def _silent(self) -> bool:
        """Whether what was sent has stayed unanswered for too long.

        Something between the two ends can lose track of a connection: writes
        go on to succeed and nothing arrives, for good, while a new connection
        works. Every working stream is acknowledged about once a second, so
        one that stays silent for longer is replaced. Our own pause may close
        a good stream; that costs one reconnection and no queued message.
        """
        since = self._unanswered_since
        return since is not None and (
            self._clock.monotonic() - since >= SILENCE_S
        )

    def _expect_answer(self) -> None:
        """Notes when the other end began to owe an acknowledgement.

        It sends the next one a second after it sent the last, which is no
        later than a second after the last one came here.
        """
        if not self._outgoing or self._unanswered_since is not None:
            return
        now = self._clock.monotonic()
        heard_at = self._heard_at
        if heard_at is None or now - heard_at >= ACKNOWLEDGE_EVERY_S:
            self._unanswered_since = now

    def _next(self) -> bytes | None:
        message = self._outbox.pop()
        if message is None:
            return self._encoder.encode_acknowledgement()
        encoded = self._encoder.encode(message)
        if isinstance(encoded, codec.TooLarge):
            self._counters["dropped"] += 1
            logs.warning(
                "{} of {} bytes is too large to send",
                type(message).__name__,
                encoded.size,
            )
            return None
        self._counters["messages_out"] += 1
        return encoded

    def _write(self, data: bytes) -> bool:
        self._expect_answer()
        try:
            with gevent.Timeout(WRITE_TIMEOUT_S):
                self._socket.sendall(data)
        except (OSError, gevent.Timeout):
            return False
        self._counters["bytes_out"] += len(data)
        self._counters["writes"] += 1
        return True
