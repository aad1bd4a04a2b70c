"""Decisions on calls to the advice service, against a model of the service."""

import dataclasses
import random

import pytest

from tests.common import advice_simulation
from tests.common import advised_fleet
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import advice_calls
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import ticket_requests

_CALL_S = 0.16


def _request(number: int) -> ticket_requests.TicketRequest:
    entry = job_tracker.JobEntry(fleet_builders.job(number), 0.0)
    (step,) = entry.open_due_steps(fleet_builders.WALL_MS)
    return ticket_requests.TicketRequest(step, ("i-1",), _CALL_S, 3.0)


def _calls(count: int) -> advice_calls.AdviceCalls:
    calls = advice_calls.AdviceCalls()
    calls.update_requests([_request(number) for number in range(count)])
    return calls


def _job(call: advice_calls.Call) -> int:
    return int(call.request.step.key[0], 16)


def test_one_call_is_open_while_the_service_answers_in_time():
    calls = _calls(3)
    first = calls.next_call(0.0)
    assert calls.next_call(0.1) == pytest.approx(_CALL_S + 1.0)
    calls.record_answer(first, 0.16)
    second = calls.next_call(0.16)
    assert (_job(first), _job(second)) == (0, 1)
    assert second.open_before == 0


def test_a_call_without_an_answer_is_followed_by_one_for_another_step():
    calls = _calls(2)
    calls.next_call(0.0)
    second = calls.next_call(1.2)
    assert (_job(second), second.open_before) == (1, 1)
    assert second.new_connection
    # Both steps have an open call, so the answer of the older one may be lost.
    third = calls.next_call(10.0)
    assert (_job(third), third.open_before) == (0, 2)


def test_an_answer_shows_that_earlier_answers_are_lost():
    """A step whose answer was lost must not wait until its call times out."""
    calls = _calls(2)
    calls.next_call(0.0)
    second = calls.next_call(1.2)
    calls.record_answer(second, 1.4)
    again = calls.next_call(1.4)
    assert (_job(again), again.open_before) == (0, 0)


def test_a_late_failure_of_a_lost_call_delays_nothing():
    calls = _calls(2)
    first = calls.next_call(0.0)
    calls.record_answer(calls.next_call(1.2), 1.4)
    calls.record_failure(first, 1.5)
    assert isinstance(calls.next_call(1.5), advice_calls.Call)


def test_a_long_call_is_not_taken_for_one_without_an_answer():
    calls = advice_calls.AdviceCalls()
    long_call = dataclasses.replace(_request(0), expected_s=9.0)
    calls.update_requests([long_call, _request(1)])
    calls.next_call(0.0)
    assert calls.next_call(9.5) == pytest.approx(10.0)


def test_failed_calls_are_repeated_after_growing_pauses():
    calls = _calls(1)
    now, pauses = 0.0, []
    for _ in range(6):
        calls.record_failure(calls.next_call(now), now)
        due = calls.next_call(now)
        pauses.append(round(due - now, 3))
        now = due
    assert pauses == [0.1, 0.2, 0.4, 0.8, 1.0, 1.0]


def test_a_refused_call_is_repeated_after_the_duration_of_a_call():
    calls = _calls(2)
    calls.record_failure(calls.next_call(0.0), 0.0, min_pause_s=0.5)
    assert calls.next_call(0.0) == pytest.approx(0.5)


def test_steps_that_need_no_tickets_any_more_are_forgotten():
    calls = _calls(1)
    calls.record_answer(calls.next_call(0.0), 0.2)
    assert calls.next_call(0.2) is None
    calls.update_requests([_request(0)])
    again = calls.next_call(0.2)
    assert again.calls_before == 1
    calls.record_answer(again, 0.4)
    calls.update_requests([])
    calls.update_requests([_request(0)])
    assert calls.next_call(0.4).calls_before == 0


def _simulate(service, arrivals, faults, until):
    """Returns when each step got its tickets, by number of its job.

    Args:
        service: the service.
        arrivals: when each step begins to wait, in order.
        faults: (begin, end, attribute, value) of each fault.
        until: end of the simulation.
    """
    calls = advice_calls.AdviceCalls()
    waiting: list[ticket_requests.TicketRequest] = []
    answered: dict[int, float] = {}
    now = 0.0
    while now < until:
        for begin, end, attribute, value in faults:
            usual = getattr(advice_simulation.Service, attribute)
            if begin <= now < begin + advice_simulation.TICK_S:
                setattr(service, attribute, value)
            elif end <= now < end + advice_simulation.TICK_S:
                setattr(service, attribute, usual)
        for call in service.advance(advice_simulation.TICK_S):
            calls.record_answer(call, now)
            answered.setdefault(_job(call), now)
            waiting = [
                item
                for item in waiting
                if item.step.key != call.request.step.key
            ]
        while arrivals and arrivals[0][0] <= now:
            waiting.append(_request(arrivals.pop(0)[1]))
        calls.update_requests(list(waiting))
        while isinstance(call := calls.next_call(now), advice_calls.Call):
            if not service.receive(call):
                calls.record_failure(call, now, call.request.expected_s)
        now += advice_simulation.TICK_S
    return answered


_FAULTS = {
    "none": (1.0, False),
    "slow": (12.0, False),
    "very slow": (60.0, False),
    "stuck": (0.0, False),
    "silent": (1.0, True),
}


@pytest.mark.parametrize("fault", _FAULTS)
@pytest.mark.parametrize("seed", range(6))
def test_all_steps_get_tickets_soon_after_any_fault_of_the_service(fault, seed):
    """Calls that were given up kept the service busy for good."""
    rng = random.Random(seed)
    arrivals = [
        (rng.uniform(0.0, 20.0), number) for number in range(rng.randint(5, 90))
    ]
    arrivals.sort()
    slowdown, loses_answers = _FAULTS[fault]
    began = rng.uniform(0.0, 6.0)
    ended = began + rng.uniform(1.0, 8.0)
    service = advice_simulation.Service()
    faults = [
        (began, ended, "slowdown", slowdown),
        (began, ended, "loses_answers", loses_answers),
    ]
    count = len(arrivals)
    until = max(20.0, ended) + advised_fleet.FINISH_S
    answered = _simulate(service, arrivals, faults, until)
    assert len(answered) == count
    assert not service.refused
