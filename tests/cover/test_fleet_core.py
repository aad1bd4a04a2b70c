"""Decisions of the owner after single events."""

import pytest

from tests.common import fleets
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


def _end(
    batch, index: int, how: fleet.How, number: int = 1, saved: str = ""
) -> fleet.End:
    start = batch.starts[index]
    return fleet.End(number, start.task, start.run, how, saved)


def _finish(core, batch, how=fleet.How.DONE):
    numbers: dict[str, int] = {}
    for start in batch.starts:
        last = core.instances[start.instance].last_end
        number = numbers.get(start.instance, last) + 1
        numbers[start.instance] = number
        end = fleet.End(number, start.task, start.run, how, "")
        core.held(start.instance, fleets.held((end,)), 3.0, 3.0)


def test_tasks_start_only_after_the_steps_before_them():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    steps = (jobs.Step(count=1, cpu=100), jobs.Step(count=1, after=(0,)))
    core.job_added(fleets.job(steps=steps), 0.0)
    first = fleets.plan(core)
    assert [start.task.step for start in first.starts] == [0]
    _finish(core, first)
    second = fleets.plan(core)
    assert [start.task.step for start in second.starts] == [1]


def test_a_job_is_completed_when_its_last_task_is_done():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(), 0.0)
    _finish(core, fleets.plan(core))
    entry = core.book.get(fleets.job().job_id)
    assert entry.state is jobs.JobState.COMPLETED


def test_a_full_instance_gets_no_more_tasks():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=1500)
    core.job_added(fleets.job(), 0.0)
    assert len(fleets.plan(core).starts) == 1


def test_filler_tasks_reserve_memory_and_no_processors():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=1500)
    steps = (jobs.Step(count=3, cpu=1000, mem_mb=15_000, fills=True),)
    core.job_added(fleets.job(steps=steps), 0.0)
    assert len(fleets.plan(core).starts) == 2


def test_small_tasks_do_not_starve_a_long_running_one():
    """Guards against a long-running task that waits while small tasks arrive.

    The pool is full of small tasks, and each gap that one leaves is filled by
    the next one. The long-running task needs two such gaps on one instance.
    """
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    small = (jobs.Step(count=8, cpu=1000),)
    core.job_added(fleets.job(1, steps=small), 0.0)
    first = fleets.plan(core)
    assert len(first.starts) == 8
    long_running = (jobs.Step(count=1, cpu=2000, long_running=True),)
    core.job_added(fleets.job(2, steps=long_running), 1.0)
    core.job_added(fleets.job(3, steps=small), 1.0)
    started = []
    for number, index in enumerate((0, 4, 1), 1):
        end = _end(first, index, fleet.How.DONE, number)
        core.held(first.starts[index].instance, fleets.held((end,)), 2.0, 2.0)
        started += fleets.plan(core).starts
    assert any(start.task.job_id == fleets.job(2).job_id for start in started)
    assert any(start.task.job_id == fleets.job(3).job_id for start in started)


def test_capacity_without_short_tasks_counts_needs_of_long_running_ones():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=4000)
    long_running = jobs.Step(count=1, cpu=3000, long_running=True)
    short = jobs.Step(count=1, cpu=1000)
    core.job_added(fleets.job(1, steps=(long_running,)), 0.0)
    core.job_added(fleets.job(2, steps=(short,)), 0.0)
    fleets.plan(core)
    instance = core.instances["i-1"]
    other = jobs.TaskName(fleets.job(3).job_id, 0, 0, 0)

    def could_fit(step):
        return instance.makes_room(step, other, books.need(step), 1.0)

    assert not instance.free_cpu
    assert could_fit(jobs.Step(count=1, cpu=1000, long_running=True))
    assert not could_fit(jobs.Step(count=1, cpu=1001, long_running=True))
    # Filler tasks reserve no processors, whatever they request.
    assert could_fit(
        jobs.Step(count=1, cpu=3000, long_running=True, fills=True)
    )


