"""Tasks are not stopped because status reports were missing for a while."""

import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import stragglers
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_STEP = jobs.Step(count=1, cpu=1000, estimate_ms=8000.0)


def _scheduler_with_a_run():
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    scheduler.add_job(fleet_builders.job(steps=(_STEP,)), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    return scheduler, batch.starts[0]


def _report(scheduler, start, percent, now):
    row = fleet.RunStatus(start.task, start.run, "", percent)
    fleet_builders.report_running(scheduler, {start.instance: [row]}, now)


@pytest.mark.parametrize("pause_s", [3.0, 6.0, 40.0])
def test_an_owner_that_resumes_after_a_pause_stops_no_working_task(pause_s):
    """Guards against all tasks starting again at once, seconds late.

    The owner's machine is suspended for some seconds, or its instances are
    unreachable. When it resumes, the owner checks all tasks before any instance
    has reported progress, and stops each of them as stalled.
    """
    scheduler, start = _scheduler_with_a_run()
    _report(scheduler, start, 20.0, 2.5)
    _report(scheduler, start, 20.0, 3.0)
    scheduler.stop_stalled_runs(3.0 + pause_s)
    assert not scheduler.take_stops()
    _report(scheduler, start, 20.0, 3.1 + pause_s)
    scheduler.stop_stalled_runs(3.2 + pause_s)
    assert not scheduler.take_stops()
    _report(scheduler, start, 30.0, 4.0 + pause_s)
    scheduler.stop_stalled_runs(4.1 + pause_s)
    assert not scheduler.take_stops()


def test_a_stalled_task_is_still_detected_after_a_pause():
    scheduler, start = _scheduler_with_a_run()
    now = 10.0
    while now < 10.0 + stragglers.STALL_S - 0.1:
        _report(scheduler, start, 20.0, now)
        scheduler.stop_stalled_runs(now)
        assert not scheduler.take_stops()
        now += 0.5
    _report(scheduler, start, 20.0, now)
    scheduler.stop_stalled_runs(now + 0.2)
    assert scheduler.take_stops()
