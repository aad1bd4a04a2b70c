"""Open connections go silent while new ones work."""

from tests.common import paths
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests


def test_a_silent_connection_costs_a_quote_one_timeout():
    """A quote over a dead connection comes late, but in time.

    A firewall between entry and minions restarts and forgets all pooled
    connections. Bytes leave and nothing comes back; only new connections
    work. The quote is given up on the old one with half its time left.
    """

    def only_fresh(_, request, timeout_s):
        if rig.sends.fresh[-1]:
            return paths.answer_to(request)
        rig.clock.advance(timeout_s)
        return minions.Lost("no answer", silent=True)

    with paths.running(only_fresh) as rig:
        start = rig.clock.monotonic()
        assert isinstance(rig.handle(), requests.Answer)
        assert rig.clock.monotonic() - start <= 0.5
    assert rig.sends.fresh == [False, True]


def test_silent_connections_do_not_make_their_minion_suspect():
    """After a firewall's restart a healthy service is short of minions.

    Each pooled connection to a minion goes silent, one after the other. Were
    the minion blamed as for refused connections, it would be passed over
    while it answers on new ones.
    """

    def silent_at_m0(minion, request, __):
        if minion.instance == "m0" and not rig.sends.fresh[-1]:
            return minions.Lost("no answer", silent=True)
        return paths.answer_to(request)

    with paths.running(silent_at_m0) as rig:
        for number in range(40):
            rig.handle(request_id=f"r{number}")
    assert rig.sends.minions.count("m0") > 5


def test_a_minion_that_refuses_connections_is_passed_over():
    """A minion has died, and quotes keep stumbling over it.

    The list lags for seconds. Each quote that is sent there is refused and
    goes elsewhere, at the cost of the retry budget, until three in a row.
    """

    def dead_m0(minion, request, __):
        if minion.instance == "m0":
            return minions.NotSent("refused")
        return paths.answer_to(request)

    with paths.running(dead_m0) as rig:
        for number in range(40):
            assert isinstance(
                rig.handle(request_id=f"{number}"), requests.Answer
            )
    assert rig.sends.minions.count("m0") == 3
