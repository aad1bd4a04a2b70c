"""Instances that crash and restart under their id."""

import itertools

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

FIRST, SECOND, THIRD = 1_000, 2_000, 3_000
"""Start times of incarnations, in milliseconds since 1970."""

_LONG_RUNNING = jobs.Step(
    count=5, cpu=100, long_running=True, may_miss=2, anti_affinity=1
)
_NAMES = ("i-1", "i-2", "i-3", "i-4", "i-5")


def _registration(name, born_ms=FIRST, draining=False):
    return fleet.Registration(
        name,
        "berthing",
        "10.0.0.1:80",
        "zone-1",
        draining,
        fleet.Resources(4000, 32_000),
        ("a", "r1"),
        born_ms,
    )


def _report(
    scheduler, name, now, born_ms=FIRST, running=(), ended=(), asked=None
):
    """Sends a status report with the runs and the ends of an instance."""
    rows = tuple(fleet.RunStatus(task, run, "", 100.0) for task, run in running)
    report = fleet.StatusReport(now * 1000, rows, ended, born_ms)
    scheduler.handle_status_report(
        name, report, now if asked is None else asked, now
    )


def _keys(scheduler, name):
    return list(scheduler.instances[name].runs)


def _scheduler_with(*names, now=0.0):
    """Returns a scheduler with instances that have reported, and its events."""
    emitted = []
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emitted.append
    )
    scheduler.apply_config(fleet_builders.config())
    for name in names:
        scheduler.handle_registration(_registration(name), now)
        _report(scheduler, name, now)
    return scheduler, emitted


def _scheduler_with_serving_tasks(
    step=_LONG_RUNNING, spare=("i-6", "i-7", "i-8")
):
    """Returns a scheduler with a serving task on each of five instances."""
    scheduler, emitted = _scheduler_with(*_NAMES)
    job = fleet_builders.job(steps=(step,))
    scheduler.add_job(job, 0.0)
    for start in fleet_builders.plan_batch(scheduler).starts:
        scheduler.handle_start_accepted(start.instance, (start.task, start.run))
    _report_all_serving(scheduler, 2.0)
    for name in spare:
        scheduler.handle_registration(_registration(name), 2.0)
        _report(scheduler, name, 2.0)
    return scheduler, emitted


def _report_all_serving(scheduler, now, names=_NAMES):
    for name in names:
        _report(scheduler, name, now, running=_keys(scheduler, name))


def _changes(emitted, change):
    return [
        event
        for event in emitted
        if isinstance(event, events.InstanceChanged) and event.change == change
    ]


def _waiting_indices(scheduler):
    (entry,) = scheduler.tracker.unfinished.values()
    return {
        task.name.index
        for step in entry.open_steps_by_key.values()
        for task in step.waiting_tasks
    }


def test_tasks_of_a_restarted_instance_count_as_unavailable_at_once():
    """Otherwise four tasks of a job that allows two are unavailable at once.

    Two instances crash and restart under their ids, so their status reports are
    empty. If the reports pass for older than the starts, both tasks stay at 100
    percent and are not restarted, and a drain stops two more.
    """
    scheduler, emitted = _scheduler_with_serving_tasks()
    for name in ("i-1", "i-2"):
        _report(scheduler, name, 3.0, SECOND)
    assert not _keys(scheduler, "i-1")
    assert not _keys(scheduler, "i-2")
    for name in ("i-3", "i-4", "i-5"):
        scheduler.instances[name].is_cordoned = True
    evacuation.evacuate_instances(scheduler, 3.0)
    assert not scheduler.take_stops()
    starts = fleet_builders.plan_batch(scheduler, 3.1).starts
    assert len(starts) == 2
    restarted = _changes(emitted, "restarted")
    assert [event.runs for event in restarted] == [1, 1]
    assert str(FIRST) in restarted[0].why
    assert str(SECOND) in restarted[0].why


