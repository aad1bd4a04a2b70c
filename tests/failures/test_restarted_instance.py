"""Instances that crash and start again under their id."""

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
"""Starts of an instance, in milliseconds since 1970."""

_LASTING = jobs.Step(
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


def _account(core, name, now, born_ms=FIRST, running=(), ended=(), asked=None):
    """Lets an instance answer with what it runs and what ended there."""
    rows = tuple(fleet.Running(task, run, "", 100.0) for task, run in running)
    account = fleet.Held(now * 1000, rows, ended, born_ms)
    core.held(name, account, now if asked is None else asked, now)


def _keys(core, name):
    return list(core.instances[name].runs)


def _owner(*names, now=0.0):
    """Returns decisions with instances that answered, and their log."""
    told = []
    core = cores.Core(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), told.append
    )
    core.configured(fleets.config())
    for name in names:
        core.registered(_registration(name), now)
        _account(core, name, now)
    return core, told


def _at_work(step=_LASTING, spare=("i-6", "i-7", "i-8")):
    """Returns an owner with a task at work on each of five instances."""
    core, told = _owner(*_NAMES)
    job = fleets.job(steps=(step,))
    core.job_added(job, 0.0)
    for start in fleets.plan(core).starts:
        core.started(start.instance, (start.task, start.run))
    _all_at_work(core, 2.0)
    for name in spare:
        core.registered(_registration(name), 2.0)
        _account(core, name, 2.0)
    return core, told


def _all_at_work(core, now, names=_NAMES):
    for name in names:
        _account(core, name, now, running=_keys(core, name))


def _changes(told, change):
    return [
        event
        for event in told
        if isinstance(event, events.InstanceChanged) and event.change == change
    ]


def _waiting(core):
    (entry,) = core.book.live.values()
    return {
        task.name.index for step in entry.open.values() for task in step.waiting
    }


def test_tasks_of_an_instance_that_started_again_count_as_away_at_once():
    """Four reminders of a job that spares two are away at the same time.

    Two instances crash and start again under their ids; their accounts are
    empty. Taken for accounts that are older than the starts, both tasks stayed
    at 100 percent for good, nothing started them elsewhere, and two more were
    stopped to empty machines.
    """
    core, told = _at_work()
    for name in ("i-1", "i-2"):
        _account(core, name, 3.0, SECOND)
    assert not _keys(core, "i-1")
    assert not _keys(core, "i-2")
    for name in ("i-3", "i-4", "i-5"):
        core.instances[name].cordoned = True
    evacuation.evacuate_all(core, 3.0)
    assert not core.take_stops()
    starts = fleets.plan(core, 3.1).starts
    assert len(starts) == 2
    restarted = _changes(told, "restarted")
    assert [event.runs for event in restarted] == [1, 1]
    assert str(FIRST) in restarted[0].why
    assert str(SECOND) in restarted[0].why


def test_an_entry_tells_of_a_new_start_before_any_account():
    core, _ = _at_work()
    core.registered(_registration("i-1", SECOND), 3.0)
    assert not _keys(core, "i-1")
    assert len(_waiting(core)) == 1
    assert not core.instances["i-1"].usable(3.0), "it has not answered yet"
    _account(core, "i-1", 3.1, SECOND)
    assert core.instances["i-1"].usable(3.1)


@pytest.mark.parametrize("entry_first", [True, False])
def test_what_the_former_start_says_is_not_used(entry_first):
    """A task runs twice: an answer of before the crash puts its run back."""
    core, told = _at_work()
    before = _keys(core, "i-1")
    if entry_first:
        core.registered(_registration("i-1", SECOND), 3.0)
    else:
        _account(core, "i-1", 3.0, SECOND)
    _account(core, "i-1", 3.1, FIRST, running=before, asked=2.9)
    core.registered(_registration("i-1", FIRST), 3.2)
    assert not _keys(core, "i-1")
    assert len(_changes(told, "restarted")) == 1
    assert core.instances["i-1"].registration.born_ms == (
        SECOND if entry_first else FIRST
    )
    _account(core, "i-1", 3.3, SECOND)
    assert core.instances["i-1"].usable(3.3)


def test_an_entry_that_lags_behind_the_account_changes_nothing():
    core, told = _at_work()
    _account(core, "i-1", 3.0, SECOND)
    for beat in range(5):
        core.registered(_registration("i-1", FIRST), 3.0 + beat)
        _account(core, "i-1", 3.5 + beat, SECOND)
    assert len(_changes(told, "restarted")) == 1


