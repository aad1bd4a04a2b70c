"""Instances that crash and restart under their id."""

import itertools

import pytest

from tests.common import fleets
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import rooms
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


def _report(core, name, now, born_ms=FIRST, running=(), ended=(), asked=None):
    """Sends a status report with the runs and the ends of an instance."""
    rows = tuple(fleet.Running(task, run, "", 100.0) for task, run in running)
    report = fleet.Held(now * 1000, rows, ended, born_ms)
    core.held(name, report, now if asked is None else asked, now)


def _keys(core, name):
    return list(core.instances[name].runs)


def _core_with(*names, now=0.0):
    """Returns a core with instances that have reported, and its events."""
    emitted = []
    core = cores.Core(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), emitted.append
    )
    core.configured(fleets.config())
    for name in names:
        core.registered(_registration(name), now)
        _report(core, name, now)
    return core, emitted


def _core_with_serving_tasks(step=_LONG_RUNNING, spare=("i-6", "i-7", "i-8")):
    """Returns a core with a serving task on each of five instances."""
    core, emitted = _core_with(*_NAMES)
    job = fleets.job(steps=(step,))
    core.job_added(job, 0.0)
    for start in fleets.plan(core).starts:
        core.started(start.instance, (start.task, start.run))
    _report_all_serving(core, 2.0)
    for name in spare:
        core.registered(_registration(name), 2.0)
        _report(core, name, 2.0)
    return core, emitted


def _report_all_serving(core, now, names=_NAMES):
    for name in names:
        _report(core, name, now, running=_keys(core, name))


def _changes(emitted, change):
    return [
        event
        for event in emitted
        if isinstance(event, events.InstanceChanged) and event.change == change
    ]


def _waiting_indices(core):
    (entry,) = core.book.live.values()
    return {
        task.name.index for step in entry.open.values() for task in step.waiting
    }


def test_tasks_of_a_restarted_instance_count_as_unavailable_at_once():
    """Otherwise four tasks of a job that allows two are unavailable at once.

    Two instances crash and restart under their ids, so their status reports are
    empty. If the reports pass for older than the starts, both tasks stay at 100
    percent and are not restarted, and a drain stops two more.
    """
    core, emitted = _core_with_serving_tasks()
    for name in ("i-1", "i-2"):
        _report(core, name, 3.0, SECOND)
    assert not _keys(core, "i-1")
    assert not _keys(core, "i-2")
    for name in ("i-3", "i-4", "i-5"):
        core.instances[name].cordoned = True
    evacuation.evacuate_all(core, 3.0)
    assert not core.take_stops()
    starts = fleets.plan(core, 3.1).starts
    assert len(starts) == 2
    restarted = _changes(emitted, "restarted")
    assert [event.runs for event in restarted] == [1, 1]
    assert str(FIRST) in restarted[0].why
    assert str(SECOND) in restarted[0].why


def test_a_registration_can_show_a_restart_before_any_status_report():
    core, _ = _core_with_serving_tasks()
    core.registered(_registration("i-1", SECOND), 3.0)
    assert not _keys(core, "i-1")
    assert len(_waiting_indices(core)) == 1
    assert not core.instances["i-1"].usable(3.0), "no status report yet"
    _report(core, "i-1", 3.1, SECOND)
    assert core.instances["i-1"].usable(3.1)


@pytest.mark.parametrize("entry_first", [True, False])
def test_messages_of_the_former_incarnation_are_ignored(entry_first):
    """Otherwise a late report restores a run that is over: it runs twice."""
    core, emitted = _core_with_serving_tasks()
    previous = _keys(core, "i-1")
    if entry_first:
        core.registered(_registration("i-1", SECOND), 3.0)
    else:
        _report(core, "i-1", 3.0, SECOND)
    _report(core, "i-1", 3.1, FIRST, running=previous, asked=2.9)
    core.registered(_registration("i-1", FIRST), 3.2)
    assert not _keys(core, "i-1")
    assert len(_changes(emitted, "restarted")) == 1
    assert core.instances["i-1"].registration.born_ms == (
        SECOND if entry_first else FIRST
    )
    _report(core, "i-1", 3.3, SECOND)
    assert core.instances["i-1"].usable(3.3)


