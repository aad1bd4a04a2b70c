"""Checks of disruption budgets before maintenance, which ends all runs."""

from tests.common import clocks
from tests.common import fleet_builders
from tests.common import wave_doubles
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_LONG_RUNNING = jobs.Step(
    count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
)
_NAMES = ("i-1", "i-2", "i-3")
_MACHINES = ("m-1", "m-2", "m-3")


def _run_wave(task, scheduler, clock, seconds, names=_NAMES):
    """Runs the wave while some instances report their tasks as serving."""
    until = clock.monotonic() + seconds
    while clock.monotonic() < until:
        now = clock.monotonic()
        for name in names:
            rows = tuple(
                fleet.RunStatus(run.task, run.run, "", 100.0)
                for run in scheduler.instances[name].runs.values()
            )
            scheduler.handle_status_report(
                name, fleet_builders.status_report(running=rows), now, now
            )
        task.reconcile()
        task.mover.step()
        clock.advance(0.25)


def test_no_maintenance_starts_where_the_runs_are_unknown():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    A new owner can't read the job, since its part of the store is unavailable,
    and has no status report of the instance yet. It must not treat the machine
    as empty and order its maintenance.
    """
    scheduler = fleet_builders.new_scheduler()
    clock = clocks.ManualClock()
    for name in _NAMES:
        scheduler.handle_registration(
            fleet_builders.registration(name), clock.monotonic()
        )
    scheduler.unreadable_jobs = {fleet_builders.job().job_id}
    machines = wave_doubles.Machines(_MACHINES)
    task = wave_doubles.task(
        scheduler, machines, wave_doubles.WaveStore("m-1"), clock
    )
    _run_wave(task, scheduler, clock, 5.0, names=("i-2", "i-3"))
    assert not machines.ordered
    _run_wave(task, scheduler, clock, 5.0)
    assert machines.ordered == ["m-1"]


def test_the_budget_is_checked_again_before_an_unanswered_order_is_repeated():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    The order got no answer and had no effect. While it is repeated, the
    instance of another task crashes; then a copy takes effect.
    """
    scheduler = fleet_builders.new_scheduler()
    clock = clocks.ManualClock()
    now = clock.monotonic()
    fleet_builders.add_instances(scheduler, *_NAMES, now=now)
    scheduler.add_job(fleet_builders.job(steps=(_LONG_RUNNING,)), now)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler, now), percent=100.0
    )
    machines = wave_doubles.Machines(_MACHINES)
    machines.answers = [fleet.NoAnswer(True, "no answer")] * 100
    task = wave_doubles.task(
        scheduler, machines, wave_doubles.WaveStore("m-1"), clock
    )
    while not machines.ordered:
        _run_wave(task, scheduler, clock, 0.25)
    scheduler.remove_instance("i-2", clock.monotonic(), "no machine runs it")
    machines.ordered.clear()
    _run_wave(task, scheduler, clock, 3.0, names=("i-1", "i-3"))
    assert not machines.ordered


def test_a_stopping_task_counts_against_the_budget_until_it_has_ended():
    """Otherwise two tasks of a job that allows one to be down are down at once.

    The stop of one task gets lost, then the instance of another crashes. If
    the first counts as ended already, maintenance of its machine is allowed
    and ends it.
    """
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, *_NAMES)
    scheduler.add_job(fleet_builders.job(steps=(_LONG_RUNNING,)), 0.0)
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler), percent=100.0
    )
    instance = scheduler.instances["i-1"]
    (run,) = instance.runs.values()
    scheduler.stop_run(
        instance, run, 2.1, "its instance is drained for maintenance"
    )
    assert evacuation.allows_disruption_of_all(scheduler, instance, 2.2)
    scheduler.remove_instance("i-2", 2.5, "no machine runs it")
    assert not evacuation.allows_disruption_of_all(scheduler, instance, 2.6)