def test_a_start_whose_clock_is_behind_is_a_new_one_all_the_same():
    """Reminders stand still for good: their instance's clock was set back.

    It started again, and its new start is not above the former one. An answer
    to a call that was made after the last one can't be older than that.
    """
    core, told = _at_work()
    _account(core, "i-1", 3.0, FIRST - 500)
    assert not _keys(core, "i-1")
    _account(core, "i-1", 3.5, FIRST - 500)
    core.registered(_registration("i-1", FIRST - 500), 4.0)
    assert len(_changes(told, "restarted")) == 1
    assert core.instances["i-1"].usable(4.0)


def test_an_entry_of_an_earlier_start_alone_proves_nothing():
    """Sound tasks start twice: an entry of before was written once more."""
    core, told = _at_work()
    core.registered(_registration("i-1", FIRST - 500), 3.0)
    assert len(_keys(core, "i-1")) == 1
    assert not _changes(told, "restarted")


def test_instances_that_name_no_start_are_known_by_their_id():
    core, told = _at_work()
    _account(core, "i-1", 3.0, None, running=_keys(core, "i-1"))
    core.registered(_registration("i-1", None), 3.0)
    _account(core, "i-1", 3.5, FIRST, running=_keys(core, "i-1"))
    assert len(_keys(core, "i-1")) == 1
    assert not _changes(told, "restarted")


def test_ends_of_the_new_start_are_heard_though_their_numbers_are_low():
    """Quotes that are done run again: their ends begin at 1 once more.

    Ends up to the highest number heard before the crash were left out.
    """
    core, _ = _owner("i-1")
    done = fleets.job(1, steps=(jobs.Step(count=3, cpu=100),))
    core.job_added(done, 0.0)
    _end_all(core, "i-1", fleets.plan(core).starts, 2.0, FIRST)
    assert core.instances["i-1"].last_end == 3
    _account(core, "i-1", 3.0, SECOND)
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
    _account(core, name, now, born_ms, ended=ends)


def test_ends_noted_of_the_former_start_are_not_acknowledged_to_the_new_one():
    """A quote that is done runs again: its end was forgotten unheard.

    The row with the ends of before the crash was written after it; the number
    was then acknowledged to the new start, which had listed nothing yet.
    """
    core, _ = _owner("i-1")
    core.job_added(fleets.job(), 0.0)
    _end_all(core, "i-1", fleets.plan(core).starts, 2.0, FIRST)
    batch = core.take_batch(10)
    life = core.instances["i-1"].life
    _account(core, "i-1", 3.0, SECOND)
    assert batch.lives["i-1"] == life
    assert core.instances["i-1"].life != life
    means = instance_task.Means(core, None, None, None, None)
    task = instance_task.InstanceTask(means, "i-1")
    task.recorded(batch.seen["i-1"], batch.lives["i-1"])
    assert task.acknowledged(core.instances["i-1"]) == 0
    task.recorded(1, core.instances["i-1"].life)
    assert task.acknowledged(core.instances["i-1"]) == 1


def test_a_copy_that_takes_effect_in_the_new_start_is_taken_over():
    """A reminder runs twice: late there, and where it was started anew.

    Its start was accepted before the crash and has no copy on its way, so it
    waits again. One that comes late all the same is listed and goes on, as
    long as nothing has replaced it.
    """
    core, told = _at_work(spare=())
    (key,) = _keys(core, "i-1")
    _account(core, "i-1", 3.0, SECOND)
    _account(core, "i-1", 3.1, SECOND, running=[key])
    assert _keys(core, "i-1") == [key]
    assert not fleets.plan(core, 3.2).starts
    assert any(isinstance(event, events.RunTakenBack) for event in told)


def test_a_start_without_answer_is_stopped_before_its_task_starts_again():
    """A quote is worked on twice, after a crash in the middle of its start.

    A copy of the start had no answer. The new start of the instance knows no
    token and would carry it out seconds later, while the task had begun
    elsewhere. So a stop is accepted there first.
    """
    core, _ = _owner("i-1", "i-2")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    (start,) = fleets.plan(core).starts
    key = (start.task, start.run)
    assert core.start_unanswered(start.instance, key, True, 1.2)
    core.started(start.instance, key)
    _account(core, start.instance, 2.0, running=[key])
    _account(core, start.instance, 3.0, SECOND)
    assert not fleets.plan(core, 3.1).starts
    assert [stop.task for stop in core.take_stops()] == [start.task]
    core.stopped(start.instance, key, 3.2)
    _account(core, start.instance, 3.5, SECOND)
    (again,) = fleets.plan(core, 3.6).starts
    assert (again.task, again.run) == (start.task, start.run + 1)