def test_a_registration_that_lags_behind_status_reports_changes_nothing():
    core, emitted = _core_with_serving_tasks()
    _report(core, "i-1", 3.0, SECOND)
    for seconds in range(5):
        core.registered(_registration("i-1", FIRST), 3.0 + seconds)
        _report(core, "i-1", 3.5 + seconds, SECOND)
    assert len(_changes(emitted, "restarted")) == 1


def test_a_restart_is_detected_although_the_clock_was_set_back():
    """Otherwise tasks stall if the clock of their instance was set back.

    The start time of the new incarnation is then lower than the former one. A
    response to a call made after the last report can't be older than it.
    """
    core, emitted = _core_with_serving_tasks()
    _report(core, "i-1", 3.0, FIRST - 500)
    assert not _keys(core, "i-1")
    _report(core, "i-1", 3.5, FIRST - 500)
    core.registered(_registration("i-1", FIRST - 500), 4.0)
    assert len(_changes(emitted, "restarted")) == 1
    assert core.instances["i-1"].usable(4.0)


def test_a_registration_with_an_earlier_start_time_alone_is_no_restart():
    """Otherwise running tasks start twice if an old entry is written again."""
    core, emitted = _core_with_serving_tasks()
    core.registered(_registration("i-1", FIRST - 500), 3.0)
    assert len(_keys(core, "i-1")) == 1
    assert not _changes(emitted, "restarted")


def test_instances_that_name_no_start_time_are_identified_by_their_id():
    core, emitted = _core_with_serving_tasks()
    _report(core, "i-1", 3.0, None, running=_keys(core, "i-1"))
    core.registered(_registration("i-1", None), 3.0)
    _report(core, "i-1", 3.5, FIRST, running=_keys(core, "i-1"))
    assert len(_keys(core, "i-1")) == 1
    assert not _changes(emitted, "restarted")


def test_ends_of_a_new_incarnation_are_processed_despite_low_numbers():
    """Otherwise finished tasks run again.

    The new incarnation numbers its ends from 1. Ends up to the highest number
    known before the crash would be skipped.
    """
    core, _ = _core_with("i-1")
    done = fleets.job(1, steps=(jobs.Step(count=3, cpu=100),))
    core.job_added(done, 0.0)
    _end_all(core, "i-1", fleets.plan(core).starts, 2.0, FIRST)
    assert core.instances["i-1"].last_end == 3
    _report(core, "i-1", 3.0, SECOND)
    core.job_added(fleets.job(2), 3.0)
    _end_all(core, "i-1", fleets.plan(core, 3.1).starts, 3.5, SECOND)
    assert not core.book.live
    batch = core.take_batch(10)
    assert batch.seen == {"i-1": 2}


def _end_all(core, name, starts, now, born_ms):
    ends = tuple(
        fleet.End(number, start.task, start.run, fleet.How.DONE, "")
        for number, start in enumerate(starts, 1)
    )
    for start in starts:
        core.started(name, (start.task, start.run))
    _report(core, name, now, born_ms, ended=ends)


def test_ends_of_the_former_incarnation_are_not_acknowledged_to_the_new():
    """Otherwise a finished task runs again because its end is lost.

    The rows with the ends of the former incarnation are written after the
    restart. If their number is acknowledged to the new incarnation, it forgets
    ends that it has not listed yet.
    """
    core, _ = _core_with("i-1")
    core.job_added(fleets.job(), 0.0)
    _end_all(core, "i-1", fleets.plan(core).starts, 2.0, FIRST)
    batch = core.take_batch(10)
    incarnation = core.instances["i-1"].life
    _report(core, "i-1", 3.0, SECOND)
    assert batch.lives["i-1"] == incarnation
    assert core.instances["i-1"].life != incarnation
    means = instance_task.Means(core, None, None, None, None)
    task = instance_task.InstanceTask(means, "i-1")
    task.recorded(batch.seen["i-1"], batch.lives["i-1"])
    assert task.acknowledged(core.instances["i-1"]) == 0
    task.recorded(1, core.instances["i-1"].life)
    assert task.acknowledged(core.instances["i-1"]) == 1


