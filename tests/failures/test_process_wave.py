"""Maintenance waves of real processes while all around them fails."""

import json

import pytest

from tests.common import control_deployments as control_lib
from tests.common import deployments
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform

PHASE = platform.MaintenancePhase
UNDER_WAY = (PHASE.DRAINING, PHASE.DRAINED, PHASE.REBOOTING)
WAVE = "small"
SERVICES = ("berthing", "pilotage")
LOST = "rack-lost"
LOST_SERVICE = "wharfage"
EXPLAIN = ("fleet", "explain", f"wave/{LOST}")
BUDGET = 2
FROM_1 = ("--from", "1")
LARGER = {
    "services": {LOST_SERVICE: {"availability_budget": {"minions_down": 2}}}
}


@pytest.fixture(scope="module")
def place(tmp_path_factory):
    return tmp_path_factory.mktemp("wave")


@pytest.fixture(scope="module")
def control(place):
    waves = {
        WAVE: control_lib.wave(*SERVICES),
        LOST: control_lib.wave(LOST_SERVICE, canary=1),
    }
    services = {LOST_SERVICE: {"availability_budget": {"minions_down": 1}}}
    config = control_lib.refined(
        place / "config", waves=waves, services=services
    )
    with control_lib.run(place, config, entries=2, controllers=4) as made:
        yield made


def test_a_wave_goes_on_through_the_loss_of_its_holders(control):
    """A night of maintenance in which each controller that leads it fails.

    The first holder is killed in the middle of a round, answers of table and
    instances are lost, the next holder is frozen and wakes up when another
    one leads, and the table goes away. Clerks ask all the time. Each minion
    is rebooted once, none that reboots gets a request, no charge is cut.
    """
    names = control.minions(*SERVICES)
    with control_lib.clerks(control, SERVICES[0], seed=11) as callers:
        code, output = control.operate("wave", "start", WAVE)
        assert code == 0, output
        control.wait_phase(names, PHASE.REBOOTING)
        first = control.holder(WAVE)
        epoch = control.duty(WAVE).epoch
        first.kill()
        control.faults(lose_answers=4)
        control.faults("instances", lose_answers=2)
        control.wait_taken_over(WAVE, epoch)
        control.wait_phase(names, PHASE.DRAINING, PHASE.DRAINED)
        frozen = control.holder(WAVE)
        epoch = control.duty(WAVE).epoch
        frozen.freeze()
        control.wait_taken_over(WAVE, epoch)
        control.wait_phase(names, *UNDER_WAY)
        frozen.thaw()
        with control.outage([control.holder(WAVE), frozen]):
            pass
        control.wait_finished(WAVE)
    counted = control.counters
    assert {counted["reboots"].get(name) for name in names} == {1}
    assert {counted["phases"][name] for name in names} == {PHASE.SERVING}
    for service in SERVICES:
        assert counted["most_down"][service] <= BUDGET
        assert counted["most_data_centres"][service] == 1
    assert counted["reboots_in_use"] == 0
    minions = control.running.minions
    assert {minions[name].received_rebooting for name in names} == {0}
    assert callers.told
    assert callers.untrue(control.running.counts()) == ()
    assert not [told for told in callers.told if told.cut]


def test_a_wave_waits_and_says_why_when_a_rack_is_lost(control, place):
    """An operator finds a wave that does not move after a rack has burnt.

    The canary reboots when a rack with another minion of its service is
    lost: that is all its budget allows. The canary comes back, nothing more
    is taken down, and status and explanation name the cause. The wave goes
    on when a larger budget is put in force.
    """
    names = control.minions(LOST_SERVICE)
    config = place / "config"
    code, output = control.operate("wave", "start", LOST)
    assert code == 0, output
    control.wait_phase(names, PHASE.REBOOTING)
    listings = control_lib.listed(control.running.platform)
    racks = {name: listings[name].rack for name in names if name in listings}
    (canary,) = control.drained(names)
    rack = min(r for n, r in racks.items() if n != canary)
    (lost,) = (name for name, where in racks.items() if where == rack)
    control.running.switch_platform(f"instances/{lost}/kill")
    deployments.wait_until(lambda: control.wave(LOST).waits)
    for command in (("wave", "status", LOST), EXPLAIN):
        _, output = control.operate(*command)
        assert "budget used up" in output
        assert lost in output
    assert control.drained(names) == {canary}
    assert control.counters["phases"][canary] == PHASE.SERVING
    waits = control.wave(LOST)
    assert waits.state is wave_state.WaveState.RUNNING
    assert waits.done == (canary,)
    (config / "95-budget.json").write_text(json.dumps(LARGER))
    code, output = control.operate("config", "apply", str(config), *FROM_1)
    assert code == 0, output
    deployments.wait_until(lambda: len(control.drained(names)) > 1)
    assert control.wave(LOST).waits == ""
