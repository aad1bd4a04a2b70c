"""Real controllers replaced all at once, and operators who race."""

import gevent
import pytest

from tests.common import control_deployments as control_lib
from tests.common import deployments
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform

PHASE = platform.MaintenancePhase
STATE = wave_state.WaveState
WAVE = "small"
SERVICES = ("berthing", "pilotage")
BUDGET = 2


@pytest.fixture(scope="module")
def control(tmp_path_factory):
    place = tmp_path_factory.mktemp("controllers")
    waves = {WAVE: control_lib.wave(*SERVICES)}
    config = control_lib.refined(place / "config", waves=waves)
    with control_lib.run(place, config, entries=1, controllers=3) as made:
        yield made


def test_operators_race_while_all_controllers_are_replaced(control):
    """Two operators start a wave at once; one pauses it and goes home.

    One start is accepted, the other is told so. The pause races the holder's
    steps: what had begun is finished, nothing more begins. Resumed, all
    controllers are killed in an outage of the table, and their successors
    end the wave with each minion rebooted once.
    """
    names = control.minions(*SERVICES)
    first, second = _at_once(control, "start", "ana", "rui")
    (refused,) = [out for code, out in (first, second) if code]
    assert sorted((first[0], second[0])) == [0, 1]
    assert "changed meanwhile" in refused or "running already" in refused
    control.wait_phase(names, PHASE.DRAINING, PHASE.DRAINED, PHASE.REBOOTING)
    _pause(control)
    deployments.wait_until(
        lambda: control.phase_count(names, PHASE.SERVING) == len(names)
    )
    begun = control.counters["drains"]
    assert control.wave(WAVE).state is STATE.PAUSED
    again = _at_once(control, "pause", "ana")[0]
    assert again[0] == 1
    assert "is paused" in again[1]
    assert 0 < len(begun) < len(names)
    assert _at_once(control, "start", "ana")[0][0] == 0
    deployments.wait_until(
        lambda: sum(control.counters["drains"].values()) > len(begun)
    )
    old = list(control.running.controllers.values())
    epoch = control.duty(WAVE).epoch
    with control.outage(old):
        for process in old:
            process.kill()
        new = [control.start_controller() for _ in range(3)]
        assert not any(process.page("ready")["ready"] for process in new)
    control.wait_finished(WAVE)
    assert control.duty(WAVE).epoch > epoch
    counted = control.counters
    assert {counted["reboots"].get(name) for name in names} == {1}
    assert {counted["drains"].get(name) for name in names} == {1}
    for service in SERVICES:
        assert counted["most_down"][service] <= BUDGET
        assert counted["most_data_centres"][service] == 1
    held = [process.page("duties") for process in new]
    assert sum(len(page) for page in held) == len({n for p in held for n in p})


def _at_once(control, verb, *operators):
    """Returns exit codes and outputs of commands that run at once."""
    running = [
        gevent.spawn(
            control.operate, "wave", verb, WAVE, "--operator", operator
        )
        for operator in operators
    ]
    return deployments.results(running)


def _pause(control):
    """Pauses the wave; the holder's step may have been faster."""
    deployments.wait_until(lambda: _paused(*_at_once(control, "pause", "rui")))


def _paused(told):
    code, output = told
    if code:
        assert "nothing was written" in output
    return code == 0