_SERVICE = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)


def _without_answers(core, starts, now):
    """Lets starts get no answer, and their instances start again."""
    for start in starts:
        core.start_unanswered(
            start.instance, (start.task, start.run), True, now
        )
        _account(core, start.instance, now + 0.1, SECOND)


def _stops_that_leave(core, now):
    core.stop_again(now)
    return [stop for stop in core.take_stops() if core.may_send_stop(stop, now)]


def test_tasks_wait_for_each_other_no_longer_than_a_start_may_be_late():
    """A service is away for good after all its instances started again.

    None of its starts had an answer, and each stop waited for the others to be
    at work.
    """
    core, _ = _owner("i-1", "i-2", "i-3")
    core.job_added(fleets.job(steps=(_SERVICE,)), 0.0)
    _without_answers(core, fleets.plan(core).starts, 1.2)
    for now in range(2, 10):
        assert not _stops_that_leave(core, now), "one may be at work by now"
    now = 1.3 + rooms.LATE_S
    for name in ("i-1", "i-2", "i-3"):
        _account(core, name, now, SECOND)
    assert fleets.plan(core, now).starts


def test_suspected_tasks_do_not_wait_for_one_that_is_to_be_stopped():
    """A service is away for good after instances crashed twice under it.

    Its tasks are tried one after the other. The first one's start had no
    answer when its instance started again: its stop waited for the others to
    be at work, and they waited for its trial.
    """
    core, _ = _owner("i-1", "i-2", "i-3", "i-4")
    core.job_added(fleets.job(steps=(_SERVICE,)), 0.0)
    for start in fleets.plan(core).starts:
        key = (start.task, start.run)
        core.started(start.instance, key, None, 1.1)
        _account(core, start.instance, 1.15, running=[key])
        _account(core, start.instance, 1.5, SECOND)
    (tried,) = fleets.plan(core, 2.1).starts
    core.start_unanswered(tried.instance, (tried.task, tried.run), True, 2.3)
    _account(core, tried.instance, 2.4, THIRD)
    assert not _stops_that_leave(core, 3.0)
    for now in (3.1, 3.8):
        (start,) = fleets.plan(core, now).starts
        key = (start.task, start.run)
        assert start.instance != tried.instance
        core.started(start.instance, key)
        for later in (now + 0.1, now + 0.5):
            _account(core, start.instance, later, SECOND, running=[key])
    (stop,) = _stops_that_leave(core, 4.4)
    assert (stop.task, stop.run) == (tried.task, tried.run)


def test_a_copy_of_a_start_whose_run_is_done_is_stopped_at_the_new_one():
    """A quote that is done runs again, seconds after a crash.

    One copy of its start had no answer; the next was accepted, and its task
    done. The new start does not refuse the first copy as old.
    """
    core, _ = _owner("i-1")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    starts = fleets.plan(core).starts
    key = (starts[0].task, starts[0].run)
    core.start_unanswered("i-1", key, True, 1.2)
    _end_all(core, "i-1", starts, 2.0, FIRST)
    core.registered(_registration("i-1", SECOND), 3.0)
    assert not core.take_stops(), "it may not be reached yet"
    _account(core, "i-1", 3.5, SECOND)
    assert [(stop.task, stop.run) for stop in core.take_stops()] == [key]


def test_the_clock_of_an_answer_tells_of_a_new_start_before_it_is_named():
    """A reminder runs twice after its instance crashed and was cut off.

    It started again and accepted a start before anybody knew. The deadline
    was on the clock of before, so it ran on for longer than its owner counted.
    """
    core, _ = _owner("i-1", now=50.0)
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


def test_an_answer_whose_clock_goes_on_tells_of_no_new_start():
    core, _ = _owner("i-1", now=50.0)
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 50.0)
    (start,) = fleets.plan(core, 51.0).starts
    core.started("i-1", (start.task, start.run), 50_980.0, 51.1)
    assert core.instances["i-1"].usable(51.1)


def test_a_start_that_the_new_one_accepted_goes_on():
    """A gang breaks, and starts again beside its members of before.

    The instance started again before anybody knew, and accepted a start that
    the former one was meant for; its first account lists it.
    """
    core, _ = _owner("i-1")
    gang = jobs.Step(count=2, cpu=100, gang=True)
    core.job_added(fleets.job(steps=(gang,)), 0.0)
    starts = fleets.plan(core).starts
    for start in starts:
        core.started("i-1", (start.task, start.run))
    keys = _keys(core, "i-1")
    _account(core, "i-1", 2.0, SECOND, running=keys)
    assert _keys(core, "i-1") == keys
    assert not core.take_stops()
    assert not fleets.plan(core, 2.1).starts


