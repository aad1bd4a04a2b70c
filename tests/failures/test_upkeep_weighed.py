"""Checks of disruption budgets before maintenance, which ends all runs."""

from tests.common import clocks
from tests.common import fleets
from tests.common import upkeep
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)
_NAMES = ("i-1", "i-2", "i-3")
_MACHINES = ("m-1", "m-2", "m-3")


def _run_wave(task, core, clock, seconds, names=_NAMES):
    """Runs the wave while some instances report their tasks as serving."""
    until = clock.monotonic() + seconds
    while clock.monotonic() < until:
        now = clock.monotonic()
        for name in names:
            rows = tuple(
                fleet.Running(run.task, run.run, "", 100.0)
                for run in core.instances[name].runs.values()
            )
            core.held(name, fleets.held(running=rows), now, now)
        task.look()
        task.mover.step()
        clock.advance(0.25)


def test_no_maintenance_starts_where_the_runs_are_unknown():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    A new owner can't read the job, since its part of the store is unavailable,
    and has no status report of the instance yet. It must not treat the machine
    as empty and order its maintenance.
    """
    core = fleets.new_core()
    clock = clocks.ManualClock()
    for name in _NAMES:
        core.registered(fleets.registration(name), clock.monotonic())
    core.unread = {fleets.job().job_id}
    machines = upkeep.Machines(_MACHINES)
    task = upkeep.task(core, machines, upkeep.Board("m-1"), clock)
    _run_wave(task, core, clock, 5.0, names=("i-2", "i-3"))
    assert not machines.ordered
    _run_wave(task, core, clock, 5.0)
    assert machines.ordered == ["m-1"]


def test_the_budget_is_checked_again_before_an_unanswered_order_is_repeated():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    The order got no answer and had no effect. While it is repeated, the
    instance of another task crashes; then a copy takes effect.
    """
    core = fleets.new_core()
    clock = clocks.ManualClock()
    now = clock.monotonic()
    fleets.adopt(core, *_NAMES, now=now)
    core.job_added(fleets.job(steps=(_LONG_RUNNING,)), now)
    fleets.run_all(core, fleets.plan(core, now), percent=100.0)
    machines = upkeep.Machines(_MACHINES)
    machines.lost = 100
    task = upkeep.task(core, machines, upkeep.Board("m-1"), clock)
    while not machines.ordered:
        _run_wave(task, core, clock, 0.25)
    core.gone("i-2", clock.monotonic(), "no machine runs it")
    machines.ordered.clear()
    _run_wave(task, core, clock, 3.0, names=("i-1", "i-3"))
    assert not machines.ordered


def test_a_stopping_task_counts_against_the_budget_until_it_has_ended():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    The stop of one task gets lost, then the instance of another crashes. If
    the first counts as ended already, maintenance of its machine is allowed
    and ends it.
    """
    core = fleets.new_core()
    fleets.adopt(core, *_NAMES)
    core.job_added(fleets.job(steps=(_LONG_RUNNING,)), 0.0)
    fleets.run_all(core, fleets.plan(core), percent=100.0)
    instance = core.instances["i-1"]
    (run,) = instance.runs.values()
    core.stop_run(instance, run, 2.1, "its instance is drained for maintenance")
    assert evacuation.may_end_all(core, instance, 2.2)
    core.gone("i-2", 2.5, "no machine runs it")
    assert not evacuation.may_end_all(core, instance, 2.6)
