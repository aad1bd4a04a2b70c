"""Recurring jobs of which many occurrences are due."""

import json
import random
import sys

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import status_summaries
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_NAMES = tuple(f"i-{number}" for number in range(6))
_CPU = 16_000
_TINY = jobs.Step(count=1, cpu=100, mem_mb=10, estimate_ms=500)
_SIZES = (1_000, 10_000, 100_000, 1_000_000)
_SHAPES = {
    "one step": (_TINY,),
    "two steps": (_TINY, jobs.Step(count=2, cpu=100, after=(0,))),
}


def _job(due, steps=(_TINY,), number=1):
    """Returns a job that has been due every ten seconds until now."""
    return fleet_builders.job(
        number,
        steps,
        repeat_count=due,
        first_run_ms=fleet_builders.WALL_MS - due * 10_000,
        interval_ms=10_000,
    )


def _scheduler():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES, cpu=_CPU)
    return scheduler


def _count_calls(operation):
    """Returns how many calls an operation makes, also of built-in functions."""
    calls = 0

    def count(frame, event, argument):
        nonlocal calls
        del frame, argument
        calls += event in ("call", "c_call")

    sys.setprofile(count)
    try:
        operation()
    finally:
        sys.setprofile(None)
    return calls


def _costs(due, steps):
    """Returns the calls of each operation on a job, half of which is done."""
    scheduler = _scheduler()
    job = _job(due, steps)
    done = [[number, 0, due // 2 - 1] for number in range(len(steps))]
    document = {"started": True, "done_ranges": done}
    costs = {
        "restore": _count_calls(
            lambda: scheduler.restore(job, document, 1, 0.0)
        ),
        "recover": _count_calls(lambda: scheduler.recover_runs(0.0, 9.0)),
    }
    entry = scheduler.tracker.get(job.job_id)
    wall_ms = fleet_builders.WALL_MS
    costs["plan"] = _count_calls(lambda: scheduler.plan(1.0, wall_ms))
    costs["plan again"] = _count_calls(lambda: scheduler.plan(1.1, wall_ms))
    batch = scheduler.take_batch(100)
    costs["write"] = _count_calls(entry.to_document)
    costs["end"] = _count_calls(
        lambda: fleet_builders.end_runs(scheduler, batch.starts, 2.0, {})
    )
    costs["status"] = _count_calls(
        lambda: (
            status_summaries.summarize_job(entry, False),
            status_summaries.count_waiting_jobs([entry], wall_ms),
        )
    )
    costs["cancel"] = _count_calls(
        lambda: scheduler.cancel_job(job.job_id, 3.0)
    )
    return costs


@pytest.mark.parametrize("shape", _SHAPES)
def test_no_operation_costs_more_with_more_due_occurrences(shape):
    """Guards against one recurring job that stops the whole fleet."""
    least = _costs(_SIZES[0], _SHAPES[shape])
    for due in _SIZES[1:]:
        costs = _costs(due, _SHAPES[shape])
        grown = {
            name: (least[name], calls)
            for name, calls in costs.items()
            if calls > 1.1 * least[name]
        }
        assert not grown, f"{due} due times"


def test_all_occurrences_run_once_and_in_order():
    """Guards against occurrences that are skipped since few are open."""
    scheduler = _scheduler()
    scheduler.add_job(_job(300, _SHAPES["two steps"]), 0.0)
    started, numbers, now = [], {}, 1.0
    while batch := fleet_builders.plan_batch(scheduler, now):
        if not batch.starts:
            break
        started.extend(start.task for start in batch.starts)
        now += 1.0
        fleet_builders.end_runs(scheduler, batch.starts, now, numbers)
    (entry,) = scheduler.tracker
    assert entry.ended is jobs.JobState.COMPLETED
    first = [task.occurrence for task in started if task.step == 0]
    assert first == list(range(300))
    assert len(started) == len(set(started)) == 900


def test_occurrences_open_while_earlier_ones_still_run():
    """Guards against occurrences that wait for the end of slow ones."""
    scheduler = _scheduler()
    scheduler.add_job(_job(10_000), 0.0)
    running = 0
    while starts := fleet_builders.plan_batch(scheduler).starts:
        running += len(starts)
    assert running > 8 * job_tracker.MAX_UNSTARTED_OCCURRENCES


def test_an_owner_plans_again_while_further_occurrences_can_start():
    scheduler = _scheduler()
    scheduler.add_job(_job(10_000), 0.0)
    fleet_builders.plan_batch(scheduler)
    assert scheduler.has_more_due
    assert scheduler.needs_plan
    while fleet_builders.plan_batch(scheduler).starts:
        pass
    assert not scheduler.has_more_due
    assert not scheduler.needs_plan


def test_occurrences_that_can_not_go_on_do_not_hold_up_later_ones():
    """Guards against a job that waits although some of its work can go on."""
    labelled = jobs.Step(count=1, cpu=100, requires="gpu", after=(0,))
    scheduler = _scheduler()
    scheduler.add_job(_job(10_000, (_TINY, labelled)), 0.0)
    started, numbers, now = 0, {}, 1.0
    while starts := fleet_builders.plan_batch(scheduler, now).starts:
        started += len(starts)
        now += 1.0
        fleet_builders.end_runs(scheduler, starts, now, numbers)
    (entry,) = scheduler.tracker
    assert started == job_tracker.MAX_OPEN_STEPS // 2
    assert len(entry.open_steps_by_key) == started


def test_the_open_occurrences_of_a_large_job_are_limited_by_their_tasks():
    """Guards against an owner whose memory a few large occurrences use up."""
    scheduler = _scheduler()
    scheduler.add_job(_job(10_000, (jobs.Step(count=10_000, cpu=1),)), 0.0)
    fleet_builders.plan_batch(scheduler)
    (entry,) = scheduler.tracker
    assert entry.counts.total == job_tracker.MAX_OPEN_TASKS


def test_due_occurrences_that_are_not_open_count_as_backlog():
    """Guards against a pool that gets no machines for a long backlog."""
    scheduler = fleet_builders.new_scheduler()
    scheduler.add_job(_job(10_000, _SHAPES["two steps"]), 0.0)
    fleet_builders.plan_batch(scheduler)
    assert scheduler.backlog_cpu["berthing"] == 10_000 * _TINY.cpu
    load = scheduler.backlog_load["berthing"]
    assert load.cpu_time == 10_000 * _TINY.cpu * _TINY.estimate_ms


def test_jobs_without_value_take_turns_with_a_long_backlog():
    """Guards against late jobs that wait for all due times of another job."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-0", cpu=1000)
    whole = jobs.Step(count=1, cpu=1000, estimate_ms=500)
    scheduler.add_job(_job(10_000, (whole,)), 0.0)
    for number in range(2, 5):
        scheduler.add_job(fleet_builders.job(number, (whole,)), 0.0, 3600.0)
    started = []
    for turn in range(8):
        (start,) = fleet_builders.plan_batch(scheduler, 100.0 + turn).starts
        started.append(int(start.task.job_id, 16))
        ended = fleet.RunEnd(
            turn + 1, start.task, start.run, fleet.RunOutcome.DONE, ""
        )
        report = fleet_builders.status_report(ended=(ended,))
        scheduler.handle_status_report("i-0", report, 100.5, 100.5 + turn)
    assert {2, 3, 4} <= set(started[:4])
    assert started[4:] == [1, 1, 1, 1]


def test_a_new_owner_goes_on_where_the_last_one_was():
    """Guards against occurrences that a change of owner skips or repeats."""
    steps = _SHAPES["two steps"]
    job = _job(2_000, steps)
    document, started = {}, []
    chooser = random.Random(1)
    for term in range(8):
        scheduler = _scheduler()
        assert scheduler.restore(job, document, 1, 0.0) is None
        scheduler.recover_runs(0.0, 9.0)
        for name in _NAMES:
            report = fleet_builders.status_report()
            scheduler.handle_status_report(name, report, 1.0, 1.0)
        (entry,) = scheduler.tracker
        numbers, now = {}, 2.0
        for _ in range(4):
            batch = fleet_builders.plan_batch(scheduler, now)
            now += 1.0
            ended = [start for start in batch.starts if chooser.random() < 0.7]
            started.extend(start.task for start in ended)
            fleet_builders.end_runs(scheduler, ended, now, numbers)
        document = json.loads(json.dumps(entry.to_document()))
        assert entry.ended is None, term
    assert len(started) == len(set(started))
    for task in started:
        others = [
            other.index
            for other in started
            if (other.occurrence, other.step) == (task.occurrence, task.step)
        ]
        whole = len(others) == steps[task.step].count
        assert entry.is_step_done(task.occurrence, task.step) == whole


def test_progress_of_many_half_done_occurrences_is_restored_at_once():
    """Guards against a take-over that opens all that has ever been open."""
    scheduler = _scheduler()
    document = {"started": True, "done_ranges": [[0, 0, 899_999]]}
    job = _job(1_000_000, _SHAPES["two steps"])
    starts = []

    def take_over():
        scheduler.restore(job, document, 1, 0.0)
        scheduler.recover_runs(0.0, 9.0)
        starts.extend(fleet_builders.plan_batch(scheduler).starts)

    assert _count_calls(take_over) < 100_000
    assert starts
    assert {start.task.step for start in starts} == {1}
