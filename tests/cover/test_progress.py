"""Stalled tasks and slow instances are detected."""

from tests.common import fleets
from vanillaswitch.coordination.fleet.queue import progress
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_STEP = jobs.Step(count=1, cpu=1000, estimate_ms=1000.0)


def _run(instance, number=0, step=_STEP):
    name = jobs.TaskName(f"{number:016x}", 0, 0, 0)
    run = rooms.Run(name, 1, step, fleet.Resources(1000, 0), 0.0)
    run.confirmed = True
    instance.add(run)
    return run


def _report_progress(instance, speed):
    """Reports progress of tasks of 1 s that run at a given speed."""
    for number in range(4):
        run = _run(instance, number)
        for tick in range(1, 4):
            now = tick * 0.3
            progress.observe(instance, run, min(99.0, now * speed * 100), now)


def test_an_instance_that_takes_several_times_as_long_is_slow():
    instances = [
        rooms.Instance(fleets.registration(f"i-{number}"), 0.0)
        for number in range(4)
    ]
    for instance in instances[1:]:
        _report_progress(instance, 1.0)
    _report_progress(instances[0], 0.15)
    progress.mark_slow(instances)
    assert [instance.slow for instance in instances] == [True] + 3 * [False]


def test_estimates_that_are_off_everywhere_make_no_instance_slow():
    instances = [
        rooms.Instance(fleets.registration(f"i-{number}"), 0.0)
        for number in range(4)
    ]
    for instance in instances:
        _report_progress(instance, 0.3)
    progress.mark_slow(instances)
    assert not any(instance.slow for instance in instances)


def test_a_task_without_progress_is_stalled_unless_it_is_paced():
    instance = rooms.Instance(fleets.registration("i-1"), 0.0)
    run = _run(instance)
    for now in (1.0, 2.0, 3.0):
        progress.observe(instance, run, 40.0, now)
    assert not progress.stalled(run, 3.0)
    assert progress.stalled(run, 3.3)
    run.pace = 0
    assert not progress.stalled(run, 3.3)


def _report_no_progress(core, batch):
    """Sends status reports without progress until 5.0 s."""
    for now in (3.0, 4.0, 5.0):
        for start in batch.starts:
            row = fleet.Running(start.task, start.run, "", 0.0)
            fleets.show(core, {start.instance: [row]}, now)


def test_a_stalled_task_starts_again_on_another_instance():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(_STEP,)), 0.0)
    batch = fleets.plan(core)
    fleets.run_all(core, batch)
    _report_no_progress(core, batch)
    core.stop_stalled(5.0)
    stop = core.take_stops()[0]
    end = fleet.End(1, stop.task, stop.run, fleet.How.STOPPED, "")
    core.held(stop.instance, fleets.held((end,)), 9.1, 9.1)
    again = fleets.plan(core, 9.2).starts[0]
    assert again.instance != stop.instance


def test_a_stalled_task_stays_on_the_only_instance():
    core = fleets.new_core()
    fleets.adopt(core, "i-1")
    core.job_added(fleets.job(steps=(_STEP,)), 0.0)
    batch = fleets.plan(core)
    fleets.run_all(core, batch)
    _report_no_progress(core, batch)
    core.stop_stalled(5.0)
    assert not core.take_stops()
