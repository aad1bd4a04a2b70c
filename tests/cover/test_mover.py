"""Orders to move machines to other pools."""

import dataclasses

import gevent
import gevent.event
import pytest

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


@dataclasses.dataclass
class _Writer:
    is_term_over = False
    last_written_version = 7
    is_confirmed = True

    def may_operate_machines(self):
        return self.is_confirmed

    def end_term(self):
        self.is_term_over = True


class _Machines:
    """Gives all orders the same answer, once ``may_answer`` is set."""

    def __init__(self, outcome):
        self.outcome = outcome
        self.may_answer = gevent.event.Event()
        self.ordered = []

    def move(self, machine, pool, token):
        del pool, token
        self.ordered.append(machine)
        self.may_answer.wait()
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


class _Setup:
    """A mover, run step by step, whose pool needs all existing machines."""

    def __init__(self, outcome, orders_per_s=1000.0):
        self.scheduler = scheduler = fleet_builders.new_scheduler()
        steps = (jobs.Step(count=64, cpu=16_000),)
        scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
        fleet_builders.plan_batch(scheduler)
        self.machines = _Machines(outcome)
        self.writer = _Writer()
        self.reserved = waves.ReservedMachines()
        self._clock = clocks.ManualClock()
        self._mover = mover.MachineMover(
            scheduler,
            self.machines,
            self.writer,
            orders_per_s,
            lambda: self.reserved,
            self._clock,
            lambda _: None,
        )
        self._mover.update_machines(_standby(12))

    def update_machines(self, machines):
        """Passes another list of machines to the mover."""
        self._mover.update_machines(machines)

    def step(self, seconds=mover.STEP_INTERVAL_S):
        """Plans once and lets the resulting orders be sent."""
        self._clock.advance(seconds)
        self._mover.step()
        gevent.sleep(0)

    def answer(self):
        """Lets the platform answer."""
        self.machines.may_answer.set()
        gevent.sleep(0)
        gevent.sleep(0)


def test_orders_of_a_burst_are_sent_concurrently():
    """Otherwise the machines for a burst of 8 s arrive over 5 s of it.

    This happens if each order, which takes 16 ms, waits for the previous one.
    """
    setup = _Setup(fleet.Accepted(0.0))
    setup.step()
    assert len(setup.machines.ordered) == 12


def test_orders_stay_within_the_rate_limit_of_the_platform():
    setup = _Setup(fleet.Accepted(0.0), orders_per_s=30.0)
    setup.step()
    assert len(setup.machines.ordered) == 3
    setup.step()
    assert len(setup.machines.ordered) == 6


def test_a_moving_machine_is_not_ordered_again():
    setup = _Setup(fleet.Accepted(0.0))
    setup.step()
    setup.step()
    setup.answer()
    setup.step()
    assert len(setup.machines.ordered) == 12


@pytest.mark.parametrize("sent", [True, False])
def test_orders_pause_after_one_without_an_answer(sent):
    setup = _Setup(fleet.NoAnswer(sent, "no answer"))
    setup.answer()
    setup.step()
    setup.step(mover.RETRY_DELAY_S / 2)
    assert len(setup.machines.ordered) == 12
    setup.step(mover.RETRY_DELAY_S)
    assert sorted(setup.machines.ordered[:12]) == sorted(
        setup.machines.ordered[12:]
    )


@pytest.mark.parametrize(
    "later_answer", [fleet.NoAnswer(False, "no connection"), fleet.Busy()]
)
def test_an_unanswered_order_is_repeated_although_a_later_copy_has_no_effect(
    later_answer,
):
    """Otherwise tasks are killed by a move whose order was dropped.

    The first copy of the order gets no answer; the second can't be sent, or the
    platform rejects it. If the order is dropped then, the machine gets work
    while the first copy may still take effect.
    """
    setup = _Setup(fleet.NoAnswer(True, "no answer"))
    setup.answer()
    setup.step()
    setup.machines.outcome = later_answer
    setup.step(2 * mover.RETRY_DELAY_S)
    setup.scheduler.cancel_job(fleet_builders.job().job_id, 0.0)
    setup.scheduler.plan(0.0, fleet_builders.WALL_MS)
    setup.step(2 * mover.RETRY_DELAY_S)
    assert len(setup.machines.ordered) == 36