def test_a_late_start_on_the_new_incarnation_is_reinstated():
    """Otherwise a task runs twice, once late and once where it was restarted.

    The start was accepted before the crash and no copy of it is pending, so the
    task waits again. If the run is listed later all the same, it continues
    unless another run has replaced it.
    """
    core, emitted = _core_with_serving_tasks(spare=())
    (key,) = _keys(core, "i-1")
    _report(core, "i-1", 3.0, SECOND)
    _report(core, "i-1", 3.1, SECOND, running=[key])
    assert _keys(core, "i-1") == [key]
    assert not fleets.plan(core, 3.2).starts
    assert any(isinstance(event, events.RunTakenBack) for event in emitted)


def test_a_start_without_response_is_stopped_before_its_task_starts_again():
    """Otherwise a task runs twice after a crash in the middle of its start.

    A copy of the start got no response. The new incarnation knows no fencing
    token and could carry it out seconds later, while the task runs elsewhere.
    The instance has to accept a stop first.
    """
    core, _ = _core_with("i-1", "i-2")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    (start,) = fleets.plan(core).starts
    key = (start.task, start.run)
    assert core.start_unanswered(start.instance, key, True, 1.2)
    core.started(start.instance, key)
    _report(core, start.instance, 2.0, running=[key])
    _report(core, start.instance, 3.0, SECOND)
    assert not fleets.plan(core, 3.1).starts
    assert [stop.task for stop in core.take_stops()] == [start.task]
    core.stopped(start.instance, key, 3.2)
    _report(core, start.instance, 3.5, SECOND)
    (again,) = fleets.plan(core, 3.6).starts
    assert (again.task, again.run) == (start.task, start.run + 1)


_SERVICE = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)


def _leave_starts_unanswered(core, starts, now):
    """Leaves starts without response and restarts their instances."""
    for start in starts:
        core.start_unanswered(
            start.instance, (start.task, start.run), True, now
        )
        _report(core, start.instance, now + 0.1, SECOND)


def _stops_that_may_be_sent(core, now):
    core.stop_again(now)
    return [stop for stop in core.take_stops() if core.may_send_stop(stop, now)]


def test_tasks_wait_for_each_other_no_longer_than_a_start_may_be_late():
    """Otherwise a service stays down after all its instances restarted.

    None of its starts got a response, and each stop waits for the other tasks
    to serve.
    """
    core, _ = _core_with("i-1", "i-2", "i-3")
    core.job_added(fleets.job(steps=(_SERVICE,)), 0.0)
    _leave_starts_unanswered(core, fleets.plan(core).starts, 1.2)
    for now in range(2, 10):
        assert not _stops_that_may_be_sent(core, now), (
            "a task may be serving by now"
        )
    now = 1.3 + rooms.LATE_S
    for name in ("i-1", "i-2", "i-3"):
        _report(core, name, now, SECOND)
    assert fleets.plan(core, now).starts


