"""The task that tells peers of us and keeps what they tell.

Streams put what they receive into one queue; one task reads it, so the view
of the peers and the handlers of messages need no locks.
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

from vanillaswitch.coordination.peering import announcer
from vanillaswitch.coordination.peering import heartbeat_schedule
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
"""Takes (sender's address or None, message, reply); must not block."""


@dataclasses.dataclass(frozen=True)
class _Received:
    sender: str | None
    message: peers.Message
    reply: peer_transport.SendReply


class PeerNetwork:
    """A process's place among its peers."""

    def __init__(
        self,
        identity: announcer.Identity,
        seeds: tuple[str, ...],
        clock: clocks.Clock,
        snapshot: Callable[[], announcer.Own],
    ):
        """Makes a network that is not running; see ``run``."""
        self._identity = identity
        self._clock = clock
        self._snapshot = snapshot
        self._transport: peer_transport.PeerTransport | None = None
        self._inbox: gevent.queue.Queue = gevent.queue.Queue(INBOX_LIMIT)
        self._handlers: dict[type, list[Handler[Any]]] = {}
        self._asked: dict[str, gevent.event.AsyncResult] = {}
        self._counters: collections.Counter[str] = collections.Counter()
        self._announcer: announcer.Announcer | None = None
        self._state = peer_membership.MembershipState(
            process=identity.process,
            address="",
            seeds=seeds,
            ticked=clock.monotonic(),
        )

    @property
    def address(self) -> str:
        """The "ip:port" that peers reach this process at."""
        return self._state.address

    @property
    def boot(self) -> str:
        """Random id of this start."""
        return self._identity.boot

    @property
    def membership(self) -> peer_membership.MembershipState:
        """The view of the peers as of now."""
        return self._state

    @property
    def counters(self) -> Mapping[str, int]:
        """Counts since the start, those of the streams among them."""
        return {**self._streams.counters, **self._counters}

    @property
    def _streams(self) -> peer_transport.PeerTransport:
        assert self._transport is not None, "the peer network is not running"
        return self._transport

    @property
    def _sender(self) -> announcer.Announcer:
        assert self._announcer is not None, "the peer network is not running"
        return self._announcer

    def alive(
        self, role: peers.Role | None = None
    ) -> tuple[peers.Heartbeat, ...]:
        """Returns the newest heartbeat of each living peer, by process."""
        return peer_membership.alive(self._state, role)

    def peer_loads(self) -> Mapping[str, int]:
        """Returns the peers' requests in flight, summed by minion."""
        return peer_membership.loads(self._state, self._clock.monotonic())

    def subscribe(self, kind: type[M], handler: Handler[M]) -> None:
        """Has ``handler`` called with each message of one type.

        It is called in the network's own task and has to return without
        blocking; slow work goes into a queue of its own.
        """
        self._handlers.setdefault(kind, []).append(handler)

    def send(self, address: str, message: peers.Message) -> bool:
        """Queues a message to one peer; False when it was dropped."""
        return self._streams.send(address, message)

    def broadcast(self, message: peers.Message) -> None:
        """Queues a message to every known peer that is not known as gone."""
        gone = {
            member.last.address
            for member in self._state.members.values()
            if member.standing is peer_membership.Standing.GONE
        }
        for address in peer_membership.addresses(self._state):
            if address not in gone:
                self._streams.send(address, message)

    def ask(
        self, address: str, query: peers.ClaimQuery, timeout_s: float
    ) -> peers.ClaimReply | None:
        """Asks one peer and waits for its reply.

        Returns:
            None when none came in time, which says nothing about the claim.
        """
        waiting = gevent.event.AsyncResult()
        self._asked[query.query] = waiting
        try:
            if not self._streams.send(address, query):
                return None
            reply: peers.ClaimReply | None = waiting.wait(timeout=timeout_s)
            return reply
        finally:
            self._asked.pop(query.query, None)

    def _receive(
        self,
        sender: str | None,
        message: peers.Message,
        reply: peer_transport.SendReply,
    ) -> None:
        self._inbox.put(_Received(sender, message, reply))

    def _start(self, transport: peer_transport.PeerTransport) -> None:
        self._transport = transport
        self._announcer = announcer.Announcer(self._identity, transport)
        self._state = dataclasses.replace(
            self._state, address=transport.address
        )

    def _work(self) -> None:
        """Handles one thing after another; None in the queue is a tick."""
        while True:
            received = self._inbox.get()
            if received is None:
                self._tick()
            else:
                self._handle(received)

    def _handle(self, received: _Received) -> None:
        message = received.message
        if isinstance(message, peers.Heartbeat):
            self._take_in(message)
        elif isinstance(message, peers.ClaimReply):
            waiting = self._asked.get(message.query)
            if waiting is not None:
                waiting.set(message)
        for handler in self._handlers.get(type(message), ()):
            handler(received.sender, message, received.reply)

    def _take_in(self, heartbeat: peers.Heartbeat) -> None:
        before = self._state
        self._state = peer_membership.on_heartbeat(
            before, heartbeat, self._clock.monotonic()
        )
        self._tell_changes(before)
        self._greet()

    def _tick(self) -> None:
        before = self._state
        self._state = peer_membership.tick(before, self._clock.monotonic())
        self._tell_changes(before)
        self._greet()
        self._sender.tick(self._state, self._snapshot())

    def _greet(self) -> None:
        self._sender.greet(self._state, self._snapshot())

    def _tell_changes(self, before: peer_membership.MembershipState) -> None:
        for process, member in self._state.members.items():
            known = before.members.get(process)
            if known is None or known.standing is not member.standing:
                self._counters[f"members_{member.standing}"] += 1
                logs.info("peer {} is {}", process, member.standing)


def _keep_time(
    inbox: gevent.queue.Queue, clock: clocks.Clock, rng: random.Random
) -> None:
    """Ticks with a little jitter, so that processes do not beat as one."""
    while True:
        inbox.put(None)
        clock.sleep(heartbeat_schedule.TICK_S * (0.95 + 0.1 * rng.random()))


@contextlib.contextmanager
def run(
    settings: settings_lib.Settings,
    role: peers.Role,
    boot: str,
    open_transport: peer_transport.TransportFactory,
    clock: clocks.Clock,
    rng: random.Random,
    snapshot: Callable[[], announcer.Own],
) -> Iterator[PeerNetwork]:
    """Joins the peers, and leaves them at exit.

    Args:
        settings: who we are, where to listen, whom to begin with.
        role: which daemon this is.
        boot: random id of this start.
        open_transport: listens and carries messages.
        clock: judges silence and paces the heartbeats.
        rng: jitter of the heartbeats.
        snapshot: what to tell of ourselves; must not block.

    An error in a handler is a broken invariant: it is raised in the task that
    opened this context, so that the process stops rather than go on deaf.
    """
    identity = announcer.Identity(
        settings.process, boot, role, settings.data_centre
    )
    network = PeerNetwork(identity, settings.seeds, clock, snapshot)
    with open_transport(settings.peer_listen, network._receive) as transport:
        network._start(transport)
        keep_time = functools.partial(_keep_time, network._inbox, clock, rng)
        with supervision.running(network._work, keep_time):
            yield network
