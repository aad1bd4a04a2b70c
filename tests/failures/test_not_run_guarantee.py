"""A request refused as "not run" has not run and will not run."""

import collections
import dataclasses

import gevent
import gevent.event
import hypothesis
from hypothesis import strategies as st
import pytest

from tests.common import clocks
from tests.common import request_path_harness
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class Fault:
    """What happens to one attempt.

    Attributes:
        outcome: what the client reports.
        runs: whether the request runs, possibly long after the attempt.
        pause_s: how long the process is paused meanwhile.
    """

    outcome: minions.SendOutcome
    runs: bool = False
    pause_s: float = 0.0


_REFUSED = minions.NotSent("refused")
_RESET = minions.AnswerLost("reset", timed_out=False)
_NO_ANSWER = minions.AnswerLost("no answer", timed_out=True)
_DECLINED = minions.Answered(requests.Answer(503, (), b""))
_FAULTS = (
    Fault(_REFUSED),
    Fault(_REFUSED, pause_s=30),
    Fault(_DECLINED),
    Fault(_RESET),
    Fault(_RESET, runs=True),
    Fault(_NO_ANSWER),
    Fault(_NO_ANSWER, runs=True),
)


class FaultyMinions:
    """Applies the next fault to each attempt; answers when none is left."""

    def __init__(self, clock: clocks.ManualClock, faults: list[Fault | None]):
        self._clock = clock
        self._faults = collections.deque(faults)
        self.runs: collections.Counter[str] = collections.Counter()
        self.possible_runs: collections.Counter[str] = collections.Counter()

    def answer(
        self, _: minions.Minion, request: requests.Request, timeout_s: float
    ) -> minions.SendOutcome:
        """Returns the outcome of the next fault."""
        assert timeout_s > 0
        success = Fault(request_path_harness.echo_answer(request), runs=True)
        fault = (self._faults.popleft() if self._faults else None) or success
        if fault.outcome not in (_REFUSED, _DECLINED):
            self.possible_runs[request.request_id] += 1
        self.runs[request.request_id] += fault.runs
        is_unanswered = fault.outcome is _NO_ANSWER
        self._clock.advance(timeout_s if is_unanswered else fault.pause_s)
        return fault.outcome


_KINDS = st.sampled_from(("quote", "charge", "charge with key"))
_FAULT_LISTS = st.lists(st.sampled_from((None, *_FAULTS)), max_size=5)
_SCENARIOS = st.lists(st.tuples(_KINDS, _FAULT_LISTS), min_size=1, max_size=6)


def _handle(
    rig: request_path_harness.RequestPathHarness, kind: str, request_id: str
) -> requests.Reply:
    if kind == "quote":
        return rig.handle(request_id=request_id)
    key = request_id if kind == "charge with key" else ""
    return rig.charge(key, request_id=request_id)


def _check_request(
    rig: request_path_harness.RequestPathHarness,
    faulty: FaultyMinions,
    kind: str,
    name: str,
) -> None:
    reply = _handle(rig, kind, name)
    if isinstance(reply, requests.Answer):
        outcome = "finished"
        assert reply.body == name.encode()
    elif reply.outcome is requests.Outcome.NOT_RUN:
        outcome = "released"
        assert faulty.runs[name] == 0
    else:
        outcome = "lost"
        assert faulty.possible_runs[name] > 0
    if kind != "quote":
        assert faulty.possible_runs[name] <= 1
    settled = [state for ticket, state in rig.claims.settled if ticket == name]
    assert settled == ([outcome] if kind == "charge with key" else [])


@hypothesis.settings(deadline=None, max_examples=150)
@hypothesis.given(_SCENARIOS, st.booleans())
def test_a_request_reported_as_not_run_never_runs(scenario, can_catch_up):
    """Guards against a double charge after a wrong "not run".

    Faults occur in any order: refused, declined, reset or dead connections,
    minions that run a request long after it was given up, and pauses of the
    process. The cause would be a retry that reports its own failure although an
    earlier attempt may still run.
    """
    faults = [fault for _, faults in scenario for fault in faults]
    with request_path_harness.run_request_path() as rig:
        faulty = FaultyMinions(rig.clock, faults)
        rig.minion_client.responder = faulty.answer
        if not can_catch_up:
            rig.refresh_after_pause = lambda _: False
        for number, (kind, _) in enumerate(scenario):
            _check_request(rig, faulty, kind, f"r{number}")
        gevent.idle()
        assert rig.handler.in_flight == 0
        # A lost attempt may still run, so its slot stays counted for a while.
        outcomes = (fault.outcome for fault in faults if fault)
        lost_count = sum(
            isinstance(outcome, minions.AnswerLost) for outcome in outcomes
        )
        assert sum(rig.handler.in_flight_by_minion.values()) <= lost_count
        rig.clock.advance(slot_allocator.MAX_ABANDONED_S)
        assert rig.handler.in_flight_by_minion == {}


def test_a_charge_killed_while_it_is_sent_has_an_unknown_outcome():
    """Guards against a second run of a charge whose caller disconnects.

    The charge is at the minion when the task that waits for it is killed. If
    its claim were released then, the same key would run a second time.
    """
    sent, never_set = gevent.event.Event(), gevent.event.Event()

    def block(*_: object) -> minions.SendOutcome:
        sent.set()
        never_set.wait()
        raise AssertionError

    with request_path_harness.run_request_path(block) as rig:
        task = gevent.spawn(rig.charge, "k")
        sent.wait()
        task.kill()
        assert rig.claims.settled == [("r1", "lost")]
        gevent.idle()
        assert rig.handler.in_flight_by_minion == {}


def test_the_claim_of_a_charge_killed_in_the_queue_is_released():
    """Guards against a charge that cannot be repeated although it never ran.

    The charge was claimed and waits for a slot when its task is killed. A claim
    left open would be answered "unknown" permanently.
    """
    with request_path_harness.run_request_path() as rig:
        rig.occupy_slots_by_peers(m0=8, m1=8, m2=8)
        task = gevent.spawn(rig.charge, "k")
        while not rig.claims.begun:
            gevent.sleep(0)
        task.kill()
        assert rig.claims.settled == [("r1", "released")]
        assert not rig.minion_client.minions


@pytest.mark.parametrize("timeout_ms", [1000, 4000])
def test_a_charge_is_not_sent_after_its_deadline(timeout_ms):
    """Guards against a charge that runs after it was reported as failed.

    The process is paused while it writes the claim and needs time to refresh
    its view afterwards. It continues after the deadline, when the caller no
    longer waits.
    """
    with request_path_harness.run_request_path() as rig:
        begin = rig.claims.begin

        def slow_begin(request):
            rig.clock.advance(3)
            return begin(request)

        def slow_catch_up(_):
            rig.clock.advance(timeout_ms / 1000 - 3)
            return rig.refresh()

        rig.fleet.check_for_pause(rig.clock.monotonic())
        rig.claims.begin = slow_begin
        rig.refresh_after_pause = slow_catch_up
        reply = rig.charge("k", timeout_ms=timeout_ms)
    assert isinstance(reply, requests.Refusal)
    assert reply.outcome is requests.Outcome.NOT_RUN
    assert rig.claims.settled == [("r1", "released")]
    assert not rig.minion_client.minions
