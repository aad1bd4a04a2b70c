"""Stalled tasks and slow instances are detected."""

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import stragglers
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_STEP = jobs.Step(count=1, cpu=1000, estimate_ms=1000.0)


def _run(instance, number=0, step=_STEP):
    name = jobs.TaskName(f"{number:016x}", 0, 0, 0)
    run = instance_state.Run(name, 1, step, fleet.Resources(1000, 0), 0.0)
    run.confirmed = True
    instance.add_run(run)
    return run


def _report_progress(instance, speed):
    """Reports progress of tasks of 1 s that run at a given speed."""
    for number in range(4):
        run = _run(instance, number)
        for tick in range(1, 4):
            now = tick * 0.3
            stragglers.record_progress(
                instance, run, min(99.0, now * speed * 100), now
            )


def test_an_instance_that_takes_several_times_as_long_is_slow():
    instances = [
        instance_state.Instance(fleet_builders.registration(f"i-{number}"), 0.0)
        for number in range(4)
    ]
    for instance in instances[1:]:
        _report_progress(instance, 1.0)
    _report_progress(instances[0], 0.15)
    stragglers.mark_stragglers(instances)
    assert [instance.is_straggler for instance in instances] == [True] + 3 * [
        False
    ]


def test_estimates_that_are_off_everywhere_make_no_instance_slow():
    instances = [
        instance_state.Instance(fleet_builders.registration(f"i-{number}"), 0.0)
        for number in range(4)
    ]
    for instance in instances:
        _report_progress(instance, 0.3)
    stragglers.mark_stragglers(instances)
    assert not any(instance.is_straggler for instance in instances)


def test_a_task_without_progress_is_stalled_unless_it_is_paced():
    instance = instance_state.Instance(fleet_builders.registration("i-1"), 0.0)
    run = _run(instance)
    for now in (1.0, 2.0, 3.0):
        stragglers.record_progress(instance, run, 40.0, now)
    assert not stragglers.is_stalled(run, 3.0)
    assert stragglers.is_stalled(run, 3.3)
    run.pace = 0
    assert not stragglers.is_stalled(run, 3.3)


def _report_no_progress(scheduler, batch):
    """Sends status reports without progress until 5.0 s."""
    for now in (3.0, 4.0, 5.0):
        for start in batch.starts:
            row = fleet.RunStatus(start.task, start.run, "", 0.0)
            fleet_builders.report_running(
                scheduler, {start.instance: [row]}, now
            )


def test_a_stalled_task_starts_again_on_another_instance():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(_STEP,)), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    _report_no_progress(scheduler, batch)
    scheduler.stop_stalled_runs(5.0)
    stop = scheduler.take_stops()[0]
    end = fleet.RunEnd(1, stop.task, stop.run, fleet.RunOutcome.STOPPED, "")
    scheduler.handle_status_report(
        stop.instance, fleet_builders.status_report((end,)), 9.1, 9.1
    )
    again = fleet_builders.plan_batch(scheduler, 9.2).starts[0]
    assert again.instance != stop.instance


def test_a_stalled_task_stays_on_the_only_instance():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(steps=(_STEP,)), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    _report_no_progress(scheduler, batch)
    scheduler.stop_stalled_runs(5.0)
    assert not scheduler.take_stops()