def test_a_gang_starts_as_a_whole_or_not_at_all():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=1500)
    steps = (jobs.Step(count=2, cpu=1000, gang=True),)
    core.job_added(fleets.job(steps=steps), 0.0)
    assert not fleets.plan(core).starts
    fleets.adopt(core, "i-2", cpu=1500)
    started = fleets.plan(core).starts
    assert len(started) == 2
    assert {start.run for start in started} == {1}


def test_a_gang_is_done_when_one_member_is_done():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    steps = (jobs.Step(count=2, cpu=1000, gang=True),)
    core.job_added(fleets.job(steps=steps), 0.0)
    batch = fleets.plan(core)
    end = _end(batch, 0, fleet.How.DONE)
    core.held("i-1", fleets.held((end,)), 3.0, 3.0)
    entry = core.book.get(fleets.job().job_id)
    assert entry.state is jobs.JobState.COMPLETED


def test_a_job_fails_after_as_many_failed_runs_as_its_queue_allows():
    core = fleets.new_core(attempts=2)
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(jobs.Step(count=1),)), 0.0)
    _finish(core, fleets.plan(core), fleet.How.FAILED)
    entry = core.book.get(fleets.job().job_id)
    assert entry.state is jobs.JobState.RUNNING
    second = fleets.plan(core)
    _finish(core, second, fleet.How.FAILED)
    assert entry.state is jobs.JobState.FAILED
    assert not fleets.plan(core).starts


def test_a_task_that_failed_is_tried_on_another_instance():
    core = fleets.new_core(attempts=3)
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(jobs.Step(count=1),)), 0.0)
    first = fleets.plan(core)
    _finish(core, first, fleet.How.FAILED)
    second = fleets.plan(core)
    assert second.starts[0].instance != first.starts[0].instance
    assert second.starts[0].run == 2


def test_long_running_tasks_run_again_however_they_end():
    core = fleets.new_core(attempts=1)
    fleets.adopt(core, "i-1")
    steps = (jobs.Step(count=1, long_running=True),)
    core.job_added(fleets.job(steps=steps), 0.0)
    for how in (fleet.How.FAILED, fleet.How.DONE, fleet.How.LAPSED):
        batch = fleets.plan(core)
        assert len(batch.starts) == 1
        _finish(core, batch, how)


def test_a_stopped_task_resumes_from_its_checkpoint():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    steps = (jobs.Step(count=1, checkpointable=True),)
    core.job_added(fleets.job(steps=steps), 0.0)
    batch = fleets.plan(core)
    end = _end(batch, 0, fleet.How.STOPPED, saved="abc")
    core.held("i-1", fleets.held((end,)), 3.0, 3.0)
    assert fleets.plan(core).starts[0].saved == "abc"


def test_an_occurrence_waits_for_its_due_time():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    job = fleets.job(
        steps=(jobs.Step(count=1),),
        repeat_count=2,
        first_run_ms=fleets.WALL_MS + 5000,
        interval_ms=1000,
    )
    core.job_added(job, 0.0)
    assert not fleets.plan(core, now=4.9).starts
    assert len(fleets.plan(core, now=5.0).starts) == 1
    assert len(fleets.plan(core, now=6.0).starts) == 1


def test_a_cancelled_job_is_stopped_and_starts_nothing():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=1000)
    core.job_added(fleets.job(), 0.0)
    batch = fleets.plan(core)
    core.cancelled(fleets.job().job_id, 2.0)
    stops = core.take_stops()
    assert [stop.task for stop in stops] == [batch.starts[0].task]
    assert not core.may_send(batch.starts[0])
    assert not fleets.plan(core).starts