def test_a_registration_can_show_a_restart_before_any_status_report():
    scheduler, _ = _scheduler_with_serving_tasks()
    scheduler.handle_registration(_registration("i-1", SECOND), 3.0)
    assert not _keys(scheduler, "i-1")
    assert len(_waiting_indices(scheduler)) == 1
    assert not scheduler.instances["i-1"].is_schedulable(3.0), (
        "no status report yet"
    )
    _report(scheduler, "i-1", 3.1, SECOND)
    assert scheduler.instances["i-1"].is_schedulable(3.1)


@pytest.mark.parametrize("entry_first", [True, False])
def test_messages_of_the_former_incarnation_are_ignored(entry_first):
    """Otherwise a late report restores a run that is over: it runs twice."""
    scheduler, emitted = _scheduler_with_serving_tasks()
    previous = _keys(scheduler, "i-1")
    if entry_first:
        scheduler.handle_registration(_registration("i-1", SECOND), 3.0)
    else:
        _report(scheduler, "i-1", 3.0, SECOND)
    _report(scheduler, "i-1", 3.1, FIRST, running=previous, asked=2.9)
    scheduler.handle_registration(_registration("i-1", FIRST), 3.2)
    assert not _keys(scheduler, "i-1")
    assert len(_changes(emitted, "restarted")) == 1
    assert scheduler.instances["i-1"].registration.born_ms == (
        SECOND if entry_first else FIRST
    )
    _report(scheduler, "i-1", 3.3, SECOND)
    assert scheduler.instances["i-1"].is_schedulable(3.3)


def test_a_registration_that_lags_behind_status_reports_changes_nothing():
    scheduler, emitted = _scheduler_with_serving_tasks()
    _report(scheduler, "i-1", 3.0, SECOND)
    for seconds in range(5):
        scheduler.handle_registration(
            _registration("i-1", FIRST), 3.0 + seconds
        )
        _report(scheduler, "i-1", 3.5 + seconds, SECOND)
    assert len(_changes(emitted, "restarted")) == 1


def test_a_restart_is_detected_although_the_clock_was_set_back():
    """Otherwise tasks stall if the clock of their instance was set back.

    The start time of the new incarnation is then lower than the former one. A
    response to a call made after the last report can't be older than it.
    """
    scheduler, emitted = _scheduler_with_serving_tasks()
    _report(scheduler, "i-1", 3.0, FIRST - 500)
    assert not _keys(scheduler, "i-1")
    _report(scheduler, "i-1", 3.5, FIRST - 500)
    scheduler.handle_registration(_registration("i-1", FIRST - 500), 4.0)
    assert len(_changes(emitted, "restarted")) == 1
    assert scheduler.instances["i-1"].is_schedulable(4.0)


def test_a_registration_with_an_earlier_start_time_alone_is_no_restart():
    """Otherwise running tasks start twice if an old entry is written again."""
    scheduler, emitted = _scheduler_with_serving_tasks()
    scheduler.handle_registration(_registration("i-1", FIRST - 500), 3.0)
    assert len(_keys(scheduler, "i-1")) == 1
    assert not _changes(emitted, "restarted")


def test_instances_that_name_no_start_time_are_identified_by_their_id():
    scheduler, emitted = _scheduler_with_serving_tasks()
    _report(scheduler, "i-1", 3.0, None, running=_keys(scheduler, "i-1"))
    scheduler.handle_registration(_registration("i-1", None), 3.0)
    _report(scheduler, "i-1", 3.5, FIRST, running=_keys(scheduler, "i-1"))
    assert len(_keys(scheduler, "i-1")) == 1
    assert not _changes(emitted, "restarted")


def test_ends_of_a_new_incarnation_are_processed_despite_low_numbers():
    """Otherwise finished tasks run again.

    The new incarnation numbers its ends from 1. Ends up to the highest number
    known before the crash would be skipped.
    """
    scheduler, _ = _scheduler_with("i-1")
    done = fleet_builders.job(1, steps=(jobs.Step(count=3, cpu=100),))
    scheduler.add_job(done, 0.0)
    _end_all(
        scheduler,
        "i-1",
        fleet_builders.plan_batch(scheduler).starts,
        2.0,
        FIRST,
    )
    assert scheduler.instances["i-1"].last_end_number == 3
    _report(scheduler, "i-1", 3.0, SECOND)
    scheduler.add_job(fleet_builders.job(2), 3.0)
    _end_all(
        scheduler,
        "i-1",
        fleet_builders.plan_batch(scheduler, 3.1).starts,
        3.5,
        SECOND,
    )
    assert not scheduler.tracker.unfinished
    batch = scheduler.take_batch(10)
    assert batch.recorded_ends == {"i-1": 2}


