"""A minion that drains or shuts down gets no new requests."""

import pytest

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import requests

_DRAIN_NOTICE = peers.DrainNotice("berthing", 7, ("m0", "m1"))


def test_a_process_refreshes_drains_after_a_pause_before_it_sends():
    """Guards against a charge that is sent to a minion about to reboot.

    The entry is paused for longer than its view of the fleet is valid.
    Meanwhile a maintenance wave drains two minions. Without a refresh, the
    entry would continue with the outdated view.
    """
    with request_path_harness.run_request_path() as rig:
        rig.fleet.check_for_pause(rig.clock.monotonic())
        rig.clock.advance(fleet_view.PAUSE_THRESHOLD_S + 1)

        def refresh_after_pause(_):
            rig.fleet.update_drain(_DRAIN_NOTICE)
            return rig.refresh()

        rig.refresh_after_pause = refresh_after_pause
        for number in range(20):
            reply = rig.handle(request_id=f"r{number}")
            assert isinstance(reply, requests.Answer)
    assert set(rig.minion_client.minions) == {"m2"}


def test_a_process_that_cannot_refresh_after_a_pause_sends_nothing():
    """A charge right after a pause is refused as "not run".

    The refresh takes longer than the charge can wait, so the entry cannot know
    whether its minion is being drained.
    """
    with request_path_harness.run_request_path() as rig:
        rig.fleet.check_for_pause(rig.clock.monotonic())
        rig.clock.advance(fleet_view.PAUSE_THRESHOLD_S + 1)
        rig.refresh_after_pause = lambda _: False
        reply = rig.charge("k")
        assert isinstance(reply, requests.Refusal)
        assert reply.code == "view-stale"
        assert rig.claims.settled == [("r1", "released")]
    assert not rig.minion_client.minions


@pytest.mark.parametrize("kind", ["quote", "charge"])
def test_a_minion_that_declines_a_request_gets_no_more_for_a_while(kind):
    """Guards against slow requests while a minion shuts down.

    The minion answers 503, which the service declares as "not run", before the
    list of minions or a drain notice shows it. The request is sent elsewhere,
    and so are other requests for a while. Otherwise every third one would be
    tried there first.
    """

    def decline_at_m0(minion, request, __):
        status = 503 if minion.instance == "m0" else 200
        return request_path_harness.echo_answer(request, status)

    with request_path_harness.run_request_path(decline_at_m0) as rig:
        for number in range(30):
            handle = rig.charge if kind == "charge" else rig.handle
            reply = handle(request_id=f"r{number}")
            assert isinstance(reply, requests.Answer)
            assert reply.status == 200
    assert rig.minion_client.minions.count("m0") == 1
