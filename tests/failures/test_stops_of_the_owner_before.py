"""Stops of the previous owner that a new owner does not know of."""

from tests.common import fleets
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(count=5, cpu=100, long_running=True, may_miss=2)


def _next_owner(now):
    """Returns the core of a new owner that recovered five running tasks."""
    previous = fleets.new_core()
    fleets.adopt(previous, "i-1", "i-2")
    job = fleets.job(steps=(_LONG_RUNNING,))
    previous.job_added(job, 0.0)
    fleets.run_all(previous, fleets.plan(previous), percent=100.0)
    entry = previous.book.get(job.job_id)
    core = fleets.new_core()
    core.registered(fleets.registration("i-1"), now)
    core.registered(fleets.registration("i-2"), now)
    assert core.restore(job, entry.pack(), 1, now) is None
    core.inherit_runs(now, now + 10.0)
    return core


def _report(core, began_at, stopped=()):
    """Reports the runs of all instances; tasks ``stopped`` have ended."""
    for name, instance in core.instances.items():
        running = tuple(
            fleet.Running(run.task, run.run, "", 100.0)
            for run in instance.runs.values()
            if run.task.index not in stopped
        )
        ended = tuple(
            fleet.End(number, run.task, run.run, fleet.How.STOPPED, "")
            for number, run in enumerate(instance.runs.values(), 1)
            if run.task.index in stopped
        )
        core.held(name, fleets.held(ended, running), began_at, began_at + 0.01)


def _stops_of_a_drain(core, now):
    """Returns the stops that a drain of two machines sends."""
    for name in ("i-1", "i-2"):
        core.instances[name].cordoned = True
    # Capacity elsewhere, so that each task could move there.
    fleets.adopt(core, "i-3", now=now)
    evacuation.evacuate_all(core, now)
    return core.take_stops()


def test_a_new_owner_stops_no_task_while_stops_of_the_previous_one_may_run():
    """Otherwise tasks stop beyond the disruption budget of their job.

    The previous owner stops two tasks of a job that allows two unavailable
    tasks, and then loses the fleet. Until the stops complete, both tasks are
    still listed as serving, so the new owner would stop more of them.
    """
    core = _next_owner(now=7.0)
    _report(core, 7.0)
    assert not _stops_of_a_drain(core, 7.1)
    _report(core, 8.0, stopped=(0, 1))
    assert not _stops_of_a_drain(core, 8.1)


def test_a_new_owner_drains_again_once_no_previous_stop_can_be_pending():
    """Otherwise a maintenance wave stalls after a change of owner."""
    core = _next_owner(now=7.0)
    _report(core, 7.0)
    _report(core, 7.3)
    assert not _stops_of_a_drain(core, 7.35)
    _report(core, 8.0)
    assert len(_stops_of_a_drain(core, 8.1)) == _LONG_RUNNING.may_miss
