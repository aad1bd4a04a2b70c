"""Rows that carry finished work around fill the owner's link."""

import dataclasses
import json

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


def _entry(step: jobs.Step) -> job_tracker.JobEntry:
    """Returns a job whose tasks are all assigned."""
    entry = job_tracker.JobEntry(fleet_builders.job(steps=(step,)), 0.0)
    (open_step,) = entry.open_due_steps(0.0)
    for task in open_step.tasks:
        task.state = open_steps.TaskState.ASSIGNED
        task.run, task.instance = 1, "i-54a34c12c2"
        task.born_ms, task.checkpoint = 1_782_052_189_646, "00000bb87a21d94b"
    return entry


def test_the_row_of_a_job_shrinks_as_its_tasks_end():
    """Guards against writes that delay the starts of a busy owner."""
    entry = _entry(jobs.Step(count=8, checkpointable=True))
    sizes = [len(json.dumps(entry.to_document()))]
    for task in entry.open_steps_by_key[0, 0].tasks:
        task.state = open_steps.TaskState.DONE
        sizes.append(len(json.dumps(entry.to_document())))
    assert sizes == sorted(sizes, reverse=True)
    assert len(set(sizes)) == len(sizes)


def test_the_row_of_a_failed_task_names_its_instance_when_it_is_done():
    """Guards against rows that no longer tell where a task failed."""
    entry = _entry(jobs.Step(count=2))
    first, second = entry.open_steps_by_key[0, 0].tasks
    first.state = second.state = open_steps.TaskState.DONE
    first.failed_runs = 1
    instances = [row[5] for row in entry.to_document()["tasks"]]
    assert instances == ["i-54a34c12c2", ""]


def _recover(job, row, now):
    """Returns a new owner that restored a row, without any instance."""
    scheduler = fleet_builders.new_scheduler()
    assert scheduler.restore(job, json.loads(json.dumps(row)), 1, now) is None
    scheduler.recover_runs(now, now)
    return scheduler


def _row(scheduler, job):
    return scheduler.tracker.get(job.job_id).to_document()


def _crash_a_task(scheduler, image, now):
    """Lets a job with an image fail, on instances too small for others."""
    step = jobs.Step(count=1, cpu=3000, image=image)
    job = fleet_builders.job(99, (step,))
    scheduler.add_job(job, now)
    for number in range(2):
        name = f"i-small-{number}"
        fleet_builders.add_instances(scheduler, name, now=now, cpu=3000)
        (start,) = fleet_builders.plan_batch(scheduler, now).starts
        assert start.task.job_id == job.job_id
        key = start.task, start.run
        scheduler.handle_start_accepted(name, key, 0.0, now)
        scheduler.remove_instance(name, now, "no machine runs it")
        now += 2.0
        scheduler.evaluate_pending_crashes(now)
    assert scheduler.tracker.get(job.job_id).ended is jobs.JobState.FAILED
    return now


@pytest.mark.parametrize("born_ms", [None, 7])
def test_a_step_with_a_done_task_goes_on_if_its_image_becomes_suspect(born_ms):
    """Guards against new owners that wait for a done task to run again."""
    step = jobs.Step(count=2, cpu=4000, image="v7")
    job = fleet_builders.job(steps=(step,))
    scheduler = fleet_builders.new_scheduler()
    scheduler.add_job(job, 0.0)
    registration = fleet_builders.registration("i-1")
    scheduler.handle_registration(
        dataclasses.replace(registration, born_ms=born_ms), 0.0
    )
    report = dataclasses.replace(
        fleet_builders.status_report(), born_ms=born_ms
    )
    scheduler.handle_status_report("i-1", report, 0.0, 0.0)
    (start,) = fleet_builders.plan_batch(scheduler, 1.0).starts
    end = fleet.RunEnd(1, start.task, start.run, fleet.RunOutcome.DONE, "")
    report = dataclasses.replace(report, ended_runs=(end,))
    scheduler.handle_status_report("i-1", report, 2.0, 2.0)

    scheduler = _recover(job, _row(scheduler, job), 3.0)
    now = _crash_a_task(scheduler, "v7", 3.0)
    fleet_builders.add_instances(scheduler, "i-2", now=now)
    (start,) = fleet_builders.plan_batch(scheduler, now + 1.0).starts
    assert start.task == jobs.TaskName(job.job_id, 0, 0, 1)


def test_the_row_of_a_step_with_a_done_task_has_evidence():
    """Guards against earlier versions that take the step as unproven."""
    entry = _entry(jobs.Step(count=2))
    done, waiting = entry.open_steps_by_key[0, 0].tasks
    done.state = open_steps.TaskState.DONE
    waiting.state, waiting.run = open_steps.TaskState.WAITING, 0
    waiting.born_ms = None
    assert [row[:3] for row in entry.to_document()["evidence"]] == [[0, 0, 0]]


def test_the_row_of_a_waiting_task_names_the_boot_time_of_its_last_run():
    """Guards against a lost run that is taken back without its boot time."""
    entry = _entry(jobs.Step(count=1))
    (task,) = entry.open_steps_by_key[0, 0].tasks
    task.state, task.instance = open_steps.TaskState.WAITING, ""
    (row,) = entry.to_document()["evidence"]
    assert row[3] == task.born_ms