def _end_all(scheduler, name, starts, now, born_ms):
    ends = tuple(
        fleet.RunEnd(number, start.task, start.run, fleet.RunOutcome.DONE, "")
        for number, start in enumerate(starts, 1)
    )
    for start in starts:
        scheduler.handle_start_accepted(name, (start.task, start.run))
    _report(scheduler, name, now, born_ms, ended=ends)


def test_ends_of_the_former_incarnation_are_not_acknowledged_to_the_new():
    """Otherwise a finished task runs again because its end is lost.

    The rows with the ends of the former incarnation are written after the
    restart. If their number is acknowledged to the new incarnation, it forgets
    ends that it has not listed yet.
    """
    scheduler, _ = _scheduler_with("i-1")
    scheduler.add_job(fleet_builders.job(), 0.0)
    _end_all(
        scheduler,
        "i-1",
        fleet_builders.plan_batch(scheduler).starts,
        2.0,
        FIRST,
    )
    batch = scheduler.take_batch(10)
    incarnation = scheduler.instances["i-1"].incarnation
    _report(scheduler, "i-1", 3.0, SECOND)
    assert batch.incarnations["i-1"] == incarnation
    assert scheduler.instances["i-1"].incarnation != incarnation
    means = instance_client.CallContext(scheduler, None, None, None, None)
    task = instance_client.InstanceClient(means, "i-1")
    task.mark_ends_recorded(
        batch.recorded_ends["i-1"], batch.incarnations["i-1"]
    )
    assert task.acknowledged_end(scheduler.instances["i-1"]) == 0
    task.mark_ends_recorded(1, scheduler.instances["i-1"].incarnation)
    assert task.acknowledged_end(scheduler.instances["i-1"]) == 1


def test_a_late_start_on_the_new_incarnation_is_reinstated():
    """Otherwise a task runs twice, once late and once where it was restarted.

    The start was accepted before the crash and no copy of it is pending, so the
    task waits again. If the run is listed later all the same, it continues
    unless another run has replaced it.
    """
    scheduler, emitted = _scheduler_with_serving_tasks(spare=())
    (key,) = _keys(scheduler, "i-1")
    _report(scheduler, "i-1", 3.0, SECOND)
    _report(scheduler, "i-1", 3.1, SECOND, running=[key])
    assert _keys(scheduler, "i-1") == [key]
    assert not fleet_builders.plan_batch(scheduler, 3.2).starts
    assert any(isinstance(event, events.RunTakenBack) for event in emitted)


def test_a_start_without_response_is_stopped_before_its_task_starts_again():
    """Otherwise a task runs twice after a crash in the middle of its start.

    A copy of the start got no response. The new incarnation knows no fencing
    token and could carry it out seconds later, while the task runs elsewhere.
    The instance has to accept a stop first.
    """
    scheduler, _ = _scheduler_with("i-1", "i-2")
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0
    )
    (start,) = fleet_builders.plan_batch(scheduler).starts
    key = (start.task, start.run)
    assert scheduler.handle_start_unanswered(start.instance, key, True, 1.2)
    scheduler.handle_start_accepted(start.instance, key)
    _report(scheduler, start.instance, 2.0, running=[key])
    _report(scheduler, start.instance, 3.0, SECOND)
    assert not fleet_builders.plan_batch(scheduler, 3.1).starts
    assert [stop.task for stop in scheduler.take_stops()] == [start.task]
    scheduler.handle_stop_accepted(start.instance, key, 3.2)
    _report(scheduler, start.instance, 3.5, SECOND)
    (again,) = fleet_builders.plan_batch(scheduler, 3.6).starts
    assert (again.task, again.run) == (start.task, start.run + 1)


_SERVICE = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)


