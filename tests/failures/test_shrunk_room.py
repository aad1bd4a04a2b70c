"""Starts that no longer fit after the capacity of an instance has shrunk."""

import dataclasses

import pytest

from tests.common import fleets
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_THREE_TASKS = jobs.Step(count=3, cpu=900)


def _shrink(core, name, cpu, now, mem_mb=32_000):
    known = core.instances[name].registration
    core.registered(
        dataclasses.replace(known, capacity=fleet.Resources(cpu, mem_mb)), now
    )


def _core_with_unsent_starts(step=_THREE_TASKS, name="i-1"):
    """Returns a core and its starts that are decided but not sent."""
    core = fleets.new_core()
    fleets.adopt(core, name)
    core.job_added(fleets.job(steps=(step,)), 0.0)
    core.plan(1.0, fleets.WALL_MS)
    return core, core.take_batch(100).starts


def test_a_start_that_no_longer_fits_is_not_sent():
    """Guards against three starts for an instance that now fits only one."""
    core, starts = _core_with_unsent_starts()
    _shrink(core, "i-1", 1000, 1.1)
    assert [core.may_send(start) for start in starts] == [True, False, False]
    assert len(core.instances["i-1"].runs) == 1


def test_tasks_whose_starts_were_withheld_start_elsewhere():
    """Guards against tasks that wait forever after their start is withheld."""
    core, starts = _core_with_unsent_starts()
    _shrink(core, "i-1", 1000, 1.1)
    for start in starts:
        core.may_send(start)
    fleets.adopt(core, "i-2", now=1.2)
    again = fleets.plan(core, 1.3).starts
    assert [start.instance for start in again] == ["i-2", "i-2"]
    assert {start.run for start in again} == {2}


def test_a_run_that_is_being_stopped_still_counts_when_a_start_is_sent():
    """Guards against a start that relies on a run which has not stopped yet."""
    core, starts = _core_with_unsent_starts(jobs.Step(count=2, cpu=900))
    assert core.may_send(starts[0])
    instance = core.instances["i-1"]
    run = instance.runs[starts[0].task, starts[0].run]
    core.stop_run(instance, run, 1.05, "a reason")
    _shrink(core, "i-1", 1000, 1.1)
    assert not core.may_send(starts[1])


def test_a_copy_of_a_start_that_no_longer_fits_is_held_back():
    """Guards against a second copy of a start after the capacity has shrunk."""
    core, starts = _core_with_unsent_starts(jobs.Step(count=1, cpu=900))
    assert core.may_send(starts[0])
    key = (starts[0].task, starts[0].run)
    assert core.start_unanswered("i-1", key, True, 1.1)
    _shrink(core, "i-1", 800, 1.15)
    assert core.holds_back(starts[0])
    _shrink(core, "i-1", 1000, 1.2)
    assert not core.holds_back(starts[0])


def test_a_gang_of_which_one_start_no_longer_fits_is_stopped():
    """Guards against members that block capacity and end without the others."""
    core, starts = _core_with_unsent_starts(
        jobs.Step(count=3, cpu=900, gang=True)
    )
    assert core.may_send(starts[0])
    _shrink(core, "i-1", 1000, 1.1)
    assert not core.may_send(starts[1])
    assert not core.may_send(starts[2])
    (stop,) = core.take_stops()
    assert stop.task == starts[0].task


@pytest.mark.parametrize("listed_cpu", [1000, 8000])
def test_the_smaller_one_of_two_reported_capacities_counts(listed_cpu):
    """The machine list may show less capacity than an old registration."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.room_listed("i-1", fleet.Resources(listed_cpu, 32_000))
    core.job_added(fleets.job(steps=(_THREE_TASKS,)), 0.0)
    capacity = min(listed_cpu, 4000)
    assert len(fleets.plan(core).starts) == min(3, capacity // 900)


def test_a_machine_listed_without_capacity_keeps_its_registered_one():
    """Guards against an idle instance whose listed capacity is missing."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.room_listed("i-1", fleet.Resources(0, 0))
    core.job_added(fleets.job(steps=(_THREE_TASKS,)), 0.0)
    assert len(fleets.plan(core).starts) == 3


def test_starts_use_the_smallest_capacity_while_registrations_are_old():
    """While the store is unavailable, a capacity may shrink a second time."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    _shrink(core, "i-1", 1000, 0.5)
    _shrink(core, "i-1", 4000, 0.9)
    core.entries_are_old(True)
    core.job_added(fleets.job(steps=(_THREE_TASKS,)), 0.0)
    assert len(fleets.plan(core, 1.0).starts) == 1
    core.entries_are_old(False)
    assert len(fleets.plan(core, 1.1).starts) == 2


def test_an_unknown_capacity_does_not_count_as_a_shrunk_one():
    """Guards against a new owner that starts nothing on an inherited instance.

    Before the first registration it knows only the id of the instance.
    """
    first = fleets.new_core()
    fleets.adopt(first, "i-1")
    first.job_added(fleets.job(steps=(_THREE_TASKS,)), 0.0)
    fleets.run_all(first, fleets.plan(first))
    (entry,) = first.book.live.values()
    core = fleets.new_core()
    core.restore(entry.job, entry.pack(), 1, 3.0)
    core.inherit_runs(3.0, 9.0)
    fleets.adopt(core, "i-1", now=3.5)
    core.entries_are_old(True)
    assert len(fleets.plan(core, 3.6).starts) == 3


def test_nothing_starts_beside_a_run_of_unknown_need_when_capacity_grows():
    """Guards against starts that don't fit beside a run of an unread job."""
    unread, waiting = fleets.job(1), fleets.job(2, (_THREE_TASKS,))
    core = fleets.new_core()
    core.unread = {unread.job_id}
    core.registered(fleets.registration("i-1", cpu=1000), 0.0)
    task = jobs.TaskName(unread.job_id, 0, 0, 0)
    fleets.show(core, {"i-1": [fleet.Running(task, 1, "", 10.0)]}, 0.5)
    _shrink(core, "i-1", 2000, 0.6)
    core.job_added(waiting, 0.6)
    assert not fleets.plan(core, 1.0).starts


def test_no_run_is_stopped_only_because_the_capacity_has_shrunk():
    """Guards against stops of tasks that their instance keeps running."""
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(_THREE_TASKS,)), 0.0)
    fleets.run_all(core, fleets.plan(core))
    _shrink(core, "i-1", 1000, 2.0)
    core.plan(2.1, fleets.WALL_MS)
    core.stop_again(2.1)
    assert not core.take_stops()
