"""Pooled connections stop delivering while new ones work."""

from tests.common import request_path_harness
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests


def test_a_quote_on_a_dead_connection_succeeds_after_one_timeout():
    """Guards against a quote that waits for a dead connection until it fails.

    A firewall between entry and minions restarts and drops its state. On pooled
    connections, bytes leave and nothing comes back; only new connections work.
    The attempt on the old one must end with half of the quote's time left.
    """

    def answer_on_new_connections(_, request, timeout_s):
        if rig.minion_client.fresh[-1]:
            return request_path_harness.echo_answer(request)
        rig.clock.advance(timeout_s)
        return minions.AnswerLost("no answer", timed_out=True)

    with request_path_harness.run_request_path(
        answer_on_new_connections
    ) as rig:
        start = rig.clock.monotonic()
        assert isinstance(rig.handle(), requests.Answer)
        assert rig.clock.monotonic() - start <= 0.5
    assert rig.minion_client.fresh == [False, True]


def test_dead_connections_do_not_make_their_minion_suspect():
    """Guards against healthy minions without requests after a firewall restart.

    Each pooled connection to a minion stops delivering, one after another. If
    that counted like refused connections, the minion would be suspected while
    it answers on new ones.
    """

    def lose_answers_of_m0(minion, request, __):
        if minion.instance == "m0" and not rig.minion_client.fresh[-1]:
            return minions.AnswerLost("no answer", timed_out=True)
        return request_path_harness.echo_answer(request)

    with request_path_harness.run_request_path(lose_answers_of_m0) as rig:
        for number in range(40):
            rig.handle(request_id=f"r{number}")
    assert rig.minion_client.minions.count("m0") > 5


def test_a_minion_that_refuses_connections_gets_no_more_requests():
    """Guards against quotes that are sent to a dead minion again and again.

    The list of minions is updated seconds after a minion died. Each quote sent
    there is refused and retried elsewhere, which costs retry budget, until the
    third consecutive failure.
    """

    def refuse_at_m0(minion, request, __):
        if minion.instance == "m0":
            return minions.NotSent("refused")
        return request_path_harness.echo_answer(request)

    with request_path_harness.run_request_path(refuse_at_m0) as rig:
        for number in range(40):
            assert isinstance(
                rig.handle(request_id=f"{number}"), requests.Answer
            )
    assert rig.minion_client.minions.count("m0") == 3
