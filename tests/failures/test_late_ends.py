"""Ends of runs that are reported after a newer run of their task began."""

import dataclasses
import random

import pytest

from tests.common import fleet_builders
from tests.common import owner_histories
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(count=1, cpu=1000, long_running=True)
_SHORT = jobs.Step(count=1, cpu=1000)
_JOBS = {
    "plain": {"steps": (_LONG_RUNNING,)},
    "scheduled": {
        "steps": (_LONG_RUNNING,),
        "repeat_count": 1,
        "first_run_ms": 1,
        "interval_ms": 1,
    },
    "speculative": {
        "steps": (dataclasses.replace(_LONG_RUNNING, speculative=True),)
    },
    "checkpointable": {
        "steps": (dataclasses.replace(_LONG_RUNNING, checkpointable=True),)
    },
    "gang": {"steps": (dataclasses.replace(_LONG_RUNNING, gang=True),)},
}


def _task_of(scheduler, index=0):
    (entry,) = scheduler.tracker
    name = jobs.TaskName(entry.job.job_id, 0, 0, index)
    return entry.task(name)


def _report(scheduler, name, now, ended=(), running=()):
    report = fleet_builders.status_report(ended=ended, running=running)
    scheduler.handle_status_report(name, report, now, now)


def _end(task, outcome, run=1, checkpoint=""):
    return fleet.RunEnd(1, task.name, run, outcome, checkpoint)


def _rows_of(scheduler, name):
    return tuple(
        fleet.RunStatus(run.task, run.run, "", 100.0)
        for run in scheduler.instances[name].runs.values()
    )


def _replaced(steps=(_LONG_RUNNING,), attempts=3, **fields):
    """Returns an owner whose first runs were replaced after a lease expired.

    Run 1 of each task is on "i-1", which is unreachable. Run 2 is on "i-2".
    """
    scheduler = fleet_builders.new_scheduler(attempts)
    fleet_builders.add_instances(scheduler, "i-1", cpu=8000)
    scheduler.add_job(fleet_builders.job(steps=steps, **fields), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    fleet_builders.add_instances(scheduler, "i-2", now=3.0, cpu=8000)
    scheduler.mark_unresponsive("i-1", 4.0)
    scheduler.release_expired_leases(30.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler, 30.0)
    )
    assert _task_of(scheduler).is_current(2, "i-2")
    return scheduler


def _assert_runs_on(scheduler, task, run, instance, now):
    """Asserts that a task has one run, which goes on."""
    assert task.is_current(run, instance)
    assert not fleet_builders.plan_batch(scheduler, now).starts
    scheduler.resend_stops(now)
    assert not scheduler.take_stops()


@pytest.mark.parametrize("outcome", list(fleet.RunOutcome))
@pytest.mark.parametrize("kind", _JOBS)
def test_a_late_end_starts_no_run_beside_the_newer_one(kind, outcome):
    """Guards against a long-running task that runs twice after a cut."""
    scheduler = _replaced(**_JOBS[kind])
    task = _task_of(scheduler)
    _report(scheduler, "i-1", 31.0, ended=(_end(task, outcome),))
    _assert_runs_on(scheduler, task, 2, "i-2", 31.0)


