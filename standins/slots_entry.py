"""One entry's decisions on the virtual clock of ``slots_world``.

The slot allocator, the queues, the retry rules and the membership are the real
ones; what the dispatcher's and sender's tasks do around them is done here by
events.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import functools
import random

from standins import slots_world
from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import dispatch
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import retry
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import config_view

_LOST = minions_lib.AnswerLost("no answer in time", timed_out=True)
_REFUSED = minions_lib.NotSent("refused")
_ANSWERED = minions_lib.Answered(requests.Answer(200, (), b""))
ENDED = requests.Refusal(requests.Outcome.NOT_RUN, 503, "ended", "", 1.0)


class EntryModel:
    """An entry; ``killed`` ends it without a word."""

    def __init__(
        self,
        name: str,
        data_centre: str,
        events: slots_world.Events,
        rng: random.Random,
        config: config_lib.Config,
        fleet: fleet_view.FleetView,
        servers: Mapping[str, slots_world.MinionModel],
    ):
        self.name = name
        self.data_centre = data_centre
        self.killed = False
        self.first_attempts = 0
        self.retries = 0
        self.messages = 0
        self.others: dict[str, EntryModel] = {}
        self._events = events
        self._rng = rng
        self._service = config.services[slots_world.SERVICE]
        self._ratio = config.policies.retry_ratio
        self._servers = servers
        self._members = peer_membership.MembershipState(name, name, (), 0.0)
        self._peer_loads: Mapping[str, int] = {}
        view = config_view.ConfigView()
        view.offer(1, "digest", config)
        self.slots = slot_allocator.SlotAllocator(
            rng,
            data_centre,
            view,
            fleet,
            lambda: self._peer_loads,
            lambda: (name, *self.living),
            name,
        )
        self.queue = admission.ServiceQueue()
        self.lending = slot_lending.SlotLending(
            rng, self.slots, lambda _: self.queue
        )
        self._budget = retry.RetryBudget()
        self._runs: dict[int, slots_world.Run] = {}
        self._tickets = 0
        self._polling = False
        self._ticks = 0

    @property
    def living(self) -> tuple[str, ...]:
        """The other entries that it believes alive."""
        return tuple(
            one.process
            for one in peer_membership.live_heartbeats(self._members)
        )

    @property
    def peer_loads(self) -> Mapping[str, int]:
        """What the others were last heard to have in flight."""
        return self._peer_loads

    def take(
        self,
        call: slots_world.Call,
        reply: Callable[[requests.Refusal | None], None],
    ) -> None:
        """Takes a call; ``reply`` gets its refusal, or None for an answer."""
        self._tickets += 1
        traffic, now = call.traffic, self._events.now
        deadline = call.sent + slots_world.CALLER_S + traffic.timeout_s
        run = slots_world.Run(call, self._tickets, deadline, reply)
        self._runs[run.ticket] = run
        arrival = class_queues.QueuedRequest(
            run.ticket, traffic.name, traffic.definition, now, deadline
        )
        self._act(self.queue.enqueue(arrival, self._slots(), now))

    def poll(self) -> None:
        """Looks at the waiting requests again."""
        if not self.killed:
            self._act(self.queue.poll(self._slots(), self._events.now))

    def told(self, message: slot_lending.LoanMessage) -> None:
        """Takes a message about loans in."""
        if self.killed:
            return
        services, envelopes = self.lending.handle_message(
            message, self._events.now
        )
        self._post(envelopes)
        if services:
            self.poll()

    def _post(
        self, envelopes: tuple[slot_lending.AddressedMessage, ...]
    ) -> None:
        for one in envelopes:
            self.messages += 1
            other = self.others[one.recipient]
            way = slots_world.latency_s(self.data_centre, other.data_centre)
            self._events.after(way, functools.partial(other.told, one.message))

    def tick(self) -> None:
        """Sends the heartbeats of one tick and plans the next."""
        if self.killed:
            return
        now = self._events.now
        self._members = peer_membership.with_liveness_checked(
            self._members, now
        )
        self._peer_loads = peer_membership.peer_in_flight(self._members, now)
        self._ticks += 1
        group = heartbeat_schedule.same_role_group(sorted(self.others))
        for target in heartbeat_schedule.due_targets(group, self._ticks):
            self._send(self.others[target.address], target.interval_s)
        self._events.after(heartbeat_schedule.TICK_S, self.tick)

    def heard(self, heartbeat: peers.Heartbeat) -> None:
        """Takes a heartbeat in."""
        now = self._events.now
        self._members = peer_membership.with_heartbeat(
            self._members, heartbeat, now
        )
        self._peer_loads = peer_membership.peer_in_flight(self._members, now)

    def _send(self, other: "EntryModel", interval_s: float) -> None:
        heartbeat = peers.Heartbeat(
            process=self.name,
            boot=self.name,
            role=peers.Role.ENTRY,
            address=self.name,
            data_centre=self.data_centre,
            sequence=self._ticks,
            config_version=1,
            view_version=1,
            leaving=False,
            loads=self.slots.in_flight_by_minion(self._events.now),
            interval_s=interval_s,
        )
        way = slots_world.latency_s(self.data_centre, other.data_centre)
        self._events.after(way, lambda: other.heard(heartbeat))

    def _slots(self) -> admission.SlotCounts:
        return self.slots.count_slots(slots_world.SERVICE, self._events.now)

    def _act(self, actions: tuple[admission.Action, ...]) -> None:
        for action in actions:
            match action:
                case admission.Refuse(ticket, refusal):
                    self._runs.pop(ticket).reply(refusal)
                case admission.Start(ticket):
                    run = self._runs[ticket]
                    run.minion = self._pick(run, frozenset())
                    self._attempt(run)
        self._post(
            self.lending.update_loans(slots_world.SERVICE, self._events.now)
        )
        if self.queue.waiting and not self._polling:
            self._polling = True
            self._events.after(dispatch.POLL_S, self._poll_again)

    def _poll_again(self) -> None:
        self._polling = False
        self.poll()

    def _pick(
        self, run: slots_world.Run, excluded: frozenset[str]
    ) -> minions_lib.Minion | None:
        run.since = self._events.now
        return self.slots.allocate(
            slots_world.SERVICE, excluded, run.since, run.ticket
        )

    def _release(
        self,
        run: slots_world.Run,
        minion: minions_lib.Minion,
        result: slot_allocator.AttemptResult,
    ) -> None:
        now = self._events.now
        self.slots.release(minion, result, run.since, now, run.ticket)

    def _attempt(self, run: slots_world.Run) -> None:
        """Does what ``request_sender.RequestSender`` does for each attempt."""
        minion = run.minion
        if minion is None:
            raise AssertionError("a request started without a slot")
        before = run.attempts
        if not before.count:
            self._budget.credit_first_attempt(self._ratio)
            self.first_attempts += 1
        run.attempts = before.with_attempt_started()
        kind = run.call.traffic.definition.kind
        left = run.deadline - self._events.now
        again = self._budget.has_token and retry.may_retry(
            kind, run.attempts, left
        )
        timeout = retry.attempt_timeout_s(kind, self._service, left, again)
        settled: list[bool] = []

        def end(outcome: minions_lib.SendOutcome) -> None:
            if not settled and not self.killed:
                settled.append(True)
                self._ended(run, before, outcome)

        server = self._servers[minion.instance]
        way = slots_world.latency_s(self.data_centre, minion.data_centre)
        back = _delayed(self._events, way, end)
        self._events.after(timeout, lambda: end(_LOST))
        self._events.after(
            way,
            lambda: (
                back(_REFUSED)
                if server.dead
                else server.receive(run.call.work_s, lambda: back(_ANSWERED))
            ),
        )

    def _ended(
        self,
        run: slots_world.Run,
        before: retry.AttemptState,
        outcome: minions_lib.SendOutcome,
    ) -> None:
        run.attempts = run.attempts.with_attempt_ended(
            before, retry.effect_of(outcome, ())
        )
        if isinstance(outcome, minions_lib.Answered):
            self._leave(run, slot_allocator.AttemptResult.ANSWERED, None)
            return
        result = slot_allocator.AttemptResult.UNKNOWN
        if retry.is_minion_failure(outcome):
            result = slot_allocator.AttemptResult.FAILED
        if self._may_retry(run) and run.minion is not None:
            self.retries += 1
            tried = run.minion.instance
            self._release(run, run.minion, result)
            run.minion = self._pick(run, frozenset({tried}))
            run.minion = run.minion or self._pick(run, frozenset())
            if run.minion is not None:
                self._attempt(run)
                return
        self._leave(run, result, ENDED)

    def _may_retry(self, run: slots_world.Run) -> bool:
        kind = run.call.traffic.definition.kind
        left = run.deadline - self._events.now
        return (
            retry.may_retry(kind, run.attempts, left)
            and self._budget.try_take()
        )

    def _leave(
        self,
        run: slots_world.Run,
        result: slot_allocator.AttemptResult,
        refusal: requests.Refusal | None,
    ) -> None:
        now = self._events.now
        if run.minion is not None:
            self._release(run, run.minion, result)
        del self._runs[run.ticket]
        self.queue.remove(run.ticket, now, record_duration=True)
        if refusal is not None and run.attempts.may_have_run:
            refusal = dataclasses.replace(
                refusal, outcome=requests.Outcome.UNKNOWN
            )
        run.reply(refusal)
        self.poll()


def _delayed(
    events: slots_world.Events,
    way: float,
    end: Callable[[minions_lib.SendOutcome], None],
) -> Callable[[minions_lib.SendOutcome], None]:
    return lambda outcome: events.after(way, lambda: end(outcome))
