"""Stops of the previous owner that a new owner does not know of."""

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(count=5, cpu=100, long_running=True, may_miss=2)


def _next_owner(now):
    """Returns the scheduler of a new owner that recovered five tasks."""
    previous = fleet_builders.new_scheduler()
    fleet_builders.add_instances(previous, "i-1", "i-2")
    job = fleet_builders.job(steps=(_LONG_RUNNING,))
    previous.add_job(job, 0.0)
    fleet_builders.accept_starts(
        previous, fleet_builders.plan_batch(previous), percent=100.0
    )
    entry = previous.tracker.get(job.job_id)
    scheduler = fleet_builders.new_scheduler()
    scheduler.handle_registration(fleet_builders.registration("i-1"), now)
    scheduler.handle_registration(fleet_builders.registration("i-2"), now)
    assert scheduler.restore(job, entry.to_document(), 1, now) is None
    scheduler.recover_runs(now, now + 10.0)
    return scheduler


def _report(scheduler, began_at, stopped=()):
    """Reports the runs of all instances; tasks ``stopped`` have ended."""
    for name, instance in scheduler.instances.items():
        running = tuple(
            fleet.RunStatus(run.task, run.run, "", 100.0)
            for run in instance.runs.values()
            if run.task.index not in stopped
        )
        ended = tuple(
            fleet.RunEnd(
                number, run.task, run.run, fleet.RunOutcome.STOPPED, ""
            )
            for number, run in enumerate(instance.runs.values(), 1)
            if run.task.index in stopped
        )
        scheduler.handle_status_report(
            name,
            fleet_builders.status_report(ended, running),
            began_at,
            began_at + 0.01,
        )


def _stops_of_a_drain(scheduler, now):
    """Returns the stops that a drain of two machines sends."""
    for name in ("i-1", "i-2"):
        scheduler.instances[name].is_cordoned = True
    # Capacity elsewhere, so that each task could move there.
    fleet_builders.add_instances(scheduler, "i-3", now=now)
    evacuation.evacuate_instances(scheduler, now)
    return scheduler.take_stops()


def test_a_new_owner_stops_no_task_while_stops_of_the_previous_one_may_run():
    """Otherwise tasks stop beyond the disruption budget of their job.

    The previous owner stops two tasks of a job that allows two unavailable
    tasks, and then loses the fleet. Until the stops complete, both tasks are
    still listed as serving, so the new owner would stop more of them.
    """
    scheduler = _next_owner(now=7.0)
    _report(scheduler, 7.0)
    assert not _stops_of_a_drain(scheduler, 7.1)
    _report(scheduler, 8.0, stopped=(0, 1))
    assert not _stops_of_a_drain(scheduler, 8.1)


def test_a_new_owner_drains_again_once_no_previous_stop_can_be_pending():
    """Otherwise a maintenance wave stalls after a change of owner."""
    scheduler = _next_owner(now=7.0)
    _report(scheduler, 7.0)
    _report(scheduler, 7.3)
    assert not _stops_of_a_drain(scheduler, 7.35)
    _report(scheduler, 8.0)
    assert len(_stops_of_a_drain(scheduler, 8.1)) == _LONG_RUNNING.may_miss
