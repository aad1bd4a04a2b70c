"""Jobs with so many tasks that their progress may not fit into a row."""

import json
import random

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.platform import job_body
from vanillaswitch.platform import store_rows
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

_ROW_BYTES = deployments.Bounds().max_row_bytes
_CALL_BYTES = 1_048_576
_TASKS = 10_000
_CHECKPOINT = "00000bb87a21d94b"
_NAMES = tuple(f"i-{number:010x}" for number in range(40))


def _write(*entries):
    """Returns the call that writes the progress of some jobs."""
    puts = tuple(
        platform.Put(f"progress/{entry.job.job_id}", 1, entry.to_document())
        for entry in entries
    )
    return store_rows.encode_transaction(
        platform.Transaction("5c0e7a21d94b36f8-edge-hall-suape-2-1", puts)
    )


def _assert_fits(*entries):
    call = _write(*entries)
    assert max(len(row["value"]) for row in call["writes"]) <= _ROW_BYTES
    assert len(json.dumps(call)) <= _CALL_BYTES


def _scheduler(emit=lambda _: None):
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emit
    )
    scheduler.apply_config(fleet_builders.config())
    return scheduler


def _wide_job(number=1, count=_TASKS, **fields):
    steps = (jobs.Step(count=count, cpu=1, checkpointable=True, **fields),)
    return fleet_builders.job(number, steps)


def _entry_with_random_tasks(chooser):
    """Returns a job with tasks in any state, as many as may be started."""
    entry = job_tracker.JobEntry(_wide_job(), 0.0)
    (step,) = entry.open_due_steps(0.0)
    for task in step.tasks:
        if chooser.random() < 0.5:
            task.run, task.state = 1, open_steps.TaskState.DONE
    limit = _ROW_BYTES * 3 // 4
    waiting = [task for task in step.tasks if not task.run]
    for task in waiting[: entry.fresh_start_count(limit)]:
        task.run = chooser.randrange(1, 4)
        task.checkpoint = chooser.choice(["", _CHECKPOINT])
        if chooser.random() < 0.1:
            task.failed_runs = 1
            continue
        task.state = open_steps.TaskState.ASSIGNED
        task.instance = chooser.choice(_NAMES)
        task.born_ms = 1_782_052_189_646
    return entry


@pytest.mark.parametrize("seed", range(5))
def test_the_progress_of_a_wide_job_fits_into_a_row_and_is_read_back(seed):
    """Guards against one job whose row stops the whole fleet."""
    entry = _entry_with_random_tasks(random.Random(seed))
    _assert_fits(entry)
    again = job_tracker.JobEntry(entry.job, 0.0)
    document = json.loads(json.dumps(entry.to_document()))
    assert again.load_document(document) is None
    (before,) = entry.open_due_steps(0.0)
    (after,) = again.open_due_steps(0.0)
    assert len(after.tasks) == len(before.tasks)
    for old, new in zip(before.tasks, after.tasks, strict=True):
        if old.state is open_steps.TaskState.DONE:
            assert new.state is open_steps.TaskState.DONE
            continue
        for field in ("state", "run", "instance", "failed_runs", "checkpoint"):
            assert getattr(new, field) == getattr(old, field)
        assert new.born_ms == old.born_ms
        assert new.last_counted_run == (
            old.run
            if old.state is open_steps.TaskState.WAITING
            else old.run - 1
        )


def test_the_progress_fits_where_each_task_is_alone_on_its_instance():
    """Guards against rows that are too large on fleets of many instances."""
    entry = job_tracker.JobEntry(_wide_job(), 0.0)
    (step,) = entry.open_due_steps(0.0)
    count = entry.fresh_start_count(_ROW_BYTES * 3 // 4)
    for task in step.tasks[-count:]:
        task.run, task.checkpoint = 12, _CHECKPOINT
        task.state = open_steps.TaskState.ASSIGNED
        task.instance = f"i-{task.name.index:010x}"
        task.born_ms = 1_782_052_189_646
    _assert_fits(entry)


def test_the_crashes_of_a_wide_job_are_read_back():
    entry = job_tracker.JobEntry(_wide_job(count=400), 0.0)
    (step,) = entry.open_due_steps(0.0)
    kind = crash_evidence.CrashKind.NEW_RUN
    for task in step.tasks:
        task.run, task.instance = 1, "i-1"
    step.tasks[7].record_crash(crash_evidence.Crash(1, "i-0", kind, 0.1))
    again = job_tracker.JobEntry(entry.job, 0.0)
    assert again.load_document(entry.to_document()) is None
    (step,) = again.open_due_steps(0.0)
    assert step.has_crashed
    assert [task.name.index for task in step.suspect_tasks] == [7]


def test_the_done_occurrences_of_a_scheduled_job_do_not_grow_its_row():
    """Guards against a scheduled job that stops the fleet after some days."""
    job = fleet_builders.job(
        steps=(jobs.Step(count=1), jobs.Step(count=1, after=(0,))),
        repeat_count=1_000_000,
        first_run_ms=1,
        interval_ms=1,
    )
    done = [[0, 0, 19_999], [1, 0, 6], [1, 8, 19_999]]
    entry = job_tracker.JobEntry(job, 0.0)
    assert entry.load_document({"done_ranges": done}) is None
    _assert_fits(entry)
    again = job_tracker.JobEntry(job, 0.0)
    assert again.load_document(entry.to_document()) is None
    for at in range(20_002):
        for step in (0, 1):
            expected = at < 20_000 and (at, step) != (7, 1)
            assert entry.is_step_done(at, step) == expected
            assert again.is_step_done(at, step) == expected


def test_the_row_of_the_largest_job_that_is_accepted_fits():
    """Guards against accepted jobs whose own row the store rejects."""
    step = {"count": 1, "image": "i" * 200, "requires": "r" * 60}
    step |= dict.fromkeys(("cpu", "mem_mb", "anti_affinity"), 10**6)
    step |= dict.fromkeys(("long_running", "checkpointable"), True)
    steps = [step | {"estimate_ms": number} for number in range(100)]
    while len(body := json.dumps(steps)) > job_body.MAX_STEPS_BYTES:
        steps.pop()
    job = job_body.parse_job(
        f'{{"spec":"s","steps":{body}}}'.encode(), "ab" * 8, "q", "s", 0
    )
    put = platform.Put(f"job/{job.job_id}", 0, job_rows.job_to_row(job))
    call = store_rows.encode_transaction(platform.Transaction("t", (put,)))
    assert len(call["writes"][0]["value"]) <= _ROW_BYTES


def _run_all(scheduler, now):
    """Lets all started tasks end; returns how many ran at most at once."""
    most = 0
    numbers: dict[str, int] = {}
    while batch := fleet_builders.plan_batch(scheduler, now).starts:
        most = max(most, len(batch))
        _assert_fits(*scheduler.tracker)
        now += 1.0
        fleet_builders.end_runs(scheduler, batch, now, numbers)
    return most


def test_a_wide_job_runs_in_parts_that_fit_into_its_row():
    """Guards against a row that grows with the room of the fleet."""
    scheduler = _scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES)
    scheduler.add_job(_wide_job(count=3000), 0.0)
    most = _run_all(scheduler, 1.0)
    (entry,) = scheduler.tracker
    assert entry.ended is jobs.JobState.COMPLETED
    assert 256 < most < 3000