def _leave_starts_unanswered(scheduler, starts, now):
    """Leaves starts without response and restarts their instances."""
    for start in starts:
        scheduler.handle_start_unanswered(
            start.instance, (start.task, start.run), True, now
        )
        _report(scheduler, start.instance, now + 0.1, SECOND)


def _stops_that_may_be_sent(scheduler, now):
    scheduler.resend_stops(now)
    return [
        stop
        for stop in scheduler.take_stops()
        if scheduler.may_send_stop(stop, now)
    ]


def test_tasks_wait_for_each_other_no_longer_than_a_start_may_be_late():
    """Otherwise a service stays down after all its instances restarted.

    None of its starts got a response, and each stop waits for the other tasks
    to serve.
    """
    scheduler, _ = _scheduler_with("i-1", "i-2", "i-3")
    scheduler.add_job(fleet_builders.job(steps=(_SERVICE,)), 0.0)
    _leave_starts_unanswered(
        scheduler, fleet_builders.plan_batch(scheduler).starts, 1.2
    )
    for now in range(2, 10):
        assert not _stops_that_may_be_sent(scheduler, now), (
            "a task may be serving by now"
        )
    now = 1.3 + instance_state.MAX_ORDER_DELAY_S
    for name in ("i-1", "i-2", "i-3"):
        _report(scheduler, name, now, SECOND)
    assert fleet_builders.plan_batch(scheduler, now).starts


def test_suspected_tasks_do_not_wait_for_one_that_is_being_stopped():
    """Otherwise a service stays down after its instances crashed twice.

    Its suspected tasks start one after the other. The start of the first one
    got no response before its instance restarted. Its stop waits for the others
    to serve, and they wait until the first one has worked.
    """
    scheduler, _ = _scheduler_with("i-1", "i-2", "i-3", "i-4")
    scheduler.add_job(fleet_builders.job(steps=(_SERVICE,)), 0.0)
    for start in fleet_builders.plan_batch(scheduler).starts:
        key = (start.task, start.run)
        scheduler.handle_start_accepted(start.instance, key, None, 1.1)
        _report(scheduler, start.instance, 1.15, running=[key])
        _report(scheduler, start.instance, 1.5, SECOND)
    (first,) = fleet_builders.plan_batch(scheduler, 2.1).starts
    scheduler.handle_start_unanswered(
        first.instance, (first.task, first.run), True, 2.3
    )
    _report(scheduler, first.instance, 2.4, THIRD)
    assert not _stops_that_may_be_sent(scheduler, 3.0)
    for now in (3.1, 3.8):
        (start,) = fleet_builders.plan_batch(scheduler, now).starts
        key = (start.task, start.run)
        assert start.instance != first.instance
        scheduler.handle_start_accepted(start.instance, key)
        for later in (now + 0.1, now + 0.5):
            _report(scheduler, start.instance, later, SECOND, running=[key])
    (stop,) = _stops_that_may_be_sent(scheduler, 4.4)
    assert (stop.task, stop.run) == (first.task, first.run)


def test_a_late_start_of_a_finished_run_is_stopped_on_the_new_incarnation():
    """Otherwise a finished task runs again seconds after a crash.

    One copy of its start got no response. The next copy was accepted, and the
    task finished. The new incarnation does not refuse the first copy as old.
    """
    scheduler, _ = _scheduler_with("i-1")
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0
    )
    starts = fleet_builders.plan_batch(scheduler).starts
    key = (starts[0].task, starts[0].run)
    scheduler.handle_start_unanswered("i-1", key, True, 1.2)
    _end_all(scheduler, "i-1", starts, 2.0, FIRST)
    scheduler.handle_registration(_registration("i-1", SECOND), 3.0)
    assert not scheduler.take_stops(), (
        "no status report yet, so it may be unreachable"
    )
    _report(scheduler, "i-1", 3.5, SECOND)
    assert [(stop.task, stop.run) for stop in scheduler.take_stops()] == [key]