@pytest.mark.parametrize("newer_on", ["i-1", "i-2"])
def test_an_end_that_is_reported_again_to_a_new_owner_starts_no_run(newer_on):
    """Guards against a long-running task that runs twice without any cut.

    The owner is killed after it wrote the row of the next run, before it
    acknowledged the end of the one before.
    """
    former = fleet_builders.new_scheduler()
    fleet_builders.add_instances(former, "i-1")
    former.add_job(fleet_builders.job(steps=(_LONG_RUNNING,)), 0.0)
    fleet_builders.accept_starts(former, fleet_builders.plan_batch(former))
    if newer_on == "i-2":
        fleet_builders.add_instances(former, "i-2", now=2.0)
        former.instances["i-1"].is_cordoned = True
    end = _end(_task_of(former), fleet.RunOutcome.DONE)
    _report(former, "i-1", 3.0, ended=(end,))
    (entry,) = fleet_builders.plan_batch(former, 3.0).entries
    assert _task_of(former).is_current(2, newer_on)

    scheduler = fleet_builders.new_scheduler()
    for name in ("i-1", "i-2"):
        scheduler.handle_registration(fleet_builders.registration(name), 4.0)
    scheduler.restore(entry.job, entry.to_document(), 1, 4.0)
    scheduler.recover_runs(4.0, 30.0)
    for name in ("i-1", "i-2"):
        ended = (end,) if name == "i-1" else ()
        running = _rows_of(scheduler, name)
        _report(scheduler, name, 5.0, ended=ended, running=running)
    _assert_runs_on(scheduler, _task_of(scheduler), 2, newer_on, 5.0)


def test_an_end_kept_for_an_unread_job_starts_no_run_beside_the_newer_one():
    """Guards against a task that runs twice after its job is read late."""
    former = _replaced()
    entry = former.tracker.get(_task_of(former).name.job_id)
    scheduler = fleet_builders.new_scheduler()
    scheduler.unreadable_jobs = {entry.job.job_id}
    for name in ("i-1", "i-2"):
        scheduler.handle_registration(fleet_builders.registration(name), 31.0)
    end = _end(_task_of(former), fleet.RunOutcome.DONE)
    _report(scheduler, "i-1", 32.0, ended=(end,))
    _report(scheduler, "i-2", 32.0, running=_rows_of(former, "i-2"))
    scheduler.unreadable_jobs = frozenset()
    scheduler.restore_deferred(
        entry.job, entry.to_document(), 1, 33.0, lease_expires_at=40.0
    )
    _assert_runs_on(scheduler, _task_of(scheduler), 2, "i-2", 33.0)


def _play(seed, *, with_restarts):
    """Plays 300 random events of owners with long-running tasks."""
    chooser = random.Random(seed)
    machine = owner_histories.LongRunningTasks()
    events = owner_histories.busy_events(machine, chooser)
    events[lambda: machine.take_over_with_unread_jobs(chooser.randrange(3))] = (
        0.3
    )
    events[machine.read_unread_jobs] = 1.0
    if with_restarts:
        events[
            lambda: machine.restart(
                chooser.randrange(1_000_000), chooser.random() < 0.5
            )
        ] = 1.0
    for _ in range(300):
        chooser.choices(list(events), list(events.values()))[0]()
        machine.capacity_is_kept()


@pytest.mark.parametrize("seed", range(60))
def test_a_history_with_long_running_tasks_keeps_the_safety_properties(seed):
    """Guards against a long-running task that runs twice.

    Its runs end in any way, in any order with cuts, crashes and new owners.
    """
    _play(seed, with_restarts=False)


_FAILED_WITH_RESTARTS = (2535,)
"""Seeds of histories in which a start did not fit beside one that was carried
out late."""


@pytest.mark.parametrize("seed", [*range(30), *_FAILED_WITH_RESTARTS])
def test_a_history_with_long_running_tasks_and_restarts_keeps_them(seed):
    """Guards against the same while instances restart under their ids."""
    _play(seed, with_restarts=True)


def test_a_late_failure_does_not_use_up_an_attempt_of_the_job():
    """Guards against a job that fails early because an instance was cut off.

    The owner had given up on run 1 and replaced it before the failure of run 1
    arrived. Only run 2 failed while it was the task's current run.
    """
    scheduler = _replaced(steps=(_SHORT,), attempts=2)
    task = _task_of(scheduler)
    failed = fleet.RunOutcome.FAILED
    _report(scheduler, "i-1", 31.0, ended=(_end(task, failed),))
    _report(scheduler, "i-2", 31.0, ended=(_end(task, failed, run=2),))
    (entry,) = scheduler.tracker
    assert entry.ended is None
    assert task.failed_runs == 1
    assert not task.avoided_instances - {"i-2"}


