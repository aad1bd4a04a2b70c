"""Rows that carry finished work around fill the owner's link."""

import json

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import jobs


def _entry(step: jobs.Step) -> job_tracker.JobEntry:
    """Returns a job whose tasks are all assigned."""
    entry = job_tracker.JobEntry(fleet_builders.job(steps=(step,)), 0.0)
    (open_step,) = entry.open_due_steps(0.0)
    for task in open_step.tasks:
        task.state = job_tracker.TaskState.ASSIGNED
        task.run, task.instance = 1, "i-54a34c12c2"
        task.born_ms, task.checkpoint = 1_782_052_189_646, "00000bb87a21d94b"
    return entry


def test_the_row_of_a_job_shrinks_as_its_tasks_end():
    """Guards against writes that delay the starts of a busy owner."""
    entry = _entry(jobs.Step(count=8, checkpointable=True))
    sizes = [len(json.dumps(entry.to_document()))]
    for task in entry.open_steps_by_key[0, 0].tasks:
        task.state = job_tracker.TaskState.DONE
        sizes.append(len(json.dumps(entry.to_document())))
    assert sizes == sorted(sizes, reverse=True)
    assert len(set(sizes)) == len(sizes)


def test_the_row_of_a_failed_task_names_its_instance_when_it_is_done():
    """Guards against rows that no longer tell where a task failed."""
    entry = _entry(jobs.Step(count=2))
    first, second = entry.open_steps_by_key[0, 0].tasks
    first.state = second.state = job_tracker.TaskState.DONE
    first.failed_runs = 1
    instances = [row[5] for row in entry.to_document()["tasks"]]
    assert instances == ["i-54a34c12c2", ""]