def test_the_last_copy_of_a_start_says_how_late_one_may_arrive():
    """Guards against a late start that overcommits a restarted instance.

    A slow owner sends copies of a start for seconds. Each of them may be
    carried out ``MAX_ORDER_DELAY_S`` after it was sent, not after the decision.
    """
    scheduler, _ = _scheduler_with("i-1")
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0
    )
    starts = fleet_builders.plan_batch(scheduler).starts
    key = (starts[0].task, starts[0].run)
    for sent_at in (1.2, 4.0):
        scheduler.handle_start_unanswered("i-1", key, True, sent_at, sent_at)
    _end_all(scheduler, "i-1", starts, 5.0, FIRST)
    restarted_at = 4.0 + instance_state.MAX_ORDER_DELAY_S - 0.1
    _report(scheduler, "i-1", restarted_at, SECOND)
    assert [(stop.task, stop.run) for stop in scheduler.take_stops()] == [key]


def test_the_clock_in_a_response_shows_a_restart_before_a_report_does():
    """Otherwise a task runs twice after its instance crashed and was cut off.

    The instance restarts and accepts a start before the owner knows of the
    restart. The deadline in the start is on the former clock, so the run lasts
    longer than the owner expects.
    """
    scheduler, _ = _scheduler_with("i-1", now=50.0)
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 50.0
    )
    (start,) = fleet_builders.plan_batch(scheduler, 51.0).starts
    key = (start.task, start.run)
    scheduler.handle_start_accepted("i-1", key, 300.0, 51.1)
    assert not scheduler.instances["i-1"].is_schedulable(51.1)
    scheduler.mark_unresponsive("i-1", 53.0)
    scheduler.release_expired_leases(51.1 + 10.0)
    assert _keys(scheduler, "i-1") == [key]
    scheduler.release_expired_leases(51.1 + 11.0)
    assert not _keys(scheduler, "i-1")


def test_a_response_whose_clock_advances_shows_no_restart():
    scheduler, _ = _scheduler_with("i-1", now=50.0)
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 50.0
    )
    (start,) = fleet_builders.plan_batch(scheduler, 51.0).starts
    scheduler.handle_start_accepted(
        "i-1", (start.task, start.run), 50_980.0, 51.1
    )
    assert scheduler.instances["i-1"].is_schedulable(51.1)


def test_a_run_that_the_new_incarnation_accepted_continues():
    """Otherwise a gang breaks and starts again beside its former members.

    The instance restarted before the owner knew and accepted a start that was
    meant for the former incarnation. Its first status report lists the run.
    """
    scheduler, _ = _scheduler_with("i-1")
    gang = jobs.Step(count=2, cpu=100, gang=True)
    scheduler.add_job(fleet_builders.job(steps=(gang,)), 0.0)
    starts = fleet_builders.plan_batch(scheduler).starts
    for start in starts:
        scheduler.handle_start_accepted("i-1", (start.task, start.run))
    keys = _keys(scheduler, "i-1")
    _report(scheduler, "i-1", 2.0, SECOND, running=keys)
    assert _keys(scheduler, "i-1") == keys
    assert not scheduler.take_stops()
    assert not fleet_builders.plan_batch(scheduler, 2.1).starts


def test_a_start_decided_before_the_restart_is_not_sent_after_it():
    scheduler, _ = _scheduler_with("i-1")
    scheduler.add_job(
        fleet_builders.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0
    )
    scheduler.plan(1.0, fleet_builders.WALL_MS)
    (start,) = scheduler.take_batch(10).starts
    _report(scheduler, "i-1", 1.5, SECOND)
    assert not scheduler.may_send_start(start)
    assert len(fleet_builders.plan_batch(scheduler, 1.6).starts) == 1


def test_a_restart_resets_the_state_of_the_former_incarnation():
    scheduler, _ = _scheduler_with_serving_tasks()
    instance = scheduler.instances["i-1"]
    instance.suspended_until = 99.0
    instance.suspension_count = 3
    instance.consecutive_failed_jobs.add("a job")
    instance.relative_speed, instance.speed_samples, instance.is_straggler = (
        0.1,
        9,
        True,
    )
    scheduler.mark_unresponsive("i-1", 2.5)
    step = (fleet_builders.job().job_id, 0, 0)
    tickets = {"i-1": "ticket", "i-2": "ticket"}
    scheduler.tickets.record_answer(step, tuple(tickets), tickets, 2.5, 9.0)
    _report(scheduler, "i-1", 3.0, SECOND)
    assert instance.is_schedulable(3.0)
    assert (instance.suspension_count, instance.consecutive_failed_jobs) == (
        0,
        set(),
    )
    assert (
        instance.relative_speed,
        instance.speed_samples,
        instance.is_straggler,
    ) == (
        1.0,
        0,
        False,
    )
    assert scheduler.tickets.usable(step, 3.0) == {"i-2": "ticket"}
    assert instance.estimated_clock_ms(3.0) == 3000.0
    # Earlier calls may have given the new incarnation the longest lease.
    assert instance.lease_expires_at >= 3.0 + 10.0


