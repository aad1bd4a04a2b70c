"""Release of busy machines by the mover, with the scheduler's decisions."""

import dataclasses

import gevent
import pytest

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import mover
from vanillaswitch.coordination.fleet.machines import pool_allocation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

_COUNT = 6
_TASK = jobs.Step(count=60, cpu=4000, estimate_ms=500)


class _Platform:
    last_written_version = 7
    is_term_over = False
    is_confirmed = True

    def __init__(self):
        self.moved = []

    def may_operate_machines(self):
        return self.is_confirmed

    def move(self, machine, pool, token):
        del token
        self.moved.append((machine, pool))
        return fleet.Accepted(0.0)


class _Fleet:
    """Pool "berthing" runs late tasks on all machines but one, of "quays".

    Attributes:
        events: events of the mover.
    """

    def __init__(self, *, is_on=True, first_step=_TASK):
        self.events, self.platform = [], _Platform()
        self.reserved = waves.ReservedMachines()
        self.clock = clocks.ManualClock()
        self.scheduler = schedulers.Scheduler(
            queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
            self.events.append,
            overload=deployments.OverloadControls(pool_allocation=is_on),
        )
        config = fleet_builders.config()
        quays = dataclasses.replace(
            config.queues[0], name="quays", service="quays"
        )
        pools = dict(config.pools) | {
            "quays": fleet.Pool("quays", False, False)
        }
        self.scheduler.apply_config(
            dataclasses.replace(
                config, queues=(*config.queues, quays), pools=pools
            )
        )
        now = self.clock.monotonic()
        listed = {}
        for number in range(_COUNT):
            pool = "berthing" if number else "quays"
            name = f"i-{number}"
            entry = fleet_builders.registration(name, cpu=4000)
            self.scheduler.handle_registration(
                dataclasses.replace(entry, service=pool), now
            )
            self.scheduler.handle_status_report(
                name, fleet_builders.status_report(), now, now
            )
            listed[f"m-{number}"] = fleet.Machine(
                f"m-{number}",
                pool,
                fleet.MachineState.UP,
                "zone-1",
                name,
                fleet.Resources(4000, 32_000),
            )
        self.mover = mover.MachineMover(
            self.scheduler,
            self.platform,
            self.platform,
            1000.0,
            lambda: self.reserved,
            self.clock,
            self.events.append,
        )
        self.mover.update_machines(listed)
        self._add_job(1, first_step, age_s=2.0)
        self._plan()
        self._add_job(2, _TASK, age_s=2.0)
        self._plan()
        self._add_job(
            3, dataclasses.replace(_TASK, estimate_ms=5000), queue="quays"
        )
        self._plan()

    def _add_job(self, number, step, age_s=0.0, queue="quotes"):
        job = fleet_builders.job(number, (step,), queue=queue)
        self.scheduler.add_job(job, self.clock.monotonic(), age_s)

    def _plan(self):
        fleet_builders.accept_starts(
            self.scheduler,
            fleet_builders.plan_batch(self.scheduler, self.clock.monotonic()),
        )

    def step(self, count=4):
        """Lets the mover plan some times."""
        for _ in range(count):
            self.clock.advance(mover.STEP_INTERVAL_S)
            self.mover.step()
            gevent.sleep(0)

    def released(self):
        """Returns the instances that are released."""
        return {
            name
            for name, instance in self.scheduler.instances.items()
            if instance.is_released
        }

    def end_runs(self, name):
        """Lets all runs of an instance end."""
        now = self.clock.monotonic()
        ends = tuple(
            fleet.RunEnd(number, *key, fleet.RunOutcome.DONE, "")
            for number, key in enumerate(self.scheduler.instances[name].runs, 1)
        )
        self.scheduler.handle_status_report(
            name, fleet_builders.status_report(ended=ends), now, now
        )
        self._plan()


def test_released_machines_get_no_work_and_move_when_empty():
    """Otherwise a pool with a backlog never has an idle machine to give."""
    played = _Fleet()
    played.step()
    released = played.released()
    assert 2 <= len(released) < _COUNT - 1
    assert not played.platform.moved
    name = min(released)
    played.end_runs(name)
    assert not played.scheduler.instances[name].runs
    played.step(1)
    assert played.platform.moved == [(name.replace("i", "m"), "quays")]
    ended = [
        event.how
        for event in played.events
        if isinstance(event, events.MachineReleaseEnded)
    ]
    assert ended == ["moved"]
    shown = {
        event.pool
        for event in played.events
        if isinstance(event, events.PoolAllocation)
    }
    assert shown == {"berthing", "quays"}


def test_nothing_is_released_without_the_switch():
    """Otherwise earlier deployments are no longer served as before."""
    played = _Fleet(is_on=False)
    played.step()
    assert not played.released()
    assert not any(
        isinstance(event, events.PoolAllocation | events.MachineReleased)
        for event in played.events
    )


def test_releases_are_cancelled_while_machines_can_not_be_moved():
    """Otherwise machines stay empty for as long as the store is away."""
    played = _Fleet()
    played.step()
    assert played.released()
    played.platform.is_confirmed = False
    played.step(1)
    assert not played.released()


@pytest.mark.parametrize(
    "first_step",
    [
        jobs.Step(count=2, cpu=100, long_running=True, anti_affinity=1),
        jobs.Step(count=2, cpu=100, gang=True, anti_affinity=1),
    ],
)
def test_machines_with_long_running_tasks_and_gangs_are_kept(first_step):
    """Otherwise they keep a machine without other work for a long time."""
    played = _Fleet(first_step=first_step)
    played.step()
    protected = {
        name
        for name, instance in played.scheduler.instances.items()
        if any(
            run.step.long_running or run.step.gang
            for run in instance.runs.values()
        )
    }
    assert len(protected) == 2
    assert played.released()
    assert not played.released() & protected


def test_a_machine_that_a_wave_has_reserved_is_not_released():
    """Otherwise it moves away while its maintenance is about to start."""
    played = _Fleet()
    everything = frozenset(f"m-{number}" for number in range(_COUNT))
    played.reserved = waves.ReservedMachines(unavailable=everything)
    played.step()
    assert not played.released()


def test_a_release_ends_when_runs_last_longer_than_expected():
    """Otherwise one slow task keeps the rest of a machine idle for good."""
    played = _Fleet()
    played.step()
    released = played.released()
    assert released
    until = played.clock.monotonic() + pool_allocation.MAX_RELEASE_S + 1.0
    while played.clock.monotonic() < until:
        played.step(1)
    ended = [
        event.how
        for event in played.events
        if isinstance(event, events.MachineReleaseEnded)
    ]
    assert ended == ["cancelled"] * len(released)
    assert not played.released() & released


def test_a_release_ends_when_a_long_running_task_is_found_there():
    """Otherwise the machine is kept empty for as long as that task runs."""
    played = _Fleet()
    played.step()
    name = min(played.released())
    instance = played.scheduler.instances[name]
    step = jobs.Step(count=1, cpu=100, long_running=True)
    instance.add_run(
        instance_state.Run(
            jobs.TaskName("f" * 16, 0, 0, 0),
            1,
            step,
            open_steps.task_demand(step),
            played.clock.monotonic(),
        )
    )
    played.step(1)
    assert name not in played.released()