def test_machines_due_for_maintenance_move_last():
    setup = _Setup(fleet.Accepted(0.0), orders_per_s=30.0)
    setup.reserved = waves.ReservedMachines(
        unavailable=frozenset({"m-0"}),
        awaiting_maintenance=frozenset(f"m-{index}" for index in range(1, 9)),
    )
    setup.step()
    assert sorted(setup.machines.ordered) == ["m-10", "m-11", "m-9"]
    setup.step()
    assert "m-0" not in setup.machines.ordered


def test_a_fenced_order_ends_the_term_of_the_owner():
    setup = _Setup(fleet.Refused(fleet.RefusalReason.FENCED))
    setup.answer()
    setup.step()
    assert setup.writer.is_term_over


def test_a_starting_fleet_takes_no_machine_from_standby():
    """Otherwise a pool keeps a machine from standby that it never needs.

    All instances start at once and register over some seconds. If unregistered
    ones do not count, their pool seems empty and takes a machine from standby.
    """
    setup = _Setup(fleet.Accepted(0.0))
    setup.scheduler.cancel_job(fleet_builders.job().job_id, 0.0)
    setup.scheduler.plan(0.0, fleet_builders.WALL_MS)
    machine = fleet.Machine(
        "m-9",
        "berthing",
        fleet.MachineState.UP,
        "zone-1",
        "i-starting",
        fleet.Resources(16_000, 64_000),
    )
    setup.update_machines({"m-9": machine} | _standby(2))
    setup.step()
    assert not setup.machines.ordered
    setup.step(mover.ARRIVAL_GRACE_S)
    assert len(setup.machines.ordered) == 1


def _pool_machine(cpu, number=9):
    """Returns a listed machine of the pool."""
    return fleet.Machine(
        f"m-{number}",
        "berthing",
        fleet.MachineState.UP,
        "zone-1",
        f"i-{number}",
        fleet.Resources(cpu, 64_000),
    )


@pytest.mark.parametrize("listed_cpu", [2000, 16_000])
def test_a_pool_gets_machines_to_replace_lost_capacity(listed_cpu):
    """Otherwise jobs wait for a machine with 1/8 of its capacity left."""
    setup = _Setup(fleet.Accepted(0.0))
    setup.scheduler.cancel_job(fleet_builders.job().job_id, 0.0)
    step = jobs.Step(count=12, cpu=1000, long_running=True)
    setup.scheduler.add_job(fleet_builders.job(2, (step,)), 0.0)
    fleet_builders.add_instances(setup.scheduler, "i-9", cpu=16_000)
    fleet_builders.accept_starts(
        setup.scheduler, fleet_builders.plan_batch(setup.scheduler)
    )
    setup.update_machines({"m-9": _pool_machine(16_000)} | _standby(4))
    setup.step()
    assert not setup.machines.ordered
    smaller = fleet_builders.registration("i-9", cpu=2000)
    setup.scheduler.handle_registration(smaller, 1.0)
    setup.update_machines({"m-9": _pool_machine(listed_cpu)} | _standby(4))
    setup.step()
    assert len(setup.machines.ordered) == 1


def test_machines_idle_during_an_outage_do_not_go_to_standby_as_it_ends():
    """Otherwise clients that return after an outage find the machines off."""
    setup = _Setup(fleet.Accepted(0.0))
    setup.scheduler.cancel_job(fleet_builders.job().job_id, 0.0)
    fleet_builders.add_instances(setup.scheduler, "i-8", "i-9", cpu=16_000)
    fleet_builders.plan_batch(setup.scheduler)
    idle = {f"m-{n}": _pool_machine(16_000, n) for n in (8, 9)}
    setup.update_machines(idle | _standby(1))
    setup.step()
    setup.writer.is_confirmed = False
    for _ in range(20):
        setup.step(1.0)
    setup.writer.is_confirmed = True
    setup.step()
    assert not setup.machines.ordered
    for _ in range(4):
        setup.step(0.5)
    assert len(setup.machines.ordered) == 1
