"""Decisions of the owner after single events."""

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


def _end(
    batch, index: int, how: fleet.RunOutcome, number: int = 1, saved: str = ""
) -> fleet.RunEnd:
    start = batch.starts[index]
    return fleet.RunEnd(number, start.task, start.run, how, saved)


def _finish(scheduler, batch, how=fleet.RunOutcome.DONE):
    numbers: dict[str, int] = {}
    for start in batch.starts:
        last = scheduler.instances[start.instance].last_end_number
        number = numbers.get(start.instance, last) + 1
        numbers[start.instance] = number
        end = fleet.RunEnd(number, start.task, start.run, how, "")
        scheduler.handle_status_report(
            start.instance, fleet_builders.status_report((end,)), 3.0, 3.0
        )


def test_tasks_start_only_after_the_steps_before_them():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    steps = (jobs.Step(count=1, cpu=100), jobs.Step(count=1, after=(0,)))
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    first = fleet_builders.plan_batch(scheduler)
    assert [start.task.step for start in first.starts] == [0]
    _finish(scheduler, first)
    second = fleet_builders.plan_batch(scheduler)
    assert [start.task.step for start in second.starts] == [1]


def test_a_job_is_completed_when_its_last_task_is_done():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(), 0.0)
    _finish(scheduler, fleet_builders.plan_batch(scheduler))
    entry = scheduler.tracker.get(fleet_builders.job().job_id)
    assert entry.state is jobs.JobState.COMPLETED


def test_a_full_instance_gets_no_more_tasks():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=1500)
    scheduler.add_job(fleet_builders.job(), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 1


def test_filler_tasks_reserve_memory_and_no_processors():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=1500)
    steps = (jobs.Step(count=3, cpu=1000, mem_mb=15_000, fills=True),)
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 2