def test_suspected_tasks_do_not_wait_for_one_that_is_being_stopped():
    """Otherwise a service stays down after its instances crashed twice.

    Its suspected tasks start one after the other. The start of the first one
    got no response before its instance restarted. Its stop waits for the others
    to serve, and they wait until the first one has worked.
    """
    core, _ = _core_with("i-1", "i-2", "i-3", "i-4")
    core.job_added(fleets.job(steps=(_SERVICE,)), 0.0)
    for start in fleets.plan(core).starts:
        key = (start.task, start.run)
        core.started(start.instance, key, None, 1.1)
        _report(core, start.instance, 1.15, running=[key])
        _report(core, start.instance, 1.5, SECOND)
    (first,) = fleets.plan(core, 2.1).starts
    core.start_unanswered(first.instance, (first.task, first.run), True, 2.3)
    _report(core, first.instance, 2.4, THIRD)
    assert not _stops_that_may_be_sent(core, 3.0)
    for now in (3.1, 3.8):
        (start,) = fleets.plan(core, now).starts
        key = (start.task, start.run)
        assert start.instance != first.instance
        core.started(start.instance, key)
        for later in (now + 0.1, now + 0.5):
            _report(core, start.instance, later, SECOND, running=[key])
    (stop,) = _stops_that_may_be_sent(core, 4.4)
    assert (stop.task, stop.run) == (first.task, first.run)


def test_a_late_start_of_a_finished_run_is_stopped_on_the_new_incarnation():
    """Otherwise a finished task runs again seconds after a crash.

    One copy of its start got no response. The next copy was accepted, and the
    task finished. The new incarnation does not refuse the first copy as old.
    """
    core, _ = _core_with("i-1")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    starts = fleets.plan(core).starts
    key = (starts[0].task, starts[0].run)
    core.start_unanswered("i-1", key, True, 1.2)
    _end_all(core, "i-1", starts, 2.0, FIRST)
    core.registered(_registration("i-1", SECOND), 3.0)
    assert not core.take_stops(), (
        "no status report yet, so it may be unreachable"
    )
    _report(core, "i-1", 3.5, SECOND)
    assert [(stop.task, stop.run) for stop in core.take_stops()] == [key]


def test_the_clock_in_a_response_shows_a_restart_before_a_report_does():
    """Otherwise a task runs twice after its instance crashed and was cut off.

    The instance restarts and accepts a start before the owner knows of the
    restart. The deadline in the start is on the former clock, so the run lasts
    longer than the owner expects.
    """
    core, _ = _core_with("i-1", now=50.0)
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 50.0)
    (start,) = fleets.plan(core, 51.0).starts
    key = (start.task, start.run)
    core.started("i-1", key, 300.0, 51.1)
    assert not core.instances["i-1"].usable(51.1)
    core.silent("i-1", 53.0)
    core.lapse(51.1 + 10.0)
    assert _keys(core, "i-1") == [key]
    core.lapse(51.1 + 11.0)
    assert not _keys(core, "i-1")


def test_a_response_whose_clock_advances_shows_no_restart():
    core, _ = _core_with("i-1", now=50.0)
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 50.0)
    (start,) = fleets.plan(core, 51.0).starts
    core.started("i-1", (start.task, start.run), 50_980.0, 51.1)
    assert core.instances["i-1"].usable(51.1)


def test_a_run_that_the_new_incarnation_accepted_continues():
    """Otherwise a gang breaks and starts again beside its former members.

    The instance restarted before the owner knew and accepted a start that was
    meant for the former incarnation. Its first status report lists the run.
    """
    core, _ = _core_with("i-1")
    gang = jobs.Step(count=2, cpu=100, gang=True)
    core.job_added(fleets.job(steps=(gang,)), 0.0)
    starts = fleets.plan(core).starts
    for start in starts:
        core.started("i-1", (start.task, start.run))
    keys = _keys(core, "i-1")
    _report(core, "i-1", 2.0, SECOND, running=keys)
    assert _keys(core, "i-1") == keys
    assert not core.take_stops()
    assert not fleets.plan(core, 2.1).starts


def test_a_start_decided_before_the_restart_is_not_sent_after_it():
    core, _ = _core_with("i-1")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    core.plan(1.0, fleets.WALL_MS)
    (start,) = core.take_batch(10).starts
    _report(core, "i-1", 1.5, SECOND)
    assert not core.may_send(start)
    assert len(fleets.plan(core, 1.6).starts) == 1


