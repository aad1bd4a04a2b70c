"""The bounded queue in front of one stream."""

import collections

import gevent.event

from vanillaswitch.protocol import peers

LIMIT = 64


class Outbox:
    """Messages that wait for their stream; survives its reconnections.

    At most one heartbeat waits, the newest: older ones say nothing more. When
    the queue is full, the heartbeat gives way, then new messages are refused.
    """

    def __init__(self, limit: int = LIMIT):
        self._limit = limit
        self._messages: collections.deque[peers.Message] = collections.deque()
        self._ready = gevent.event.Event()
        self._acknowledge = False

    @property
    def waiting(self) -> bool:
        """Whether there is something to send."""
        return bool(self._ready.is_set())

    def put(self, message: peers.Message) -> bool:
        """Queues a message; False when it was dropped."""
        heartbeat = isinstance(message, peers.Heartbeat)
        full = len(self._messages) >= self._limit
        if heartbeat or full:
            self._drop_heartbeat()
        if len(self._messages) >= self._limit:
            return False
        self._messages.append(message)
        self._ready.set()
        return True

    def request_acknowledgement(self) -> None:
        """Has an acknowledgement sent before any message."""
        self._acknowledge = True
        self._ready.set()

    def wait(self) -> None:
        """Blocks until there is something to send."""
        self._ready.wait()

    def pop(self) -> peers.Message | None:
        """Takes the next thing to send; None means an acknowledgement."""
        message = None
        if self._acknowledge:
            self._acknowledge = False
        else:
            message = self._messages.popleft()
        if not self._messages:
            self._ready.clear()
        return message

    def _drop_heartbeat(self) -> None:
        for message in self._messages:
            if isinstance(message, peers.Heartbeat):
                self._messages.remove(message)
                return