def test_the_tasks_of_a_wide_job_start_again_after_all_instances_are_lost():
    """Guards against a wide job that waits for room in its row for good."""
    scheduler = _scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES)
    scheduler.add_job(_wide_job(count=3000), 0.0)
    started = fleet_builders.plan_batch(scheduler).starts
    for name in _NAMES:
        scheduler.mark_unresponsive(name, 2.0)
    scheduler.release_expired_leases(30.0)
    others = tuple(f"j-{number}" for number in range(40))
    fleet_builders.add_instances(scheduler, *others, now=30.0)
    again = fleet_builders.plan_batch(scheduler, 31.0).starts
    assert {start.task for start in again} <= {start.task for start in started}
    assert again
    _assert_fits(*scheduler.tracker)


def test_many_large_documents_are_not_written_in_one_call():
    """Guards against a call that the store rejects for its size."""
    scheduler = _scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES, cpu=100_000)
    for number in range(45):
        scheduler.add_job(_wide_job(number + 1, count=400), 0.0)
    scheduler.plan(1.0, fleet_builders.WALL_MS)
    batches = []
    while scheduler.has_rows_to_write:
        batches.append(scheduler.take_batch(45))
    assert sum(len(batch.entries) for batch in batches) == 45
    assert len(batches) > 1
    for batch in batches:
        _assert_fits(*batch.entries)


def test_a_job_whose_progress_outgrows_its_row_fails_alone():
    """Guards against a fleet that stops for the checkpoints of one job."""
    emitted = []
    scheduler = _scheduler(emitted.append)
    fleet_builders.add_instances(scheduler, "i-1", cpu=100_000)
    scheduler.add_job(_wide_job(1, count=200), 0.0)
    scheduler.add_job(_wide_job(2, count=2), 0.0)
    large, small = scheduler.tracker
    fleet_builders.plan_batch(scheduler)
    for task in large.open_steps_by_key[0, 0].tasks:
        task.checkpoint = "c" * 500
    for entry in (large, small):
        document = entry.to_document()
        failed = scheduler.fail_if_too_large(entry, document, 2.0)
        assert failed is (entry is large)
    assert large.ended is jobs.JobState.FAILED
    assert small.ended is None
    _assert_fits(large, small)
    (event,) = [
        item for item in emitted if isinstance(item, events.RowTooLarge)
    ]
    assert event.size > event.limit


def test_a_batch_takes_one_document_however_large_it_is():
    tracker = job_tracker.JobTracker()
    entry = job_tracker.JobEntry(_wide_job(), 0.0)
    tracker.add(entry)
    tracker.mark_dirty(entry)
    assert tracker.take_dirty(45, max_bytes=1) == [entry]
    assert term_state.MAX_BATCH_DOCUMENT_BYTES < _CALL_BYTES


def test_a_job_whose_row_is_full_does_not_hold_up_others():
    """Guards against one wide job behind which no other job starts."""
    scheduler = _scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES)
    slow = jobs.Step(count=5_000, cpu=10, estimate_ms=10_000)
    scheduler.add_job(fleet_builders.job(1, (slow,)), 0.0)
    while fleet_builders.plan_batch(scheduler).starts:
        pass
    small = fleet_builders.job(2, (jobs.Step(count=2, cpu=100),))
    scheduler.add_job(small, 0.9)
    starts = fleet_builders.plan_batch(scheduler).starts
    assert {start.task.job_id for start in starts} == {small.job_id}