@pytest.mark.parametrize("outcome", ["done", "failed"])
def test_a_late_end_says_nothing_about_how_its_instance_works_now(outcome):
    """Guards against suspensions that depend on ends from before a cut."""
    scheduler = _replaced()
    instance = scheduler.instances["i-1"]
    instance.consecutive_failed_jobs |= {"job-1", "job-2"}
    instance.suspension_count = 2
    end = _end(_task_of(scheduler), fleet.RunOutcome(outcome))
    _report(scheduler, "i-1", 31.0, ended=(end,))
    assert instance.consecutive_failed_jobs == {"job-1", "job-2"}
    assert instance.suspension_count == 2
    assert instance.suspended_until == 0.0


def test_a_late_end_does_not_make_a_proven_task_suspect_again():
    """Guards against a task whose siblings wait beside its proven run."""
    scheduler = _replaced()
    task = _task_of(scheduler)
    kind = crash_evidence.CrashKind.NEW_RUN
    task.crashes = [crash_evidence.Crash(0, "i-0", kind, 0.0)] * 2
    assert crash_evidence.is_suspect(task.crashes)
    task.is_suspect = False
    end = _end(task, fleet.RunOutcome.STOPPED)
    _report(scheduler, "i-1", 31.0, ended=(end,))
    assert not task.is_suspect


def test_a_late_end_as_done_completes_a_short_task_and_stops_its_newer_run():
    scheduler = _replaced(steps=(_SHORT,))
    task = _task_of(scheduler)
    _report(scheduler, "i-1", 31.0, ended=(_end(task, fleet.RunOutcome.DONE),))
    (entry,) = scheduler.tracker
    assert entry.ended is jobs.JobState.COMPLETED
    (stop,) = scheduler.take_stops()
    assert (stop.instance, stop.run) == ("i-2", 2)


def test_a_late_end_of_a_gang_stops_all_members_of_its_newer_run():
    """Guards against members that work on, or wait for the others in vain."""
    step = jobs.Step(count=3, cpu=1000, gang=True)
    scheduler = _replaced(steps=(step,))
    end = _end(_task_of(scheduler, 1), fleet.RunOutcome.DONE)
    _report(scheduler, "i-1", 31.0, ended=(end,))
    (entry,) = scheduler.tracker
    assert entry.ended is jobs.JobState.COMPLETED
    stops = scheduler.take_stops()
    assert {stop.task.index for stop in stops} == {0, 1, 2}
    assert {(stop.instance, stop.run) for stop in stops} == {("i-2", 2)}


def test_an_end_of_the_current_run_of_a_gang_stops_no_member():
    scheduler = _replaced(steps=(jobs.Step(count=3, cpu=1000, gang=True),))
    task = _task_of(scheduler, 1)
    end = _end(task, fleet.RunOutcome.DONE, run=2)
    others = tuple(
        row for row in _rows_of(scheduler, "i-2") if row.task != task.name
    )
    _report(scheduler, "i-2", 31.0, ended=(end,), running=others)
    (entry,) = scheduler.tracker
    assert entry.ended is jobs.JobState.COMPLETED
    assert not scheduler.take_stops()


def test_a_run_that_goes_on_beside_a_newer_one_is_stopped():
    """Guards against two runs of a task whose leases are renewed for good."""
    scheduler = _replaced()
    task = _task_of(scheduler)
    older = instance_state.Run(
        task.name, 1, _LONG_RUNNING, fleet.Resources(1000, 0), 31.0
    )
    scheduler.instances["i-1"].add_run(older)
    for now in (32.0, 32.1):
        for name in ("i-1", "i-2"):
            _report(scheduler, name, now, running=_rows_of(scheduler, name))
    (stop,) = scheduler.take_stops()
    assert (stop.instance, stop.run) == ("i-1", 1)
    assert task.is_current(2, "i-2")
