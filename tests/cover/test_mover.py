"""How machines are ordered to other pools."""

import dataclasses

import gevent
import gevent.event
import pytest

from tests.common import clocks
from tests.common import fleets
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


@dataclasses.dataclass
class _Recorder:
    deposed = False
    newest = 7
    certain = True

    def may_order(self):
        return self.certain

    def depose(self):
        self.deposed = True


class _Machines:
    """Answers all orders alike, once it is let."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.answering = gevent.event.Event()
        self.ordered = []

    def move(self, machine, pool, token):
        del pool, token
        self.ordered.append(machine)
        self.answering.wait()
        return self.outcome


def _standby(count):
    return {
        f"m-{index}": fleet.Machine(
            f"m-{index}",
            "spare",
            fleet.MachineState.UP,
            "zone-1",
            "",
            fleet.Resources(16_000, 64_000),
        )
        for index in range(count)
    }


class _World:
    """A mover for a pool that wants all the machines there are, by steps."""

    def __init__(self, outcome, orders_per_s=1000.0):
        self.core = core = fleets.new_core()
        steps = (jobs.Step(count=64, cpu=16_000),)
        core.job_added(fleets.job(steps=steps), 0.0)
        fleets.plan(core)
        self.machines = _Machines(outcome)
        self.recorder = _Recorder()
        self.upkeep = waves.Reserved()
        self._clock = clocks.ManualClock()
        self._mover = mover.Mover(
            core,
            self.machines,
            self.recorder,
            orders_per_s,
            lambda: self.upkeep,
            self._clock,
            lambda _: None,
        )
        self._mover.listed(_standby(12))

    def listed(self, machines):
        """Shows another list of machines."""
        self._mover.listed(machines)

    def step(self, seconds=mover.STEP_S):
        """Decides once and lets the orders that follow go out."""
        self._clock.advance(seconds)
        self._mover.step()
        gevent.sleep(0)

    def answer(self):
        """Lets the platform answer."""
        self.machines.answering.set()
        gevent.sleep(0)
        gevent.sleep(0)


def test_the_machines_of_a_turn_are_ordered_side_by_side():
    """A turn of 8 s begins and its machines arrive over 5 s of it.

    Each order took 16 ms and waited for the one before it.
    """
    world = _World(fleet.Accepted(0.0))
    world.step()
    assert len(world.machines.ordered) == 12


def test_no_more_orders_go_out_than_the_platform_takes():
    world = _World(fleet.Accepted(0.0), orders_per_s=30.0)
    world.step()
    assert len(world.machines.ordered) == 3
    world.step()
    assert len(world.machines.ordered) == 6


def test_a_machine_on_its_way_is_not_ordered_again():
    world = _World(fleet.Accepted(0.0))
    world.step()
    world.step()
    world.answer()
    world.step()
    assert len(world.machines.ordered) == 12


@pytest.mark.parametrize("sent", [True, False])
def test_a_platform_in_trouble_is_not_pressed(sent):
    world = _World(fleet.NoAnswer(sent, "no answer"))
    world.answer()
    world.step()
    world.step(mover.RETRY_S / 2)
    assert len(world.machines.ordered) == 12
    world.step(mover.RETRY_S)
    assert sorted(world.machines.ordered[:12]) == sorted(
        world.machines.ordered[12:]
    )


def test_a_copy_in_doubt_outlasts_one_that_did_not_leave():
    """Tasks die on a machine that moves although its order was given up.

    A first order got no answer; the second could not be sent, and the machine
    was taken for one that stays while the first copy was still under way.
    """
    world = _World(fleet.NoAnswer(True, "no answer"))
    world.answer()
    world.step()
    world.machines.outcome = fleet.NoAnswer(False, "no connection")
    world.step(2 * mover.RETRY_S)
    world.core.cancelled(fleets.job().job_id, 0.0)
    world.core.plan(0.0, fleets.WALL_MS)
    world.step(2 * mover.RETRY_S)
    assert len(world.machines.ordered) == 36


def test_machines_that_are_due_for_upkeep_move_last():
    world = _World(fleet.Accepted(0.0), orders_per_s=30.0)
    world.upkeep = waves.Reserved(
        taken=frozenset({"m-0"}),
        due=frozenset(f"m-{index}" for index in range(1, 9)),
    )
    world.step()
    assert sorted(world.machines.ordered) == ["m-10", "m-11", "m-9"]
    world.step()
    assert "m-0" not in world.machines.ordered


def test_an_owner_that_is_fenced_ends_its_term():
    world = _World(fleet.Refused(fleet.Reason.FENCED))
    world.answer()
    world.step()
    assert world.recorder.deposed


def test_a_starting_fleet_takes_no_machine_from_standby():
    """Machines are paid for all day that nobody needs.

    All instances start at once and register over some seconds; until then
    their pool seemed empty and took one from standby, which stayed.
    """
    world = _World(fleet.Accepted(0.0))
    world.core.cancelled(fleets.job().job_id, 0.0)
    world.core.plan(0.0, fleets.WALL_MS)
    machine = fleet.Machine(
        "m-9",
        "berthing",
        fleet.MachineState.UP,
        "zone-1",
        "i-starting",
        fleet.Resources(16_000, 64_000),
    )
    world.listed({"m-9": machine} | _standby(2))
    world.step()
    assert not world.machines.ordered
    world.step(mover.ARRIVAL_S)
    assert len(world.machines.ordered) == 1


def _serving(cpu, number=9):
    """Returns a machine of the pool, as the list shows it."""
    return fleet.Machine(
        f"m-{number}",
        "berthing",
        fleet.MachineState.UP,
        "zone-1",
        f"i-{number}",
        fleet.Resources(cpu, 64_000),
    )


@pytest.mark.parametrize("listed_cpu", [2000, 16_000])
def test_machines_come_in_place_of_room_that_has_shrunk(listed_cpu):
    """Jobs wait beside idle machines: theirs has an eighth of its room left."""
    world = _World(fleet.Accepted(0.0))
    world.core.cancelled(fleets.job().job_id, 0.0)
    step = jobs.Step(count=12, cpu=1000, long_running=True)
    world.core.job_added(fleets.job(2, (step,)), 0.0)
    fleets.adopt(world.core, "i-9", cpu=16_000)
    fleets.run_all(world.core, fleets.plan(world.core))
    world.listed({"m-9": _serving(16_000)} | _standby(4))
    world.step()
    assert not world.machines.ordered
    smaller = fleets.registration("i-9", cpu=2000)
    world.core.registered(smaller, 1.0)
    world.listed({"m-9": _serving(listed_cpu)} | _standby(4))
    world.step()
    assert len(world.machines.ordered) == 1


def test_machines_that_idled_in_an_outage_are_not_given_up_as_it_ends():
    """Clients that come back after an outage find their pool's machines off."""
    world = _World(fleet.Accepted(0.0))
    world.core.cancelled(fleets.job().job_id, 0.0)
    fleets.adopt(world.core, "i-8", "i-9", cpu=16_000)
    fleets.plan(world.core)
    idle = {f"m-{n}": _serving(16_000, n) for n in (8, 9)}
    world.listed(idle | _standby(1))
    world.step()
    world.recorder.certain = False
    for _ in range(20):
        world.step(1.0)
    world.recorder.certain = True
    world.step()
    assert not world.machines.ordered
    for _ in range(4):
        world.step(0.5)
    assert len(world.machines.ordered) == 1