@pytest.mark.parametrize(
    "state",
    [
        "is_cordoned",
        "is_maintenance_due",
        "is_released",
        "terminating",
        "draining",
        "distrusted",
    ],
)
def test_a_restart_in_any_state_requeues_the_tasks(state):
    scheduler, _ = _scheduler_with_serving_tasks()
    if state == "draining":
        scheduler.handle_registration(
            _registration("i-1", FIRST, draining=True), 2.5
        )
    elif state == "distrusted":
        scheduler.mark_registration_unreadable(
            "i-1", "its bytes can't be read", 2.5
        )
    elif state == "terminating":
        scheduler.begin_machine_order(
            scheduler.instances["i-1"], "maintenance", 2.5
        )
    else:
        setattr(scheduler.instances["i-1"], state, True)
    _report(scheduler, "i-1", 3.0, SECOND)
    assert not _keys(scheduler, "i-1")
    assert len(fleet_builders.plan_batch(scheduler, 3.1).starts) == 1


def test_a_rack_that_restarts_several_times_keeps_one_run_per_task():
    scheduler, emitted = _scheduler_with_serving_tasks()
    for number, now in enumerate((3.0, 4.0, 5.0)):
        for name in ("i-1", "i-2", "i-3"):
            _report(scheduler, name, now, SECOND + number)
        for start in fleet_builders.plan_batch(scheduler, now + 0.1).starts:
            scheduler.handle_start_accepted(
                start.instance, (start.task, start.run)
            )
        for name, instance in scheduler.instances.items():
            born_ms = instance.incarnations.current_ms
            _report(scheduler, name, now + 0.5, born_ms, _keys(scheduler, name))
        assert not scheduler.take_stops()
    assert len(_changes(emitted, "restarted")) == 9
    running = itertools.chain.from_iterable(
        instance.runs for instance in scheduler.instances.values()
    )
    assert sorted(task.index for task, _ in running) == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("entry_first", [True, False])
def test_a_new_owner_detects_a_restart_since_a_run_was_recorded(
    entry_first,
):
    """Otherwise tasks stall after a change of owner and a crash.

    The rows name runs on an instance that has restarted since.
    """
    previous, _ = _scheduler_with_serving_tasks(spare=())
    (entry,) = previous.tracker.unfinished.values()
    scheduler, _ = _scheduler_with("i-6", now=5.0)
    born_ms = SECOND if entry_first else FIRST
    scheduler.handle_registration(_registration("i-1", born_ms), 5.0)
    assert scheduler.restore(entry.job, entry.to_document(), 1, 5.0) is None
    scheduler.recover_runs(5.0, 19.0)
    _report(scheduler, "i-1", 5.1, SECOND)
    assert not _keys(scheduler, "i-1")
    assert (
        0 in _waiting_indices(scheduler)
        or len(_waiting_indices(scheduler)) == 1
    )


def test_a_restart_frees_the_capacity_of_runs_of_unread_jobs():
    """Otherwise an instance stays idle after a crash and a store outage."""
    scheduler, _ = _scheduler_with("i-1")
    task = jobs.TaskName(f"{7:016x}", 0, 0, 0)
    scheduler.unreadable_jobs = {task.job_id}
    _report(scheduler, "i-1", 2.0, running=[(task, 1)])
    assert scheduler.instances["i-1"].free_cpu == 0
    _report(scheduler, "i-1", 3.0, SECOND)
    assert scheduler.instances["i-1"].free_cpu == 4000
