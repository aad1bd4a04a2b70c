"""Starts that no longer fit: the room of an instance shrinks while it runs."""

import dataclasses

import pytest

from tests.common import fleets
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_THREE = jobs.Step(count=3, cpu=900)


def _shrink(core, name, cpu, now, mem_mb=32_000):
    known = core.instances[name].registration
    core.registered(
        dataclasses.replace(known, capacity=fleet.Resources(cpu, mem_mb)), now
    )


def _decided(step=_THREE, name="i-1"):
    """Returns decisions with starts that are decided and not sent."""
    core = fleets.new_core()
    fleets.adopt(core, name)
    core.job_added(fleets.job(steps=(step,)), 0.0)
    core.plan(1.0, fleets.WALL_MS)
    return core, core.take_batch(100).starts


def test_a_start_that_no_longer_fits_where_it_leaves_is_not_sent():
    """Three starts leave for an instance that has room for one by then."""
    core, starts = _decided()
    _shrink(core, "i-1", 1000, 1.1)
    assert [core.may_send(start) for start in starts] == [True, False, False]
    assert len(core.instances["i-1"].runs) == 1


def test_tasks_that_were_withheld_start_elsewhere():
    """Tasks whose starts no longer fit wait for good."""
    core, starts = _decided()
    _shrink(core, "i-1", 1000, 1.1)
    for start in starts:
        core.may_send(start)
    fleets.adopt(core, "i-2", now=1.2)
    again = fleets.plan(core, 1.3).starts
    assert [start.instance for start in again] == ["i-2", "i-2"]
    assert {start.run for start in again} == {2}


def test_what_is_being_stopped_counts_where_a_start_leaves():
    """A start leaves for the room of a task that has not stopped yet."""
    core, starts = _decided(jobs.Step(count=2, cpu=900))
    assert core.may_send(starts[0])
    instance = core.instances["i-1"]
    run = instance.runs[starts[0].task, starts[0].run]
    core.stop_run(instance, run, 1.05, "a reason")
    _shrink(core, "i-1", 1000, 1.1)
    assert not core.may_send(starts[1])


def test_a_copy_of_a_start_does_not_leave_once_it_no_longer_fits():
    """The first copy was lost, and the second one fills a smaller room."""
    core, starts = _decided(jobs.Step(count=1, cpu=900))
    assert core.may_send(starts[0])
    key = (starts[0].task, starts[0].run)
    assert core.start_unanswered("i-1", key, True, 1.1)
    _shrink(core, "i-1", 800, 1.15)
    assert core.holds_back(starts[0])
    _shrink(core, "i-1", 1000, 1.2)
    assert not core.holds_back(starts[0])


def test_a_gang_of_which_one_start_no_longer_fits_does_not_wait_in_part():
    """Members of a gang hold room and end alone for one that never comes."""
    core, starts = _decided(jobs.Step(count=3, cpu=900, gang=True))
    assert core.may_send(starts[0])
    _shrink(core, "i-1", 1000, 1.1)
    assert not core.may_send(starts[1])
    assert not core.may_send(starts[2])
    (stop,) = core.take_stops()
    assert stop.task == starts[0].task


@pytest.mark.parametrize("listed_cpu", [1000, 8000])
def test_the_smaller_of_two_rooms_that_are_told_of_counts(listed_cpu):
    """The list of machines tells of less room than an entry that is old."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.room_listed("i-1", fleet.Resources(listed_cpu, 32_000))
    core.job_added(fleets.job(steps=(_THREE,)), 0.0)
    room = min(listed_cpu, 4000)
    assert len(fleets.plan(core).starts) == min(3, room // 900)


def test_a_machine_that_is_listed_without_a_room_keeps_that_of_its_entry():
    """Nothing starts where the list of machines names no room."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.room_listed("i-1", fleet.Resources(0, 0))
    core.job_added(fleets.job(steps=(_THREE,)), 0.0)
    assert len(fleets.plan(core).starts) == 3


def test_nothing_that_may_not_fit_starts_while_entries_are_old():
    """The store is away, and a room that has shrunk before shrinks again."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    _shrink(core, "i-1", 1000, 0.5)
    _shrink(core, "i-1", 4000, 0.9)
    core.entries_are_old(True)
    core.job_added(fleets.job(steps=(_THREE,)), 0.0)
    assert len(fleets.plan(core, 1.0).starts) == 1
    core.entries_are_old(False)
    assert len(fleets.plan(core, 1.1).starts) == 2


def test_a_room_that_was_not_known_is_none_that_has_shrunk():
    """Nothing starts on an instance that an earlier owner knew better."""
    first = fleets.new_core()
    fleets.adopt(first, "i-1")
    first.job_added(fleets.job(steps=(_THREE,)), 0.0)
    fleets.run_all(first, fleets.plan(first))
    (entry,) = first.book.live.values()
    core = fleets.new_core()
    core.restore(entry.job, entry.pack(), 1, 3.0)
    core.inherit_runs(3.0, 9.0)
    fleets.adopt(core, "i-1", now=3.5)
    core.entries_are_old(True)
    assert len(fleets.plan(core, 3.6).starts) == 3


def test_nothing_starts_beside_a_run_of_unknown_need_as_a_room_grows():
    """A start does not fit beside a run whose job can't be read yet."""
    unread, waiting = fleets.job(1), fleets.job(2, (_THREE,))
    core = fleets.new_core()
    core.unread = {unread.job_id}
    core.registered(fleets.registration("i-1", cpu=1000), 0.0)
    task = jobs.TaskName(unread.job_id, 0, 0, 0)
    fleets.show(core, {"i-1": [fleet.Running(task, 1, "", 10.0)]}, 0.5)
    _shrink(core, "i-1", 2000, 0.6)
    core.job_added(waiting, 0.6)
    assert not fleets.plan(core, 1.0).starts


def test_nothing_is_stopped_only_because_a_room_has_shrunk():
    """Tasks at work are stopped though their instance goes on with them."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(_THREE,)), 0.0)
    fleets.run_all(core, fleets.plan(core))
    _shrink(core, "i-1", 1000, 2.0)
    core.plan(2.1, fleets.WALL_MS)
    core.stop_again(2.1)
    assert not core.take_stops()
