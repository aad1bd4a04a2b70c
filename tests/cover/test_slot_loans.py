"""Loans of slots between entries."""

import dataclasses
import random

import gevent
import gevent.event
import hypothesis
from hypothesis import strategies as st

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.coordination.entry import slot_loans
from vanillaswitch.coordination.entry import slot_reserve
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import peers
from vanillaswitch.state import config

_NAMES = ("a", "b", "c")
_STEPS = st.lists(
    st.tuples(
        st.sampled_from(("ask", "deliver", "lose", "double", "back", "wait")),
        st.integers(0, 99),
    ),
    max_size=80,
)


class Model:
    """Three loan trackers and the messages between them, in any order."""

    def __init__(self):
        self.now = 0.0
        self.trackers = {
            name: slot_loans.LoanTracker(name, name) for name in _NAMES
        }
        self.in_transit: list[tuple[str, slot_lending.LoanMessage]] = []

    def run_event(self, event: str, number: int) -> None:
        """Runs one event; ``number`` selects its processes or message."""
        name, peer = random.Random(number).sample(_NAMES, 2)
        tracker = self.trackers[name]
        if event == "ask" and tracker.may_request("berthing", 0, self.now):
            ask = tracker.new_request("berthing", 1 + number % 6, 0, self.now)
            self.in_transit.append((peer, ask))
        elif event == "back":
            returns = tracker.return_idle("berthing", {"m0": 1}, None, self.now)
            self.in_transit.extend(returns.items())
        elif event == "wait":
            self.now += number / 20
        elif event in ("deliver", "lose", "double") and self.in_transit:
            index = number % len(self.in_transit)
            receiver, message = self.in_transit[index]
            if event != "double":
                del self.in_transit[index]
            if event != "lose":
                self.deliver(self.trackers[receiver], message)
        for each in self.trackers.values():
            each.expire(self.now)

    def deliver(
        self, tracker: slot_loans.LoanTracker, message: slot_lending.LoanMessage
    ) -> None:
        """Delivers a message to a tracker."""
        match message:
            case peers.SlotAsk():
                grant = tracker.lend(message, ("m0", "m1", "m0"), self.now)
                self.in_transit.append((message.process, grant))
            case peers.SlotGrant():
                tracker.handle_grant(message, self.now)
            case peers.SlotReturn():
                tracker.handle_return(message)


@hypothesis.given(_STEPS)
@hypothesis.settings(max_examples=150, deadline=None)
def test_no_slot_is_used_by_both_borrower_and_lender(steps):
    """Messages are lost, duplicated, late or reordered; no process pauses."""
    model = Model()
    for event, number in steps:
        model.run_event(event, number)
        for instance in ("m0", "m1"):
            nets = [
                b.net_loans.get(instance, 0) for b in model.trackers.values()
            ]
            assert sum(nets) <= 0
    model.in_transit.clear()
    model.run_event("wait", 20 * int(slot_loans.LOAN_TERM_S + 1))
    assert all(not any(b.net_loans.values()) for b in model.trackers.values())


def test_a_loan_is_used_for_part_of_its_term_and_then_returned():
    borrower = slot_loans.LoanTracker("a", "a")
    ask = borrower.new_request("berthing", 1, 0, 0.0)
    grant = slot_loans.LoanTracker("b", "b").lend(ask, ("m0",), 0.1)
    assert borrower.handle_grant(grant, 0.2)
    assert not borrower.return_idle("berthing", {"m0": 1}, 0, 0.4)
    use_end = slot_loans.BORROWER_USE_S
    returns = borrower.return_idle("berthing", {"m0": 1}, 0, use_end)
    assert returns == {"b": peers.SlotReturn("a", (f"{ask.ask}/0",))}
    assert not any(borrower.net_loans.values())


def test_less_urgent_requests_do_not_keep_a_loan():
    borrower = slot_loans.LoanTracker("a", "a")
    ask = borrower.new_request("berthing", 1, 0, 0.0)
    grant = slot_loans.LoanTracker("b", "b").lend(ask, ("m0",), 0.0)
    borrower.handle_grant(grant, 0.0)
    assert borrower.return_idle("berthing", {"m0": 1}, 9, 0.1)


def test_refused_loan_requests_back_off_except_for_more_urgent_requests():
    tracker = slot_loans.LoanTracker("a", "a")
    for _ in range(30):
        ask = tracker.new_request("berthing", 1, 5, 0.0)
        tracker.handle_grant(peers.SlotGrant("b", ask.ask, "berthing", ()), 0.0)
    assert not tracker.may_request("berthing", 5, 0.09)
    assert tracker.may_request("berthing", 5, slot_loans.MAX_BACKOFF_S)
    assert tracker.may_request("berthing", 0, 0.0)


@hypothesis.given(st.integers(1, 48), st.lists(st.integers(0, 48), min_size=1))
def test_the_reserve_follows_urgent_requests_and_shrinks_when_idle(
    usable, counts
):
    reserve = slot_reserve.SlotReserve()
    for second, urgent in enumerate(counts):
        reserve.record_urgent(urgent, float(second))
    minimum = round(usable / slot_reserve.SLOTS_PER_RESERVED_SLOT)
    assert minimum <= reserve.reserved_slots(usable) <= max(minimum, 48 + 1)
    reserve.record_urgent(0, len(counts) + 60.0)
    reserve.record_urgent(0, len(counts) + 120.0)
    assert reserve.reserved_slots(usable) == minimum < usable


def test_a_rare_urgent_request_leaves_a_single_slot_to_long_requests():
    queue = admission.ServiceQueue()
    one = admission.SlotCounts(8, 1, usable=1)
    classes = request_path_harness.make_config().classes
    for ticket, (name, now) in enumerate((("quote", 0.0), ("report", 9.0))):
        arrival = class_queues.QueuedRequest(
            ticket, name, classes[name], now, 1e6
        )
        (started,) = queue.enqueue(arrival, one, now)
        assert isinstance(started, admission.Start)
        queue.remove(ticket, now + 0.02, record_duration=True)


def test_a_queued_request_gets_an_idle_slot_of_a_peer():
    """Two entries share a minion with two slots; one has two requests."""
    release_requests = gevent.event.Event()
    rigs: dict[str, request_path_harness.RequestPathHarness] = {}
    configuration = dataclasses.replace(
        request_path_harness.make_config(slots_per_minion=2),
        policies=config.Policies(routing="lent-share"),
    )

    def answer_when_released(_minion, request, _timeout) -> minions.Answered:
        release_requests.wait()
        return request_path_harness.echo_answer(request)

    def send(envelope: slot_lending.AddressedMessage) -> None:
        rigs[envelope.recipient].handler.handle_peer_message(envelope.message)

    for names in (("a", "b"), ("b", "a")):
        rigs[names[0]] = request_path_harness.RequestPathHarness(
            answer_when_released, 1, configuration, names, send
        )
    a, b = rigs["a"], rigs["b"]
    with a.handler.running(), b.handler.running():
        tasks = [gevent.spawn(a.handle, request_id=f"r{n}") for n in range(2)]
        gevent.idle()
        while len(a.minion_client.minions) < 2:
            gevent.sleep(0)
        assert a.handler.in_flight_by_minion == {"m0": 2}
        third = gevent.spawn(b.handle, request_id="r3")
        gevent.idle()
        assert not b.minion_client.minions
        release_requests.set()
        gevent.joinall([*tasks, third], raise_error=True)
        assert b.minion_client.minions == ["m0"]
