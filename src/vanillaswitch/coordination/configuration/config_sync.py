"""Keeps the configuration of this process up to date.

New configurations come from the table, which is polled once a second, and from
peers, which offer each configuration that they apply. Either source is enough:
while the table is down, peers pass on what one of them has read.
"""

from collections.abc import Callable
import dataclasses

from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import canonical
from vanillaswitch.state import config_view

POLL_S = 1.0

Broadcast = Callable[[peers.Message], None]
"""Sends a message to each known peer, without waiting for it."""


@dataclasses.dataclass
class Counters:
    """Counts since the start.

    Attributes:
        polls_failed: reads of the head that got no answer.
        taken: configurations that came into force.
        late: bodies from peers that were not newer than the one in force.
        damaged: bodies that do not match their digest.
        unreadable: bodies that this version of the program can't read.
    """

    polls_failed: int = 0
    taken: int = 0
    late: int = 0
    damaged: int = 0
    unreadable: int = 0


class ConfigSync:
    """Polls the table and exchanges configurations with peers.

    Attributes:
        counters: counts since the start.
    """

    def __init__(
        self,
        view: config_view.ConfigView,
        table: platform.Table,
        objects: platform.ObjectStore,
        clock: clocks.Clock,
        broadcast: Broadcast,
    ):
        """Initializes a task that is not running yet.

        Args:
            view: this process's configuration; only this task changes it.
            table: holds the head.
            objects: holds the bodies.
            clock: paces the polls.
            broadcast: sends a message to all peers.
        """
        self.counters = Counters()
        self._view = view
        self._table = table
        self._objects = objects
        self._clock = clock
        self._broadcast = broadcast
        self._body = b""
        self._is_table_available = True

    def run(self) -> None:
        """Polls until its greenlet is killed."""
        while True:
            self.poll()
            self._clock.sleep(POLL_S)

    def poll(self) -> None:
        """Applies the configuration in the table if it is newer."""
        if self._view.number == rollout.NO_CONFIG_NUMBER:
            self._broadcast(peers.ConfigRequest(1))
        head = rollout.read_head(self._table)
        if isinstance(head, platform.Unavailable):
            self.counters.polls_failed += 1
            self._log_table_state(False)
            return
        self._log_table_state(True)
        if head.row.number > self._view.number:
            self._fetch_body(head.row.number, head.row.digest)

    def on_message(
        self,
        sender_address: str | None,
        message: peers.Message,
        reply: Callable[[peers.Message], None],
    ) -> None:
        """Handles a message from a peer; ignores those of other types.

        Args:
            sender_address: the peer's address, for the log; None if unknown.
            message: the received message.
            reply: sends a message back to the peer.
        """
        match message:
            case peers.ConfigOffer():
                self._compare_versions(message.version, reply)
            case peers.Heartbeat():
                self._compare_versions(message.config_version, reply)
            case peers.ConfigRequest():
                self._send_body(message, reply)
            case peers.ConfigBody() if message.version > self._view.number:
                self._apply(
                    message.version,
                    message.digest,
                    message.body,
                    f"peer {sender_address}",
                )
            case peers.ConfigBody():
                self.counters.late += 1

    def _compare_versions(
        self, number: int, reply: Callable[[peers.Message], None]
    ) -> None:
        """Requests a newer configuration or offers the peer a newer one."""
        if number > self._view.number:
            reply(peers.ConfigRequest(number))
        elif number < self._view.number:
            reply(peers.ConfigOffer(self._view.number, self._view.digest))

    def _send_body(
        self,
        request: peers.ConfigRequest,
        reply: Callable[[peers.Message], None],
    ) -> None:
        if rollout.NO_CONFIG_NUMBER < request.version <= self._view.number:
            reply(
                peers.ConfigBody(
                    self._view.number, self._view.digest, self._body
                )
            )

    def _fetch_body(self, number: int, digest: str) -> None:
        body = rollout.load_body(self._objects, digest)
        if body is None:
            # Only the object store is down, since the head could be read. A
            # peer that applied this configuration earlier has the body.
            self._broadcast(peers.ConfigRequest(number))
            return
        self._apply(number, digest, body, "the platform")

    def _apply(
        self, number: int, digest: str, body: bytes, source: str
    ) -> None:
        if canonical.digest(body) != digest:
            self.counters.damaged += 1
            return
        config = canonical.load(body)
        if config is None:
            self.counters.unreadable += 1
            return
        # The view compares numbers again: a newer configuration may have come
        # from a peer while the body was fetched.
        if not self._view.offer(number, digest, config):
            return
        self._body = body
        self.counters.taken += 1
        logs.info("configuration {} taken from {}", number, source)
        self._broadcast(peers.ConfigOffer(number, digest))

    def _log_table_state(self, is_available: bool) -> None:
        if is_available != self._is_table_available:
            self._is_table_available = is_available
            state = "available again" if is_available else "unavailable"
            logs.warning("configuration table {}", state)