def test_a_restart_resets_the_state_of_the_former_incarnation():
    core, _ = _core_with_serving_tasks()
    instance = core.instances["i-1"]
    instance.suspended_until = 99.0
    instance.suspensions = 3
    instance.failures_in_row.add("a job")
    instance.speed, instance.speed_samples, instance.slow = 0.1, 9, True
    core.silent("i-1", 2.5)
    step = (fleets.job().job_id, 0, 0)
    core.tickets[step] = {"i-1": "ticket", "i-2": "ticket"}
    _report(core, "i-1", 3.0, SECOND)
    assert instance.usable(3.0)
    assert (instance.suspensions, instance.failures_in_row) == (0, set())
    assert (instance.speed, instance.speed_samples, instance.slow) == (
        1.0,
        0,
        False,
    )
    assert core.tickets[step] == {"i-2": "ticket"}
    assert instance.clock_now_ms(3.0) == 3000.0
    # Earlier calls may have given the new incarnation the longest lease.
    assert instance.lapses_at >= 3.0 + 10.0


@pytest.mark.parametrize(
    "state", ["cordoned", "due", "leaving", "draining", "distrusted"]
)
def test_a_restart_in_any_state_requeues_the_tasks(state):
    core, _ = _core_with_serving_tasks()
    if state == "draining":
        core.registered(_registration("i-1", FIRST, draining=True), 2.5)
    elif state == "distrusted":
        core.distrusted("i-1", "its bytes can't be read", 2.5)
    else:
        setattr(core.instances["i-1"], state, True)
    _report(core, "i-1", 3.0, SECOND)
    assert not _keys(core, "i-1")
    assert len(fleets.plan(core, 3.1).starts) == 1


def test_a_rack_that_restarts_several_times_keeps_one_run_per_task():
    core, emitted = _core_with_serving_tasks()
    for number, now in enumerate((3.0, 4.0, 5.0)):
        for name in ("i-1", "i-2", "i-3"):
            _report(core, name, now, SECOND + number)
        for start in fleets.plan(core, now + 0.1).starts:
            core.started(start.instance, (start.task, start.run))
        for name, instance in core.instances.items():
            born_ms = instance.lives.current
            _report(core, name, now + 0.5, born_ms, _keys(core, name))
        assert not core.take_stops()
    assert len(_changes(emitted, "restarted")) == 9
    running = itertools.chain.from_iterable(
        instance.runs for instance in core.instances.values()
    )
    assert sorted(task.index for task, _ in running) == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("entry_first", [True, False])
def test_a_new_owner_detects_a_restart_since_a_run_was_recorded(
    entry_first,
):
    """Otherwise tasks stall after a change of owner and a crash.

    The rows name runs on an instance that has restarted since.
    """
    previous, _ = _core_with_serving_tasks(spare=())
    (entry,) = previous.book.live.values()
    core, _ = _core_with("i-6", now=5.0)
    born_ms = SECOND if entry_first else FIRST
    core.registered(_registration("i-1", born_ms), 5.0)
    assert core.restore(entry.job, entry.pack(), 1, 5.0) is None
    core.inherit_runs(5.0, 19.0)
    _report(core, "i-1", 5.1, SECOND)
    assert not _keys(core, "i-1")
    assert 0 in _waiting_indices(core) or len(_waiting_indices(core)) == 1


def test_a_restart_frees_the_capacity_of_runs_of_unread_jobs():
    """Otherwise an instance stays idle after a crash and a store outage."""
    core, _ = _core_with("i-1")
    task = jobs.TaskName(f"{7:016x}", 0, 0, 0)
    core.unread = {task.job_id}
    _report(core, "i-1", 2.0, running=[(task, 1)])
    assert core.instances["i-1"].free_cpu == 0
    _report(core, "i-1", 3.0, SECOND)
    assert core.instances["i-1"].free_cpu == 4000