def test_an_instance_on_which_several_jobs_fail_in_a_row_is_suspended():
    core = fleets.new_core(attempts=9)
    fleets.adopt(core, "i-1", "i-2")
    for number in range(1, 4):
        core.job_added(fleets.job(number, (jobs.Step(count=1),)), 0.0)
    instance = core.instances["i-1"]
    numbers = iter(range(1, 99))
    batch = fleets.plan(core)
    for start in batch.starts:
        end = fleet.End(
            next(numbers), start.task, start.run, fleet.How.FAILED, ""
        )
        core.held(start.instance, fleets.held((end,)), 3.0, 3.0)
    assert batch.starts[0].instance == "i-1"
    assert not instance.usable(3.1)
    assert instance.usable(60.0)


def test_a_single_job_that_always_fails_suspends_no_instance():
    core = fleets.new_core(attempts=99)
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(jobs.Step(count=1),)), 0.0)
    for _ in range(6):
        _finish(core, fleets.plan(core), fleet.How.FAILED)
    assert core.instances["i-1"].usable(3.1)


def test_starts_on_an_advised_queue_wait_for_tickets():
    core = fleets.new_core()
    core.configured(fleets.config(advice=fleet.Advice(10, 1, 3000)))
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(jobs.Step(count=1),)), 0.0)
    assert not fleets.plan(core).starts
    step = core.ready_steps(fleets.moment())["berthing"][0]
    core.advised(step, {"i-2": "ticket"}, until=5.0)
    start = fleets.plan(core).starts[0]
    assert (start.instance, start.ticket) == ("i-2", "ticket")


def test_jobs_of_a_queue_that_moved_run_in_its_new_pool():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(service="elsewhere"), 0.0)
    assert len(fleets.plan(core).starts) == 2


def test_pending_counts_jobs_without_any_started_task():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", cpu=2000)
    core.job_added(fleets.job(1), 0.0)
    core.job_added(fleets.job(2), 0.5)
    scheduled = fleets.job(3, repeat_count=1, first_run_ms=fleets.WALL_MS * 2)
    core.job_added(scheduled, 0.5)
    batch = fleets.plan(core)
    assert core.book.pending("quotes") == 2
    fleets.run_all(core, batch)
    assert core.book.pending("quotes") == 1


@pytest.mark.parametrize("order", queue_order.ORDERS.names)
def test_every_order_puts_long_running_tasks_first(order):
    rank = queue_order.ORDERS.get(order)
    long_running = books.Entry(
        fleets.job(1, (jobs.Step(count=1, long_running=True),)), 0.0
    )
    short = books.Entry(fleets.job(2), 0.0)
    queue = fleets.config().queues[0]
    keys = [
        rank(
            next(iter(entry.open_steps(fleets.WALL_MS))),
            queue,
            fleets.moment(),
        )
        for entry in (long_running, short)
    ]
    assert keys[0] < keys[1]


def test_jobs_that_can_meet_their_objective_go_before_others():
    rank = queue_order.ORDERS.get("slack")
    queue = fleets.config().queues[0]
    steps = (jobs.Step(count=1, estimate_ms=1000),)
    old = books.Entry(fleets.job(1, steps), 0.0)
    new = books.Entry(fleets.job(2, steps), 5.0)
    moment = fleets.moment(5.0)
    keys = [
        rank(next(iter(entry.open_steps(moment.wall_ms))), queue, moment)
        for entry in (old, new)
    ]
    assert keys[1] < keys[0]


def test_unpack_restores_the_state_that_pack_returned():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    steps = (jobs.Step(count=3, cpu=1000), jobs.Step(count=1, after=(0,)))
    core.job_added(fleets.job(steps=steps), 0.0)
    batch = fleets.plan(core)
    core.held("i-1", fleets.held((_end(batch, 0, fleet.How.DONE),)), 3.0, 3.0)
    entry = core.book.get(fleets.job().job_id)
    restored = books.Entry(entry.job, 0.0)
    restored.unpack(entry.pack())
    assert restored.pack() == entry.pack()
    assert restored.state is entry.state