def test_a_start_of_before_is_not_sent_to_the_new_one():
    core, _ = _owner("i-1")
    core.job_added(fleets.job(steps=(jobs.Step(count=1, cpu=100),)), 0.0)
    core.plan(1.0, fleets.WALL_MS)
    (start,) = core.take_batch(10).starts
    _account(core, "i-1", 1.5, SECOND)
    assert not core.may_send(start)
    assert len(fleets.plan(core, 1.6).starts) == 1


def test_what_was_known_of_the_former_start_begins_anew():
    core, _ = _at_work()
    instance = core.instances["i-1"]
    instance.suspended_until = 99.0
    instance.suspensions = 3
    instance.failures_in_row.add("a job")
    instance.speed, instance.speed_samples, instance.slow = 0.1, 9, True
    core.silent("i-1", 2.5)
    step = (fleets.job().job_id, 0, 0)
    core.tickets[step] = {"i-1": "ticket", "i-2": "ticket"}
    _account(core, "i-1", 3.0, SECOND)
    assert instance.usable(3.0)
    assert (instance.suspensions, instance.failures_in_row) == (0, set())
    assert (instance.speed, instance.speed_samples, instance.slow) == (
        1.0,
        0,
        False,
    )
    assert core.tickets[step] == {"i-2": "ticket"}
    assert instance.clock_now_ms(3.0) == 3000.0
    # Calls of before may have given the new start as long a lease as it takes.
    assert instance.lapses_at >= 3.0 + 10.0


@pytest.mark.parametrize(
    "state", ["cordoned", "due", "leaving", "draining", "distrusted"]
)
def test_a_new_start_in_any_state_gives_its_tasks_back(state):
    core, _ = _at_work()
    if state == "draining":
        core.registered(_registration("i-1", FIRST, draining=True), 2.5)
    elif state == "distrusted":
        core.distrusted("i-1", "its bytes can't be read", 2.5)
    else:
        setattr(core.instances["i-1"], state, True)
    _account(core, "i-1", 3.0, SECOND)
    assert not _keys(core, "i-1")
    assert len(fleets.plan(core, 3.1).starts) == 1


def test_a_rack_that_starts_again_several_times_in_a_row():
    core, told = _at_work()
    for number, now in enumerate((3.0, 4.0, 5.0)):
        for name in ("i-1", "i-2", "i-3"):
            _account(core, name, now, SECOND + number)
        for start in fleets.plan(core, now + 0.1).starts:
            core.started(start.instance, (start.task, start.run))
        for name, instance in core.instances.items():
            born_ms = instance.lives.current
            _account(core, name, now + 0.5, born_ms, _keys(core, name))
        assert not core.take_stops()
    assert len(_changes(told, "restarted")) == 9
    running = itertools.chain.from_iterable(
        instance.runs for instance in core.instances.values()
    )
    assert sorted(task.index for task, _ in running) == [0, 1, 2, 3, 4]


@pytest.mark.parametrize("entry_first", [True, False])
def test_a_new_owner_takes_no_new_start_for_the_one_that_was_recorded(
    entry_first,
):
    """Reminders stand still for good after a change of owner and a crash.

    The rows name runs on an instance that has started again since.
    """
    before, _ = _at_work(spare=())
    (entry,) = before.book.live.values()
    core, _ = _owner("i-6", now=5.0)
    born_ms = SECOND if entry_first else FIRST
    core.registered(_registration("i-1", born_ms), 5.0)
    assert core.restore(entry.job, entry.pack(), 1, 5.0) is None
    core.inherit_runs(5.0, 19.0)
    _account(core, "i-1", 5.1, SECOND)
    assert not _keys(core, "i-1")
    assert 0 in _waiting(core) or len(_waiting(core)) == 1


def test_unread_runs_of_the_former_start_give_their_room_back():
    """An instance stands idle for good after a crash and a part away."""
    core, _ = _owner("i-1")
    task = jobs.TaskName(f"{7:016x}", 0, 0, 0)
    core.unread = {task.job_id}
    _account(core, "i-1", 2.0, running=[(task, 1)])
    assert core.instances["i-1"].free_cpu == 0
    _account(core, "i-1", 3.0, SECOND)
    assert core.instances["i-1"].free_cpu == 4000
