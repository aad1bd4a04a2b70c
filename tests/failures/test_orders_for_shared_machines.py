"""Orders for one machine by several waves, and repeated orders.

Each order that may end the tasks of an instance counts against the disruption
budgets until it is certain that the order does not end them.
"""

import pytest

from tests.common import clocks
from tests.common import disruption_simulation
from tests.common import fleet_builders
from tests.common import wave_doubles
from tests.common import wave_simulation
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)
_INSTANCES = ("i-2", "i-1", "i-3")
"""In the order in which the owner evacuates them; ``m-1`` is maintained first.
"""

_DURATION_S = 1.0
"""Duration of waves that are behind schedule from their start, so that machines
drain although their pool needs them."""

_DRAINED_S = wave_controller.LATE_SHORT_TASK_GRACE_S + 0.1
"""Time after which their machines get maintenance although they run tasks."""

_STEP_S = 0.25


class _Fleet:
    """An owner with a task of one step on each of three full instances."""

    def __init__(self, wave_store):
        self.clock = clocks.ManualClock()
        self.clock.advance(1.0)
        self.scheduler = fleet_builders.new_scheduler()
        fleet_builders.add_instances(self.scheduler, *_INSTANCES, now=1.0)
        self.scheduler.add_job(
            fleet_builders.job(steps=(_LONG_RUNNING,)), self.clock.monotonic()
        )
        fleet_builders.accept_starts(
            self.scheduler,
            fleet_builders.plan_batch(self.scheduler),
            percent=100.0,
        )
        self.machines = wave_doubles.Machines(["m-1", "m-2", "m-3"])
        self._task = wave_doubles.task(
            self.scheduler, self.machines, wave_store, self.clock
        )

    def drain(self):
        """Steps until the next step orders maintenance.

        No task can go to another instance.
        """
        until = self.clock.monotonic() + _DRAINED_S
        while self.clock.monotonic() < until:
            self.step()
            assert not self.scheduler.take_stops()

    def step_until_ordered(self):
        """Steps until maintenance is ordered."""
        for _ in range(40):
            if not self.machines.ordered:
                self.step()
        assert self.machines.ordered

    def add_spare(self):
        """Adds an idle instance, to which each of the tasks could go."""
        now = self.clock.monotonic()
        fleet_builders.add_instances(self.scheduler, "i-4", now=now)
        self.machines.names.append("m-4")

    def step(self):
        """Reports all tasks as serving; advances the waves and drains."""
        self.clock.advance(_STEP_S)
        now = self.clock.monotonic()
        rows = {
            name: [
                fleet.RunStatus(run.task, run.run, "", 100.0)
                for run in instance.runs.values()
            ]
            for name, instance in self.scheduler.instances.items()
        }
        fleet_builders.report_running(self.scheduler, rows, now)
        self._task.mover.step()
        self._task.reconcile()


def _second_wave_store():
    """Returns a store with a wave beside one that has finished a machine."""
    store = wave_doubles.WaveStore("m-1", duration_s=_DURATION_S)
    store.finished["wave/1"] = ("m-1",)
    store.add_wave("m-1", "m-2")
    return store


def test_a_machine_finished_by_one_wave_counts_as_ending_in_the_next():
    """Guards against two unavailable tasks of a step with a budget of one.

    The second wave's maintenance ended a task, and the owner stopped another
    one milliseconds later.
    """
    owner = _Fleet(_second_wave_store())
    owner.drain()
    owner.add_spare()
    owner.step()
    assert owner.machines.ordered == ["m-1"]
    assert not owner.scheduler.take_stops()


def test_a_maintained_instance_that_continues_gets_work_again():
    """Guards against an idle instance after a repeated maintenance order.

    An earlier owner's order was carried out before, so the platform accepts
    the repeated one without effect.
    """
    owner = _Fleet(_second_wave_store())
    owner.drain()
    owner.step()
    assert owner.machines.ordered == ["m-1"]
    owner.step()
    now = owner.clock.monotonic()
    assert owner.scheduler.instances["i-1"].is_schedulable(now)


@pytest.mark.parametrize(
    "answer", [fleet.Busy(), fleet.NoAnswer(False, "status 429")]
)
def test_a_rejected_copy_does_not_settle_an_unanswered_maintenance_order(
    answer,
):
    """Guards against two unavailable tasks of a step with a budget of one.

    The first copy of the order got no answer and may still be carried out. The
    platform rejected the second one, and the owner stopped another task.
    """
    store = wave_doubles.WaveStore("m-1", "m-2", duration_s=_DURATION_S)
    owner = _Fleet(store)
    owner.machines.answers = [fleet.NoAnswer(True, "no answer"), answer]
    owner.drain()
    owner.step()
    assert owner.machines.ordered == ["m-1"]
    owner.add_spare()
    owner.step()
    assert owner.machines.ordered == ["m-1", "m-1"]
    stopped = {stop.instance for stop in owner.scheduler.take_stops()}
    assert stopped <= {"i-1"}


def test_maintenance_for_one_wave_does_not_complete_another():
    """Guards against a completed wave that never maintained a machine.

    The machine was in maintenance for another wave that contains it too.
    """
    store = wave_doubles.WaveStore("m-1", duration_s=_DURATION_S)
    store.add_wave("m-1")
    owner = _Fleet(store)
    for wave in ("wave/1", "wave/2"):
        owner.machines.ordered.clear()
        assert (wave, True) not in store.reports
        owner.step_until_ordered()
        owner.machines.in_maintenance.add("m-1")
        owner.step()
        owner.clock.advance(fleet_builders.deployment().bounds.maintenance_s)
        owner.machines.in_maintenance.clear()
        owner.step()
        assert (wave, True) in store.reports


def test_a_wave_that_finished_a_machine_does_not_restart_its_draining():
    """Guards against a machine that drains for one wave until another ends.

    Each step of the wave that had finished the machine took it for one whose
    maintenance had begun, so that its draining never lasted long enough.
    """
    store = wave_doubles.WaveStore("m-1", "m-2", duration_s=_DURATION_S)
    store.finished["wave/1"] = ("m-1",)
    store.add_wave("m-1")
    owner = _Fleet(store)
    owner.machines.in_maintenance.add("m-2")
    owner.step_until_ordered()
    assert owner.machines.ordered == ["m-1"]


@pytest.mark.parametrize("seed", [0, 2, 5, 11, 53, 62, 66, 84])
def test_random_waves_that_share_machines_break_no_limit(seed):
    """Guards against waves that end a task too many, or complete too early.

    Answers get lost, orders are rejected or carried out late, and ownership
    changes hands. Each of these seeds once ended a task too many.
    """
    simulation = wave_simulation.WaveSimulation(seed)
    simulation.run(60.0)
    simulation.run_without_faults(90.0)
    assert not simulation.violations
    assert simulation.completed == simulation.waves
    assert not simulation.instances_without_work
    count = sum(step.count for step in disruption_simulation.STEPS)
    assert len(simulation.serving) == count
