"""Waves of upkeep: how many at once, when they are done."""

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


def _wave(count=4, at_once=2):
    names = tuple(f"m-{number}" for number in range(count))
    return waves.begin(fleet.WaveOrder("wave/1", 1, names, 20.0, at_once), 0.0)


def test_the_cheapest_machines_go_first():
    wave = _wave()
    listed = {name: _machine(name) for name in wave.machines}
    cost = {"m-0": 5.0, "m-1": 1.0, "m-2": 0.0, "m-3": 9.0}
    chosen = waves.next_machines(wave, listed, cost.__getitem__, ahead=0)
    assert list(chosen) == ["m-2", "m-1"]


def test_an_order_without_answer_counts_as_down():
    wave = _wave(at_once=1)
    listed = {name: _machine(name) for name in wave.machines}
    wave.machines["m-0"].phase = waves.Phase.IN_DOUBT
    assert not waves.next_machines(wave, listed, lambda _: 0.0, ahead=0)


def test_a_machine_that_left_for_good_needs_no_upkeep():
    wave = _wave(count=1)
    waves.observe(wave, {}, UPKEEP_S, 1.0)
    assert wave.completed


def test_upkeep_that_somebody_else_began_is_counted():
    wave = _wave(count=1)
    down = _machine("m-0", fleet.MachineState.UPKEEP)
    waves.observe(wave, {"m-0": down}, UPKEEP_S, 1.0)
    assert waves.down(wave) == 1
    waves.observe(wave, {"m-0": _machine("m-0")}, UPKEEP_S, 3.1)
    assert wave.completed


@properties.steady
@hypothesis.given(
    count=st.integers(1, 12),
    at_once=st.integers(1, 5),
    delays=st.lists(st.floats(0.05, 1.0), min_size=200, max_size=200),
)
def test_a_wave_ends_and_never_takes_too_many_at_once(count, at_once, delays):
    wave = _wave(count, at_once)
    down_until: dict[str, float] = {}
    lives = dict.fromkeys(wave.machines, 0)
    now = 0.0
    for delay in delays:
        now += delay
        listed = {
            name: _machine(
                name,
                fleet.MachineState.UPKEEP
                if down_until.get(name, 0.0) > now
                else fleet.MachineState.UP,
                f"{name}-{lives[name]}",
            )
            for name in wave.machines
        }
        waves.observe(wave, listed, UPKEEP_S, now)
        for name in waves.next_machines(wave, listed, lambda _: 0.0, 0):
            item = wave.machines[name]
            item.phase = waves.Phase.ORDERED
            item.instance = listed[name].instance
            item.ordered_at = now
            lives[name] += 1
            down_until[name] = now + UPKEEP_S
        assert sum(until > now for until in down_until.values()) <= at_once
        if wave.completed:
            break
    if now > (count / at_once + 1) * (UPKEEP_S + 1.0):
        assert wave.completed
    if wave.completed:
        assert all(lives.values())


def test_a_machine_on_its_way_to_another_pool_is_not_chosen():
    """Orders of upkeep are refused as busy, dozens of them in a row.

    The list showed machines as up that had just been ordered elsewhere.
    """
    wave = _wave(count=2)
    listed = {name: _machine(name) for name in wave.machines}
    chosen = waves.next_machines(
        wave, listed, lambda _: 0.0, ahead=0, moving={"m-0"}
    )
    assert list(chosen) == ["m-1"]
