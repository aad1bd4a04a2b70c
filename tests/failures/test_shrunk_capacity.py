"""Starts that no longer fit after the capacity of an instance has shrunk."""

import dataclasses

import pytest

from tests.common import fleet_builders
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_THREE_TASKS = jobs.Step(count=3, cpu=900)


def _shrink(scheduler, name, cpu, now, mem_mb=32_000):
    known = scheduler.instances[name].registration
    scheduler.handle_registration(
        dataclasses.replace(known, capacity=fleet.Resources(cpu, mem_mb)), now
    )


def _scheduler_with_unsent_starts(step=_THREE_TASKS, name="i-1"):
    """Returns a scheduler and its starts that are decided but not sent."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, name)
    scheduler.add_job(fleet_builders.job(steps=(step,)), 0.0)
    scheduler.plan(1.0, fleet_builders.WALL_MS)
    return scheduler, scheduler.take_batch(100).starts


def test_a_start_that_no_longer_fits_is_not_sent():
    """Guards against three starts for an instance that now fits only one."""
    scheduler, starts = _scheduler_with_unsent_starts()
    _shrink(scheduler, "i-1", 1000, 1.1)
    assert [scheduler.may_send_start(start) for start in starts] == [
        True,
        False,
        False,
    ]
    assert len(scheduler.instances["i-1"].runs) == 1


def test_tasks_whose_starts_were_withheld_start_elsewhere():
    """Guards against tasks that wait forever after their start is withheld."""
    scheduler, starts = _scheduler_with_unsent_starts()
    _shrink(scheduler, "i-1", 1000, 1.1)
    for start in starts:
        scheduler.may_send_start(start)
    fleet_builders.add_instances(scheduler, "i-2", now=1.2)
    again = fleet_builders.plan_batch(scheduler, 1.3).starts
    assert [start.instance for start in again] == ["i-2", "i-2"]
    assert {start.run for start in again} == {2}


def test_a_run_that_is_being_stopped_still_counts_when_a_start_is_sent():
    """Guards against a start that relies on a run which has not stopped yet."""
    scheduler, starts = _scheduler_with_unsent_starts(
        jobs.Step(count=2, cpu=900)
    )
    assert scheduler.may_send_start(starts[0])
    instance = scheduler.instances["i-1"]
    run = instance.runs[starts[0].task, starts[0].run]
    scheduler.stop_run(instance, run, 1.05, "a reason")
    _shrink(scheduler, "i-1", 1000, 1.1)
    assert not scheduler.may_send_start(starts[1])


def test_a_copy_of_a_start_that_no_longer_fits_is_held_back():
    """Guards against a second copy of a start after the capacity has shrunk."""
    scheduler, starts = _scheduler_with_unsent_starts(
        jobs.Step(count=1, cpu=900)
    )
    assert scheduler.may_send_start(starts[0])
    key = (starts[0].task, starts[0].run)
    assert scheduler.handle_start_unanswered("i-1", key, True, 1.1)
    _shrink(scheduler, "i-1", 800, 1.15)
    assert scheduler.must_defer_resend(starts[0])
    _shrink(scheduler, "i-1", 1000, 1.2)
    assert not scheduler.must_defer_resend(starts[0])


def test_a_gang_of_which_one_start_no_longer_fits_is_stopped():
    """Guards against members that block capacity and end without the others."""
    scheduler, starts = _scheduler_with_unsent_starts(
        jobs.Step(count=3, cpu=900, gang=True)
    )
    assert scheduler.may_send_start(starts[0])
    _shrink(scheduler, "i-1", 1000, 1.1)
    assert not scheduler.may_send_start(starts[1])
    assert not scheduler.may_send_start(starts[2])
    (stop,) = scheduler.take_stops()
    assert stop.task == starts[0].task


@pytest.mark.parametrize("listed_cpu", [1000, 8000])
def test_the_smaller_one_of_two_reported_capacities_counts(listed_cpu):
    """The machine list may show less capacity than an old registration."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.update_listed_capacity("i-1", fleet.Resources(listed_cpu, 32_000))
    scheduler.add_job(fleet_builders.job(steps=(_THREE_TASKS,)), 0.0)
    capacity = min(listed_cpu, 4000)
    assert len(fleet_builders.plan_batch(scheduler).starts) == min(
        3, capacity // 900
    )


def test_a_machine_listed_without_capacity_keeps_its_registered_one():
    """Guards against an idle instance whose listed capacity is missing."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.update_listed_capacity("i-1", fleet.Resources(0, 0))
    scheduler.add_job(fleet_builders.job(steps=(_THREE_TASKS,)), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 3


def test_starts_use_the_smallest_capacity_while_registrations_are_old():
    """While the store is unavailable, a capacity may shrink a second time."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    _shrink(scheduler, "i-1", 1000, 0.5)
    _shrink(scheduler, "i-1", 4000, 0.9)
    scheduler.set_registrations_stale(True)
    scheduler.add_job(fleet_builders.job(steps=(_THREE_TASKS,)), 0.0)
    assert len(fleet_builders.plan_batch(scheduler, 1.0).starts) == 1
    scheduler.set_registrations_stale(False)
    assert len(fleet_builders.plan_batch(scheduler, 1.1).starts) == 2


def test_an_unknown_capacity_does_not_count_as_a_shrunk_one():
    """Guards against a new owner that starts nothing on an inherited instance.

    Before the first registration it knows only the id of the instance.
    """
    first = fleet_builders.new_scheduler()
    fleet_builders.add_instances(first, "i-1")
    first.add_job(fleet_builders.job(steps=(_THREE_TASKS,)), 0.0)
    fleet_builders.accept_starts(first, fleet_builders.plan_batch(first))
    (entry,) = first.tracker.unfinished.values()
    scheduler = fleet_builders.new_scheduler()
    scheduler.restore(entry.job, entry.to_document(), 1, 3.0)
    scheduler.recover_runs(3.0, 9.0)
    fleet_builders.add_instances(scheduler, "i-1", now=3.5)
    scheduler.set_registrations_stale(True)
    assert len(fleet_builders.plan_batch(scheduler, 3.6).starts) == 3


def test_nothing_starts_beside_a_run_of_unknown_need_when_capacity_grows():
    """Guards against starts that don't fit beside a run of an unread job."""
    unread, waiting = (
        fleet_builders.job(1),
        fleet_builders.job(2, (_THREE_TASKS,)),
    )
    scheduler = fleet_builders.new_scheduler()
    scheduler.unreadable_jobs = {unread.job_id}
    scheduler.handle_registration(
        fleet_builders.registration("i-1", cpu=1000), 0.0
    )
    task = jobs.TaskName(unread.job_id, 0, 0, 0)
    fleet_builders.report_running(
        scheduler, {"i-1": [fleet.RunStatus(task, 1, "", 10.0)]}, 0.5
    )
    _shrink(scheduler, "i-1", 2000, 0.6)
    scheduler.add_job(waiting, 0.6)
    assert not fleet_builders.plan_batch(scheduler, 1.0).starts


def test_no_run_is_stopped_only_because_the_capacity_has_shrunk():
    """Guards against stops of tasks that their instance keeps running."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(steps=(_THREE_TASKS,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    _shrink(scheduler, "i-1", 1000, 2.0)
    scheduler.plan(2.1, fleet_builders.WALL_MS)
    scheduler.resend_stops(2.1)
    assert not scheduler.take_stops()
