"""Stops that the owner before had sent, and what the next one believes."""

from tests.common import fleets
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LASTING = jobs.Step(count=5, cpu=100, long_running=True, may_miss=2)


def _next_owner(now):
    """Returns the state of an owner that restored five running tasks."""
    before = fleets.new_core()
    fleets.adopt(before, "i-1", "i-2")
    job = fleets.job(steps=(_LASTING,))
    before.job_added(job, 0.0)
    fleets.run_all(before, fleets.plan(before), percent=100.0)
    entry = before.book.get(job.job_id)
    core = fleets.new_core()
    core.registered(fleets.registration("i-1"), now)
    core.registered(fleets.registration("i-2"), now)
    assert core.restore(job, entry.pack(), 1, now) is None
    core.inherit_runs(now, now + 10.0)
    return core


def _account(core, began_at, gone=()):
    """Lets all instances list what they run; ``gone`` was stopped."""
    for name, instance in core.instances.items():
        running = tuple(
            fleet.Running(run.task, run.run, "", 100.0)
            for run in instance.runs.values()
            if run.task.index not in gone
        )
        ended = tuple(
            fleet.End(number, run.task, run.run, fleet.How.STOPPED, "")
            for number, run in enumerate(instance.runs.values(), 1)
            if run.task.index in gone
        )
        core.held(name, fleets.held(ended, running), began_at, began_at + 0.01)


def _stopped_by_emptying(core, now):
    for name in ("i-1", "i-2"):
        core.instances[name].cordoned = True
    # Room elsewhere, so that each task could go on there.
    fleets.adopt(core, "i-3", now=now)
    evacuation.evacuate_all(core, now)
    return core.take_stops()


def test_a_new_owner_ends_no_task_while_stops_of_the_one_before_go_on():
    """Three reminders of a job that spares two stop at the same time.

    An owner told two of them to stop, since their machines were due, and lost
    the fleet. For the time that a stop takes both were still listed as at
    work, so the next owner sent more away before their ends were listed.
    """
    core = _next_owner(now=7.0)
    _account(core, 7.0)
    assert not _stopped_by_emptying(core, 7.1)
    _account(core, 8.0, gone=(0, 1))
    assert not _stopped_by_emptying(core, 8.1)


def test_a_new_owner_goes_on_emptying_once_no_stop_can_be_under_way():
    """A wave stands still after a change of owner, as the guard stays."""
    core = _next_owner(now=7.0)
    _account(core, 7.0)
    _account(core, 7.3)
    assert not _stopped_by_emptying(core, 7.35)
    _account(core, 8.0)
    assert len(_stopped_by_emptying(core, 8.1)) == _LASTING.may_miss