def test_small_tasks_do_not_starve_a_long_running_one():
    """Guards against a long-running task that waits while small tasks arrive.

    The pool is full of small tasks, and each gap that one leaves is filled by
    the next one. The long-running task needs two such gaps on one instance.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    small = (jobs.Step(count=8, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, steps=small), 0.0)
    first = fleet_builders.plan_batch(scheduler)
    assert len(first.starts) == 8
    long_running = (jobs.Step(count=1, cpu=2000, long_running=True),)
    scheduler.add_job(fleet_builders.job(2, steps=long_running), 1.0)
    scheduler.add_job(fleet_builders.job(3, steps=small), 1.0)
    started = []
    for number, index in enumerate((0, 4, 1), 1):
        end = _end(first, index, fleet.RunOutcome.DONE, number)
        scheduler.handle_status_report(
            first.starts[index].instance,
            fleet_builders.status_report((end,)),
            2.0,
            2.0,
        )
        started += fleet_builders.plan_batch(scheduler).starts
    assert any(
        start.task.job_id == fleet_builders.job(2).job_id for start in started
    )
    assert any(
        start.task.job_id == fleet_builders.job(3).job_id for start in started
    )


def test_capacity_without_short_tasks_counts_needs_of_long_running_ones():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=4000)
    long_running = jobs.Step(count=1, cpu=3000, long_running=True)
    short = jobs.Step(count=1, cpu=1000)
    scheduler.add_job(fleet_builders.job(1, steps=(long_running,)), 0.0)
    scheduler.add_job(fleet_builders.job(2, steps=(short,)), 0.0)
    fleet_builders.plan_batch(scheduler)
    instance = scheduler.instances["i-1"]
    other = jobs.TaskName(fleet_builders.job(3).job_id, 0, 0, 0)

    def could_fit(step):
        return instance.fits_beside_long_running_tasks(
            step, other, open_steps.task_demand(step), 1.0
        )

    assert not instance.free_cpu
    assert could_fit(jobs.Step(count=1, cpu=1000, long_running=True))
    assert not could_fit(jobs.Step(count=1, cpu=1001, long_running=True))
    # Filler tasks reserve no processors, whatever they request.
    assert could_fit(
        jobs.Step(count=1, cpu=3000, long_running=True, fills=True)
    )


def test_a_gang_starts_as_a_whole_or_not_at_all():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=1500)
    steps = (jobs.Step(count=2, cpu=1000, gang=True),)
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    assert not fleet_builders.plan_batch(scheduler).starts
    fleet_builders.add_instances(scheduler, "i-2", cpu=1500)
    started = fleet_builders.plan_batch(scheduler).starts
    assert len(started) == 2
    assert {start.run for start in started} == {1}


def test_a_gang_is_done_when_one_member_is_done():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    steps = (jobs.Step(count=2, cpu=1000, gang=True),)
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    end = _end(batch, 0, fleet.RunOutcome.DONE)
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((end,)), 3.0, 3.0
    )
    entry = scheduler.tracker.get(fleet_builders.job().job_id)
    assert entry.state is jobs.JobState.COMPLETED


def test_a_job_fails_after_as_many_failed_runs_as_its_queue_allows():
    scheduler = fleet_builders.new_scheduler(attempts=2)
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    _finish(
        scheduler, fleet_builders.plan_batch(scheduler), fleet.RunOutcome.FAILED
    )
    entry = scheduler.tracker.get(fleet_builders.job().job_id)
    assert entry.state is jobs.JobState.RUNNING
    second = fleet_builders.plan_batch(scheduler)
    _finish(scheduler, second, fleet.RunOutcome.FAILED)
    assert entry.state is jobs.JobState.FAILED
    assert not fleet_builders.plan_batch(scheduler).starts


def test_a_task_that_failed_is_tried_on_another_instance():
    scheduler = fleet_builders.new_scheduler(attempts=3)
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    first = fleet_builders.plan_batch(scheduler)
    _finish(scheduler, first, fleet.RunOutcome.FAILED)
    second = fleet_builders.plan_batch(scheduler)
    assert second.starts[0].instance != first.starts[0].instance
    assert second.starts[0].run == 2


def test_long_running_tasks_run_again_however_they_end():
    scheduler = fleet_builders.new_scheduler(attempts=1)
    fleet_builders.add_instances(scheduler, "i-1")
    steps = (jobs.Step(count=1, long_running=True),)
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    for how in (
        fleet.RunOutcome.FAILED,
        fleet.RunOutcome.DONE,
        fleet.RunOutcome.LEASE_EXPIRED,
    ):
        batch = fleet_builders.plan_batch(scheduler)
        assert len(batch.starts) == 1
        _finish(scheduler, batch, how)


def test_a_stopped_task_resumes_from_its_checkpoint():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    steps = (jobs.Step(count=1, checkpointable=True),)
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    end = _end(batch, 0, fleet.RunOutcome.STOPPED, saved="abc")
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((end,)), 3.0, 3.0
    )
    assert fleet_builders.plan_batch(scheduler).starts[0].checkpoint == "abc"


def test_an_occurrence_waits_for_its_due_time():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    job = fleet_builders.job(
        steps=(jobs.Step(count=1),),
        repeat_count=2,
        first_run_ms=fleet_builders.WALL_MS + 5000,
        interval_ms=1000,
    )
    scheduler.add_job(job, 0.0)
    assert not fleet_builders.plan_batch(scheduler, now=4.9).starts
    assert len(fleet_builders.plan_batch(scheduler, now=5.0).starts) == 1
    assert len(fleet_builders.plan_batch(scheduler, now=6.0).starts) == 1


def test_a_cancelled_job_is_stopped_and_starts_nothing():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=1000)
    scheduler.add_job(fleet_builders.job(), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    scheduler.cancel_job(fleet_builders.job().job_id, 2.0)
    stops = scheduler.take_stops()
    assert [stop.task for stop in stops] == [batch.starts[0].task]
    assert not scheduler.may_send_start(batch.starts[0])
    assert not fleet_builders.plan_batch(scheduler).starts


def test_an_instance_on_which_several_jobs_fail_in_a_row_is_suspended():
    scheduler = fleet_builders.new_scheduler(attempts=9)
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    for number in range(1, 4):
        scheduler.add_job(
            fleet_builders.job(number, (jobs.Step(count=1),)), 0.0
        )
    instance = scheduler.instances["i-1"]
    numbers = iter(range(1, 99))
    batch = fleet_builders.plan_batch(scheduler)
    for start in batch.starts:
        end = fleet.RunEnd(
            next(numbers), start.task, start.run, fleet.RunOutcome.FAILED, ""
        )
        scheduler.handle_status_report(
            start.instance, fleet_builders.status_report((end,)), 3.0, 3.0
        )
    assert batch.starts[0].instance == "i-1"
    assert not instance.is_schedulable(3.1)
    assert instance.is_schedulable(60.0)


def test_a_single_job_that_always_fails_suspends_no_instance():
    scheduler = fleet_builders.new_scheduler(attempts=99)
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    for _ in range(6):
        _finish(
            scheduler,
            fleet_builders.plan_batch(scheduler),
            fleet.RunOutcome.FAILED,
        )
    assert scheduler.instances["i-1"].is_schedulable(3.1)


def test_starts_on_an_advised_queue_wait_for_tickets():
    scheduler = fleet_builders.new_scheduler()
    scheduler.apply_config(
        fleet_builders.config(advice=fleet.AdvisorConfig(10, 1, 3000))
    )
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    assert not fleet_builders.plan_batch(scheduler).starts
    step = scheduler.ready_steps(fleet_builders.moment())["berthing"][0]
    scheduler.record_advice(
        step, ("i-1", "i-2"), {"i-2": "ticket"}, now=0.0, validity_s=5.0
    )
    start = fleet_builders.plan_batch(scheduler).starts[0]
    assert (start.instance, start.ticket) == ("i-2", "ticket")


def test_jobs_of_a_queue_that_moved_run_in_its_new_pool():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(service="elsewhere"), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 2


def test_pending_counts_jobs_without_any_started_task():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", cpu=2000)
    scheduler.add_job(fleet_builders.job(1), 0.0)
    scheduler.add_job(fleet_builders.job(2), 0.5)
    scheduled = fleet_builders.job(
        3, repeat_count=1, first_run_ms=fleet_builders.WALL_MS * 2
    )
    scheduler.add_job(scheduled, 0.5)
    batch = fleet_builders.plan_batch(scheduler)
    assert scheduler.tracker.count_pending("quotes") == 2
    fleet_builders.accept_starts(scheduler, batch)
    assert scheduler.tracker.count_pending("quotes") == 1


@pytest.mark.parametrize("order", queue_order.ORDERS.names)
def test_every_order_puts_long_running_tasks_first(order):
    rank = queue_order.ORDERS.get(order)
    long_running = job_tracker.JobEntry(
        fleet_builders.job(1, (jobs.Step(count=1, long_running=True),)), 0.0
    )
    short = job_tracker.JobEntry(fleet_builders.job(2), 0.0)
    queue = fleet_builders.config().queues[0]
    keys = [
        rank(
            next(iter(entry.open_due_steps(fleet_builders.WALL_MS))),
            queue,
            fleet_builders.moment(),
        )
        for entry in (long_running, short)
    ]
    assert keys[0] < keys[1]


def test_jobs_that_can_meet_their_objective_go_before_others():
    rank = queue_order.ORDERS.get("slack")
    queue = fleet_builders.config().queues[0]
    steps = (jobs.Step(count=1, estimate_ms=1000),)
    old = job_tracker.JobEntry(fleet_builders.job(1, steps), 0.0)
    new = job_tracker.JobEntry(fleet_builders.job(2, steps), 5.0)
    moment = fleet_builders.moment(5.0)
    keys = [
        rank(next(iter(entry.open_due_steps(moment.wall_ms))), queue, moment)
        for entry in (old, new)
    ]
    assert keys[1] < keys[0]


def test_unpack_restores_the_state_that_pack_returned():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    steps = (jobs.Step(count=3, cpu=1000), jobs.Step(count=1, after=(0,)))
    scheduler.add_job(fleet_builders.job(steps=steps), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    scheduler.handle_status_report(
        "i-1",
        fleet_builders.status_report((_end(batch, 0, fleet.RunOutcome.DONE),)),
        3.0,
        3.0,
    )
    entry = scheduler.tracker.get(fleet_builders.job().job_id)
    restored = job_tracker.JobEntry(entry.job, 0.0)
    restored.load_document(entry.to_document())
    assert restored.to_document() == entry.to_document()
    assert restored.state is entry.state
