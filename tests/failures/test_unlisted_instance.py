"""An instance that runs tasks and stands in no list."""

import gevent
import gevent.event

from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.instances import instance_tasks
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class _Recorder:
    deposed = False
    token = 9
    confirmed_at = 0.0


class _Upstreams:
    """Lists one run at a known address; fails for any other."""

    def __init__(self, running):
        self._running = running
        self.addresses = []

    def hold(self, target, *_args):
        self.addresses.append(target.address)
        if not target.address:
            raise ValueError("no address")
        gevent.sleep(0.05)
        return fleet.Held(0.0, self._running, ())

    def stop(self, target, *_args):
        raise AssertionError(f"a stop for {target}")


def test_an_instance_of_unknown_address_is_held_once_it_registers():
    """A task hangs for good after an outage of the store and a new owner.

    The instance's entry lapsed while the store was away; the new owner knows
    it from the rows alone, without an address, and its task of calls died.
    When the instance registered again, nobody held it and its work was lost.
    """
    before = fleets.new_core()
    fleets.adopt(before, "i-1")
    before.job_added(fleets.job(steps=(jobs.Step(count=1),)), 0.0)
    start = fleets.plan(before).starts[0]
    entry = before.book.get(fleets.job().job_id)
    core = fleets.new_core()
    core.restore(entry.job, entry.pack(), 1, 0.0)
    assert core.inherit_runs(0.0, 1e9) == ["i-1"]
    running = (fleet.Running(start.task, start.run, "", 10.0),)
    upstreams = _Upstreams(running)
    means = instance_task.Means(
        core,
        upstreams,
        _Recorder(),
        clocks.SystemClock(),
        gevent.event.Event(),
    )
    task = instance_task.InstanceTask(means, "i-1")
    greenlet = gevent.spawn(task.run)
    task.send_stop(term_state.StopOrder("i-1", start.task, start.run))
    gevent.sleep(0.05)
    core.registered(fleets.registration("i-1"), 0.0)
    gevent.sleep(2 * instance_task.RETRY_S + 0.1)
    greenlet.kill()
    assert "" not in upstreams.addresses
    assert core.instances["i-1"].adopted
    assert core.instances["i-1"].runs[start.task, start.run].confirmed


def _means(core, upstreams):
    return instance_task.Means(
        core,
        upstreams,
        _Recorder(),
        clocks.SystemClock(),
        gevent.event.Event(),
    )


def test_an_instance_that_was_taken_as_gone_is_held_when_it_is_back():
    """An instance stands idle for good after an outage of the store.

    Its entry and its lease lapsed, so it was taken as gone and its task of
    calls ended; it registered again under the same id and got no new one.
    """
    core = fleets.new_core()
    upstreams = _Upstreams(())
    tasks = instance_tasks.InstanceTasks(_means(core, upstreams))
    core.registered(fleets.registration("i-1"), 0.0)
    tasks.ensure()
    gevent.sleep(0.1)
    core.gone("i-1", 1.0, "unlisted and silent")
    gevent.sleep(0.2)
    core.registered(fleets.registration("i-1"), 2.0)
    tasks.ensure()
    gevent.sleep(0.2)
    assert core.instances["i-1"].adopted
    core.gone("i-1", 3.0, "the test ends")


def test_calls_that_fail_by_a_fault_of_ours_are_begun_again():
    """An instance stands idle for good after one call to it went wrong."""
    core = fleets.new_core()
    upstreams = _Upstreams(())
    good = upstreams.hold
    upstreams.hold = lambda *_: 1 / 0
    tasks = instance_tasks.InstanceTasks(_means(core, upstreams))
    core.registered(fleets.registration("i-1"), 0.0)
    tasks.ensure()
    gevent.sleep(0.05)
    assert tasks.get("i-1") is None
    upstreams.hold = good
    tasks.ensure()
    gevent.sleep(0.2)
    assert core.instances["i-1"].adopted
    core.gone("i-1", 3.0, "the test ends")


def test_an_instance_of_unknown_address_is_not_emptied():
    """Reminders stop all at once although their job spares one of them only.

    The entry of their instance lapsed in an outage, so a new owner knew it
    from the rows alone and took it for one that leaves by itself, whose tasks
    may all be stopped. Once it registered again the stops were sent.
    """
    lasting = jobs.Step(count=2, long_running=True, may_miss=1)
    before = fleets.new_core()
    fleets.adopt(before, "i-1")
    before.job_added(fleets.job(steps=(lasting,)), 0.0)
    fleets.run_all(before, fleets.plan(before), percent=100.0)
    entry = before.book.get(fleets.job().job_id)
    core = fleets.new_core()
    core.restore(entry.job, entry.pack(), 1, 0.0)
    assert core.inherit_runs(0.0, 1e9) == ["i-1"]
    evacuation.evacuate_all(core, 0.1)
    assert not core.take_stops()
    core.registered(fleets.registration("i-1"), 0.2)
    evacuation.evacuate_all(core, 0.3)
    assert not core.take_stops()
