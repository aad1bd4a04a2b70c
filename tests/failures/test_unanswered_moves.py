"""Moves of machines whose answers are lost."""

import gevent
import pytest

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.machines import capacity_planner
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_NO_ANSWER = fleet.NoAnswer(True, "no answer")


class _Term:
    """A term in which machines may be ordered."""

    is_term_over = False
    last_written_version = 7

    def may_operate_machines(self):
        return True


class _Machines:
    """Gives orders the listed answers; repeats the last one."""

    def __init__(self, *answers):
        self._answers = list(answers)
        self.ordered = []

    def move(self, machine, pool, token):
        del pool, token
        self.ordered.append(machine)
        return (
            self._answers.pop(0) if len(self._answers) > 1 else self._answers[0]
        )


def _machine(pool, state, instance):
    return {
        "m-1": fleet.Machine(
            "m-1",
            pool,
            state,
            "zone-1",
            instance,
            fleet.Resources(16_000, 64_000),
        )
    }


class _Mover:
    """A mover with one machine on standby, for a pool that needs it."""

    def __init__(self, *answers):
        self.clock = clocks.ManualClock()
        self.scheduler = fleet_builders.new_scheduler()
        steps = (jobs.Step(count=8, cpu=16_000),)
        self.scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
        fleet_builders.plan_batch(self.scheduler)
        self.machines = _Machines(*answers)
        self._mover = mover.MachineMover(
            self.scheduler,
            self.machines,
            _Term(),
            1000.0,
            waves.ReservedMachines,
            self.clock,
            lambda _: None,
        )
        self.read_and_order(_machine("spare", fleet.MachineState.UP, ""))

    def read(self, machines):
        """Reads a list of machines."""
        self._mover.update_machines(machines)

    def read_and_order(self, machines):
        """Reads a list of machines, then plans and orders moves."""
        self.read(machines)
        self.clock.advance(2 * mover.RETRY_DELAY_S)
        self._mover.step()
        gevent.sleep(0)
        gevent.sleep(0)

    def arrive(self):
        """Lets the machine arrive in its pool with a new instance."""
        now = self.clock.monotonic()
        fleet_builders.add_instances(self.scheduler, "i-1", now=now, cpu=16_000)
        self.read_and_order(_machine("berthing", fleet.MachineState.UP, "i-1"))

    @property
    def gets_work(self):
        """Whether the instance that arrived may get work."""
        now = self.clock.monotonic()
        return self.scheduler.instances["i-1"].is_schedulable(now)


@pytest.mark.parametrize("later_answer", [_NO_ANSWER, fleet.Accepted(0.0)])
def test_a_machine_that_arrives_after_an_unanswered_move_gets_work(
    later_answer,
):
    """Guards against machines that stay without work until the owner changes.

    The order was carried out, but its answer was lost. It was repeated after
    the machine had arrived, and its new instance counted as about to end.
    """
    owner = _Mover(_NO_ANSWER, later_answer)
    owner.arrive()
    assert owner.gets_work
    owner.read_and_order(_machine("berthing", fleet.MachineState.UP, "i-1"))
    assert owner.machines.ordered == ["m-1"]
    assert owner.gets_work


def test_an_unanswered_move_is_not_repeated_while_the_machine_moves():
    owner = _Mover(_NO_ANSWER)
    owner.read_and_order(_machine("spare", fleet.MachineState.MOVING, ""))
    assert owner.machines.ordered == ["m-1"]
    owner.read_and_order(_machine("spare", fleet.MachineState.UP, ""))
    assert owner.machines.ordered == ["m-1", "m-1"]


def test_an_instance_that_outlasts_an_accepted_move_gets_work_again():
    """Guards against an instance that stays without work after a failed move.

    The platform accepted the move of an idle machine, but the machine still
    runs the same instance long after.
    """
    owner = _Mover(fleet.Accepted(0.0))
    now = owner.clock.monotonic()
    fleet_builders.add_instances(owner.scheduler, "i-1", now=now, cpu=16_000)
    order = mover._order_name(capacity_planner.Move("m-1", "berthing"))
    owner.scheduler.begin_machine_order(
        owner.scheduler.instances["i-1"], order, now
    )
    owner.clock.advance(mover.MOVE_EXPIRY_S + 1.0)
    owner.read(_machine("spare", fleet.MachineState.UP, "i-1"))
    assert owner.gets_work
