"""Tasks are not stopped because status reports were missing for a while."""

import pytest

from tests.common import fleets
from vanillaswitch.coordination.fleet.queue import progress
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_STEP = jobs.Step(count=1, cpu=1000, estimate_ms=8000.0)


def _core_with_a_run():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(_STEP,)), 0.0)
    batch = fleets.plan(core)
    fleets.run_all(core, batch)
    return core, batch.starts[0]


def _report(core, start, percent, now):
    row = fleet.Running(start.task, start.run, "", percent)
    fleets.show(core, {start.instance: [row]}, now)


@pytest.mark.parametrize("pause_s", [3.0, 6.0, 40.0])
def test_an_owner_that_resumes_after_a_pause_stops_no_working_task(pause_s):
    """Guards against all tasks starting again at once, seconds late.

    The owner's machine is suspended for some seconds, or its instances are
    unreachable. When it resumes, the owner checks all tasks before any instance
    has reported progress, and stops each of them as stalled.
    """
    core, start = _core_with_a_run()
    _report(core, start, 20.0, 2.5)
    _report(core, start, 20.0, 3.0)
    core.stop_stalled(3.0 + pause_s)
    assert not core.take_stops()
    _report(core, start, 20.0, 3.1 + pause_s)
    core.stop_stalled(3.2 + pause_s)
    assert not core.take_stops()
    _report(core, start, 30.0, 4.0 + pause_s)
    core.stop_stalled(4.1 + pause_s)
    assert not core.take_stops()


def test_a_stalled_task_is_still_detected_after_a_pause():
    core, start = _core_with_a_run()
    now = 10.0
    while now < 10.0 + progress.STALL_S - 0.1:
        _report(core, start, 20.0, now)
        core.stop_stalled(now)
        assert not core.take_stops()
        now += 0.5
    _report(core, start, 20.0, now)
    core.stop_stalled(now + 0.2)
    assert core.take_stops()
