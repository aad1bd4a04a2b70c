"""Maintenance waves: concurrent machines, and completion."""

import hypothesis
from hypothesis import strategies as st

from tests.common import properties
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import fleet

UPKEEP_S = 2.0


def _machine(name, state=fleet.MachineState.UP, instance=""):
    return fleet.Machine(
        name, "pool", state, "zone-1", instance, fleet.Resources(1, 1)
    )


def _wave(count=4, max_count=2):
    names = tuple(f"m-{number}" for number in range(count))
    return waves.new_wave(
        fleet.WaveOrder("wave/1", 1, names, 20.0, max_count), 0.0
    )


def test_machines_with_the_lowest_cost_go_first():
    wave = _wave()
    listed = {name: _machine(name) for name in wave.machines}
    cost = {"m-0": 5.0, "m-1": 1.0, "m-2": 0.0, "m-3": 9.0}
    chosen = waves.next_machines(wave, listed, cost.__getitem__, drain_ahead=0)
    assert list(chosen) == ["m-2", "m-1"]


def test_a_machine_with_an_unanswered_order_counts_as_down():
    wave = _wave(max_count=1)
    listed = {name: _machine(name) for name in wave.machines}
    wave.machines["m-0"].phase = waves.MachinePhase.OUTCOME_UNKNOWN
    assert not waves.next_machines(wave, listed, lambda _: 0.0, drain_ahead=0)


def test_a_removed_machine_needs_no_maintenance():
    wave = _wave(count=1)
    waves.update_progress(wave, {}, UPKEEP_S, 1.0)
    assert wave.completed


def test_maintenance_that_others_started_is_counted():
    wave = _wave(count=1)
    down = _machine("m-0", fleet.MachineState.MAINTENANCE)
    waves.update_progress(wave, {"m-0": down}, UPKEEP_S, 1.0)
    assert waves.count_in_maintenance(wave) == 1
    waves.update_progress(wave, {"m-0": _machine("m-0")}, UPKEEP_S, 3.1)
    assert wave.completed


@properties.steady
@hypothesis.given(
    count=st.integers(1, 12),
    max_count=st.integers(1, 5),
    delays=st.lists(st.floats(0.05, 1.0), min_size=200, max_size=200),
)
def test_a_wave_ends_and_never_exceeds_its_limit_of_machines(
    count, max_count, delays
):
    wave = _wave(count, max_count)
    down_until: dict[str, float] = {}
    restarts = dict.fromkeys(wave.machines, 0)
    now = 0.0
    for delay in delays:
        now += delay
        listed = {
            name: _machine(
                name,
                fleet.MachineState.MAINTENANCE
                if down_until.get(name, 0.0) > now
                else fleet.MachineState.UP,
                f"{name}-{restarts[name]}",
            )
            for name in wave.machines
        }
        waves.update_progress(wave, listed, UPKEEP_S, now)
        for name in waves.next_machines(wave, listed, lambda _: 0.0, 0):
            progress = wave.machines[name]
            progress.phase = waves.MachinePhase.IN_MAINTENANCE
            progress.instance = listed[name].instance
            progress.ordered_at = now
            restarts[name] += 1
            down_until[name] = now + UPKEEP_S
        assert sum(until > now for until in down_until.values()) <= max_count
        if wave.completed:
            break
    if now > (count / max_count + 1) * (UPKEEP_S + 1.0):
        assert wave.completed
    if wave.completed:
        assert all(restarts.values())


def test_a_moving_machine_is_not_chosen():
    """Otherwise the platform rejects dozens of maintenance orders as busy.

    The list still shows machines as up that were just ordered to move.
    """
    wave = _wave(count=2)
    listed = {name: _machine(name) for name in wave.machines}
    chosen = waves.next_machines(
        wave, listed, lambda _: 0.0, drain_ahead=0, moving={"m-0"}
    )
    assert list(chosen) == ["m-1"]
