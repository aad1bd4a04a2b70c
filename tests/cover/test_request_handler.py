"""Tests a request from its arrival to its reply."""

import gevent
import gevent.event
import pytest

from tests.common import request_path_harness
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.state import config_view

_NOT_RUN = requests.Outcome.NOT_RUN
_UNKNOWN = requests.Outcome.UNKNOWN

_ROUTING_POLICIES = pytest.mark.parametrize(
    "routing", ("lent-share", "two-choices")
)


def _refusal_of(reply: requests.Reply) -> tuple[requests.Outcome, str]:
    assert isinstance(reply, requests.Refusal)
    return reply.outcome, reply.code


def test_an_answer_is_counted_and_its_duration_recorded():
    with request_path_harness.run_request_path() as rig:
        reply = rig.handle()
        assert reply == requests.Answer(200, (), b"r1")
        snapshot = rig.metrics.snapshot()
    assert snapshot["counters"]["replies.answer"] == 1
    assert snapshot["callers"]["caller-1"]["count"] == 1


def test_requests_are_refused_without_a_configuration_or_list_of_minions():
    with request_path_harness.run_request_path() as rig:
        rig.handler._config = config_view.ConfigView()
        assert _refusal_of(rig.handle()) == (_NOT_RUN, "not-ready")
    with request_path_harness.run_request_path() as rig:
        rig.fleet._instances = None
        assert _refusal_of(rig.handle()) == (_NOT_RUN, "not-ready")


def test_a_request_without_minions_is_refused_and_not_claimed():
    with request_path_harness.run_request_path(minions_up=0) as rig:
        assert _refusal_of(rig.handle()) == (_NOT_RUN, "no-minions")
        assert _refusal_of(rig.charge("k")) == (_NOT_RUN, "no-minions")
        assert not rig.claims.begun


def test_a_replayed_answer_or_claim_refusal_is_returned():
    answer = requests.Answer(201, (), b"first")
    refusal = requests.Refusal(_UNKNOWN, 409, "in-progress", "")
    with request_path_harness.run_request_path() as rig:
        for begun, reply in (
            (claims.Replay(answer), answer),
            (refusal, refusal),
        ):
            rig.claims.begin = lambda _, begun=begun: begun
            assert rig.charge("k") == reply
        assert not rig.minion_client.minions


def test_a_charge_gets_a_new_connection_and_all_its_remaining_time():
    with request_path_harness.run_request_path() as rig:
        rig.charge()
        rig.handle()
    assert rig.minion_client.fresh == [True, False]
    assert rig.minion_client.timeouts == pytest.approx([1.0, 0.5])


def test_a_charge_that_was_not_sent_is_retried_at_other_minions():
    def answer(_, request, __):
        if len(rig.minion_client.minions) < 3:
            return minions.NotSent("refused")
        return request_path_harness.echo_answer(request)

    with request_path_harness.run_request_path(answer) as rig:
        assert isinstance(rig.charge("k"), requests.Answer)
    assert sorted(rig.minion_client.minions) == ["m0", "m1", "m2"]


@pytest.mark.parametrize("silent", [False, True])
def test_a_charge_that_may_have_run_is_sent_once_and_unknown(silent):
    with request_path_harness.run_request_path(
        lambda *_: minions.AnswerLost("", silent)
    ) as rig:
        reply = rig.charge("k")
        code = "no-answer" if silent else "answer-lost"
        assert _refusal_of(reply) == (_UNKNOWN, code)
        assert reply.retry_after_s is None
        assert rig.claims.settled == [("r1", "lost")]
    assert len(rig.minion_client.minions) == 1


def test_the_only_minion_is_retried_within_the_retry_budget():
    replies = [minions.AnswerLost("", timed_out=True)]

    def answer(_, request, __):
        return (
            replies.pop()
            if replies
            else request_path_harness.echo_answer(request)
        )

    with request_path_harness.run_request_path(answer, minions_up=1) as rig:
        assert isinstance(rig.handle(), requests.Answer)
        assert rig.minion_client.fresh == [False, True]
        rig.minion_client.responder = lambda *_: minions.AnswerLost(
            "", timed_out=False
        )
        for _ in range(50):
            rig.handle()
    assert len(rig.minion_client.minions) <= 2 + 50 + 10 + 5


@_ROUTING_POLICIES
def test_requests_beyond_the_slots_of_the_minions_wait(routing):
    finish = gevent.event.Event()

    def wait_for_finish(_, request, __):
        finish.wait()
        return request_path_harness.echo_answer(request)

    with request_path_harness.run_request_path(
        wait_for_finish, routing=routing
    ) as rig:
        rig.occupy_slots_by_peers(m0=6)
        tasks = [
            gevent.spawn(rig.handle, timeout_ms=60_000, request_id=str(number))
            for number in range(2 + 8 + 8 + 3)
        ]
        gevent.idle()
        assert rig.handler.in_flight_by_minion == {"m0": 2, "m1": 8, "m2": 8}
        finish.set()
        bodies = [task.get().body for task in tasks]
    assert bodies == [str(number).encode() for number in range(21)]


@_ROUTING_POLICIES
def test_a_request_that_cannot_start_in_time_is_refused_and_not_claimed(
    routing,
):
    with request_path_harness.run_request_path(routing=routing) as rig:
        rig.occupy_slots_by_peers(m0=8, m1=8, m2=8)
        reply = rig.handle(timeout_ms=10)
        assert _refusal_of(reply) == (_NOT_RUN, "cannot-start-in-time")
        assert 0 < reply.retry_after_s < 1
        charge = rig.charge("k", timeout_ms=10)
        assert _refusal_of(charge) == (_NOT_RUN, "cannot-start-in-time")
        assert not rig.claims.begun


@_ROUTING_POLICIES
def test_a_waiting_request_is_refused_before_its_deadline(routing):
    """It is refused with 19 ms left, when it can no longer start in time."""
    with request_path_harness.run_request_path(routing=routing) as rig:
        rig.occupy_slots_by_peers(m0=8, m1=8, m2=8)
        task = gevent.spawn(rig.handle, timeout_ms=1000)
        gevent.idle()
        assert not task.ready()
        rig.clock.advance(0.981)
        assert _refusal_of(task.get()) == (_NOT_RUN, "cannot-start-in-time")


@_ROUTING_POLICIES
def test_a_slot_freed_by_a_peer_is_used(routing):
    with request_path_harness.run_request_path(routing=routing) as rig:
        rig.occupy_slots_by_peers(m0=8, m1=8, m2=8)
        task = gevent.spawn(rig.handle)
        gevent.idle()
        rig.free_slot_of_peer("m1")
        assert isinstance(task.get(), requests.Answer)
    assert rig.minion_client.minions == ["m1"]
