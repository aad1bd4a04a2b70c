"""Exchanges heartbeats and messages with peers.

Streams put received messages into one queue that a single task reads. So the
membership state and the message handlers need no locks.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import functools
import random
from typing import Any
from typing import TypeVar

import gevent
import gevent.event
import gevent.queue

from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.internal import supervision
from vanillaswitch.protocol import peer_transport
from vanillaswitch.protocol import peers
from vanillaswitch.state import settings as settings_lib

M = TypeVar("M", bound=peers.Message)

INBOX_LIMIT = 1024

Handler = Callable[[str | None, M, peer_transport.SendReply], None]
"""Called with (sender's address or None, message, reply); must not block."""


@dataclasses.dataclass(frozen=True)
class _ReceivedMessage:
    sender: str | None
    message: peers.Message
    reply: peer_transport.SendReply


class PeerNetwork:
    """Membership of a process among its peers, and messages to them."""

    def __init__(
        self,
        identity: heartbeat_sender.ProcessIdentity,
        seeds: tuple[str, ...],
        clock: clocks.Clock,
        snapshot: Callable[[], heartbeat_sender.LocalStatus],
    ):
        """Initializes a network that is not running; see ``run``.

        Args:
            identity: identifies this process to its peers.
            seeds: peer addresses to contact first.
            clock: measures silence.
            snapshot: returns what to send in the next heartbeats; must not
                block.
        """
        self._identity = identity
        self._clock = clock
        self._snapshot = snapshot
        self._transport: peer_transport.PeerTransport | None = None
        self._inbox: gevent.queue.Queue = gevent.queue.Queue(INBOX_LIMIT)
        self._handlers: dict[type, list[Handler[Any]]] = {}
        self._pending_queries: dict[str, gevent.event.AsyncResult] = {}
        self._counters: collections.Counter[str] = collections.Counter()
        self._heartbeat_sender: heartbeat_sender.HeartbeatSender | None = None
        self._state = peer_membership.MembershipState(
            process=identity.process,
            address="",
            seeds=seeds,
            last_tick_at=clock.monotonic(),
        )

    @property
    def address(self) -> str:
        """The "ip:port" at which peers reach this process."""
        return self._state.address

    @property
    def boot_id(self) -> str:
        """Random id of this process start."""
        return self._identity.boot

    @property
    def membership(self) -> peer_membership.MembershipState:
        """Current membership state of the peers."""
        return self._state

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts since the start, including those of the streams."""
        return {**self._running_transport.counters, **self._counters}

    @property
    def _running_transport(self) -> peer_transport.PeerTransport:
        assert self._transport is not None, "the peer network is not running"
        return self._transport

    @property
    def _running_sender(self) -> heartbeat_sender.HeartbeatSender:
        assert self._heartbeat_sender is not None, (
            "the peer network is not running"
        )
        return self._heartbeat_sender

    def live_heartbeats(
        self, role: peers.Role | None = None
    ) -> tuple[peers.Heartbeat, ...]:
        """Returns the newest heartbeats of live peers, ordered by process."""
        return peer_membership.live_heartbeats(self._state, role)

    def peer_in_flight(self) -> Mapping[str, int]:
        """Returns the peers' requests in flight, summed by minion."""
        return peer_membership.peer_in_flight(
            self._state, self._clock.monotonic()
        )

    def subscribe(self, kind: type[M], handler: Handler[M]) -> None:
        """Registers a handler for all messages of one type.

        It runs in the network's task and must not block. A handler with slow
        work puts it into a queue of its own.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, address: str, message: peers.Message) -> bool:
        """Queues a message to one peer; returns False if it was dropped."""
        return self._running_transport.send(address, message)

    def broadcast(self, message: peers.Message) -> None:
        """Queues a message to every known peer that does not count as gone."""
        gone = {
            member.last_heartbeat.address
            for member in self._state.members.values()
            if member.liveness is peer_membership.Liveness.GONE
        }
        for address in peer_membership.known_addresses(self._state):
            if address not in gone:
                self._running_transport.send(address, message)

    def query_claim(
        self, address: str, query: peers.ClaimQuery, timeout_s: float
    ) -> peers.ClaimReply | None:
        """Sends a claim query to one peer and waits for its reply.

        Returns:
            The reply; None if the message was dropped or no reply came within
            the timeout. None says nothing about the state of the claim.
        """
        pending = gevent.event.AsyncResult()
        self._pending_queries[query.query] = pending
        try:
            if not self._running_transport.send(address, query):
                return None
            reply: peers.ClaimReply | None = pending.wait(timeout=timeout_s)
            return reply
        finally:
            self._pending_queries.pop(query.query, None)

    def _receive(
        self,
        sender: str | None,
        message: peers.Message,
        reply: peer_transport.SendReply,
    ) -> None:
        self._inbox.put(_ReceivedMessage(sender, message, reply))

    def _start(self, transport: peer_transport.PeerTransport) -> None:
        self._transport = transport
        self._heartbeat_sender = heartbeat_sender.HeartbeatSender(
            self._identity, transport
        )
        self._state = dataclasses.replace(
            self._state, address=transport.address
        )

    def _process_inbox(self) -> None:
        """Handles queued messages and ticks in order; None is a tick."""
        while True:
            received = self._inbox.get()
            if received is None:
                self._tick()
            else:
                self._handle(received)

    def _handle(self, received: _ReceivedMessage) -> None:
        message = received.message
        if isinstance(message, peers.Heartbeat):
            self._update_membership(message)
        elif isinstance(message, peers.ClaimReply):
            pending = self._pending_queries.get(message.query)
            if pending is not None:
                pending.set(message)
        for handler in self._handlers.get(type(message), ()):
            handler(received.sender, message, received.reply)

    def _update_membership(self, heartbeat: peers.Heartbeat) -> None:
        before = self._state
        self._state = peer_membership.with_heartbeat(
            before, heartbeat, self._clock.monotonic()
        )
        self._log_liveness_changes(before)
        self._send_to_new_addresses()

    def _tick(self) -> None:
        before = self._state
        self._state = peer_membership.with_liveness_checked(
            before, self._clock.monotonic()
        )
        self._log_liveness_changes(before)
        self._send_to_new_addresses()
        self._running_sender.send_due(self._state, self._snapshot())

    def _send_to_new_addresses(self) -> None:
        self._running_sender.send_to_new_addresses(
            self._state, self._snapshot()
        )

    def _log_liveness_changes(
        self, before: peer_membership.MembershipState
    ) -> None:
        for process, member in self._state.members.items():
            known = before.members.get(process)
            if known is None or known.liveness is not member.liveness:
                self._counters[f"members_{member.liveness}"] += 1
                logs.info("peer {} is {}", process, member.liveness)


def _tick_periodically(
    inbox: gevent.queue.Queue, clock: clocks.Clock, rng: random.Random
) -> None:
    """Queues ticks, with jitter so that processes do not send in lockstep."""
    while True:
        inbox.put(None)
        clock.sleep(heartbeat_schedule.TICK_S * (0.95 + 0.1 * rng.random()))


@contextlib.contextmanager
def run(
    settings: settings_lib.Settings,
    role: peers.Role,
    boot_id: str,
    open_transport: peer_transport.TransportFactory,
    clock: clocks.Clock,
    rng: random.Random,
    local_status: Callable[[], heartbeat_sender.LocalStatus],
) -> Iterator[PeerNetwork]:
    """Runs the peer network of a process until the context exits.

    An error in a handler is a broken invariant. It is raised in the task that
    opened this context, so that the process stops instead of running on
    without handling messages.

    Args:
        settings: name, data centre, listen address and seeds of the process.
        role: which daemon this is.
        boot_id: random id of this process start.
        open_transport: opens the transport that listens and sends messages.
        clock: measures silence and paces the heartbeats.
        rng: draws the jitter of the heartbeats.
        local_status: returns what to send in the next heartbeats; must not
            block.
    """
    identity = heartbeat_sender.ProcessIdentity(
        settings.process, boot_id, role, settings.data_centre
    )
    network = PeerNetwork(identity, settings.seeds, clock, local_status)
    with open_transport(settings.peer_listen, network._receive) as transport:
        network._start(transport)
        tick_periodically = functools.partial(
            _tick_periodically, network._inbox, clock, rng
        )
        with supervision.running(network._process_inbox, tick_periodically):
            yield network
