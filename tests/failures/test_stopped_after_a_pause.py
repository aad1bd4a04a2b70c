"""Tasks that were stopped since nobody had heard of them for a while."""

import pytest

from tests.common import fleets
from vanillaswitch.coordination.fleet.queue import progress
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_STEP = jobs.Step(count=1, cpu=1000, estimate_ms=8000.0)


def _running():
    core = fleets.new_core()
    fleets.adopt(core, "i-1", "i-2")
    core.job_added(fleets.job(steps=(_STEP,)), 0.0)
    batch = fleets.plan(core)
    fleets.run_all(core, batch)
    return core, batch.starts[0]


def _list(core, start, percent, now):
    row = fleet.Running(start.task, start.run, "", percent)
    fleets.show(core, {start.instance: [row]}, now)


@pytest.mark.parametrize("pause_s", [3.0, 6.0, 40.0])
def test_an_owner_that_goes_on_after_a_pause_stops_nothing_that_works(pause_s):
    """Charges are begun anew, all at once, and come seconds late.

    The owner's machine is suspended for some seconds, or its instances can't
    be reached. Back at work, it judges all tasks before any instance has told
    how far they are, and stops each as standing still.
    """
    core, start = _running()
    _list(core, start, 20.0, 2.5)
    _list(core, start, 20.0, 3.0)
    core.stop_stalled(3.0 + pause_s)
    assert not core.take_stops()
    _list(core, start, 20.0, 3.1 + pause_s)
    core.stop_stalled(3.2 + pause_s)
    assert not core.take_stops()
    _list(core, start, 30.0, 4.0 + pause_s)
    core.stop_stalled(4.1 + pause_s)
    assert not core.take_stops()


def test_a_task_that_stands_still_is_found_after_a_pause_all_the_same():
    core, start = _running()
    now = 10.0
    while now < 10.0 + progress.STALL_S - 0.1:
        _list(core, start, 20.0, now)
        core.stop_stalled(now)
        assert not core.take_stops()
        now += 0.5
    _list(core, start, 20.0, now)
    core.stop_stalled(now + 0.2)
    assert core.take_stops()
