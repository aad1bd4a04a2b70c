"""Instances that run tasks but are not registered."""

import gevent
import gevent.event

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import instance_clients
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs


class _Writer:
    is_term_over = False
    token = 9
    last_written_version = 10
    last_write_sent_at = 0.0


class _Upstreams:
    """Reports runs for a known address and fails for an empty one."""

    def __init__(self, running):
        self._running = running
        self.addresses = []

    def renew_lease(self, target, *_args):
        self.addresses.append(target.address)
        if not target.address:
            raise ValueError("no address")
        gevent.sleep(0.05)
        return fleet.StatusReport(0.0, self._running, ())

    def stop(self, target, *_args):
        raise AssertionError(f"a stop for {target}")


def test_an_instance_of_unknown_address_is_polled_once_it_registers():
    """Otherwise a task hangs after a store outage and a change of owner.

    The registration of the instance expires while the store is unavailable. The
    new owner knows the instance only from the rows, without an address. If that
    ends the greenlet that polls it, the instance is not polled after it
    registers again, and its work is lost.
    """
    previous = fleet_builders.new_scheduler()
    fleet_builders.add_instances(previous, "i-1")
    previous.add_job(fleet_builders.job(steps=(jobs.Step(count=1),)), 0.0)
    start = fleet_builders.plan_batch(previous).starts[0]
    entry = previous.tracker.get(fleet_builders.job().job_id)
    scheduler = fleet_builders.new_scheduler()
    scheduler.restore(entry.job, entry.to_document(), 1, 0.0)
    assert scheduler.recover_runs(0.0, 1e9) == ["i-1"]
    running = (fleet.RunStatus(start.task, start.run, "", 10.0),)
    upstreams = _Upstreams(running)
    means = instance_client.CallContext(
        scheduler,
        upstreams,
        _Writer(),
        clocks.SystemClock(),
        gevent.event.Event(),
    )
    task = instance_client.InstanceClient(means, "i-1")
    greenlet = gevent.spawn(task.run_until_gone)
    task.send_stop(term_state.StopOrder("i-1", start.task, start.run))
    gevent.sleep(0.05)
    scheduler.handle_registration(fleet_builders.registration("i-1"), 0.0)
    gevent.sleep(2 * instance_client.RETRY_PAUSE_S + 0.1)
    greenlet.kill()
    assert "" not in upstreams.addresses
    assert scheduler.instances["i-1"].has_reported
    assert scheduler.instances["i-1"].runs[start.task, start.run].confirmed


def _means(scheduler, upstreams):
    return instance_client.CallContext(
        scheduler,
        upstreams,
        _Writer(),
        clocks.SystemClock(),
        gevent.event.Event(),
    )


def test_an_instance_that_was_removed_is_polled_when_it_registers_again():
    """Otherwise an instance stays idle after an outage of the store.

    Its registration and its lease expire, so the owner removes it and the
    greenlet that polls it ends. It then registers again under the same id.
    """
    scheduler = fleet_builders.new_scheduler()
    upstreams = _Upstreams(())
    tasks = instance_clients.InstanceClients(_means(scheduler, upstreams))
    scheduler.handle_registration(fleet_builders.registration("i-1"), 0.0)
    tasks.start_missing()
    gevent.sleep(0.1)
    scheduler.remove_instance(
        "i-1", 1.0, "no longer registered and unresponsive"
    )
    gevent.sleep(0.2)
    scheduler.handle_registration(fleet_builders.registration("i-1"), 2.0)
    tasks.start_missing()
    gevent.sleep(0.2)
    assert scheduler.instances["i-1"].has_reported
    scheduler.remove_instance("i-1", 3.0, "the test ends")


def test_an_instance_task_that_died_of_an_exception_is_restarted():
    """Otherwise an instance stays idle after one call raised an exception."""
    scheduler = fleet_builders.new_scheduler()
    upstreams = _Upstreams(())
    working = upstreams.renew_lease
    upstreams.renew_lease = lambda *_: 1 / 0
    tasks = instance_clients.InstanceClients(_means(scheduler, upstreams))
    scheduler.handle_registration(fleet_builders.registration("i-1"), 0.0)
    tasks.start_missing()
    gevent.sleep(0.05)
    assert tasks.get("i-1") is None
    upstreams.renew_lease = working
    tasks.start_missing()
    gevent.sleep(0.2)
    assert scheduler.instances["i-1"].has_reported
    scheduler.remove_instance("i-1", 3.0, "the test ends")


def test_an_instance_of_unknown_address_is_not_drained():
    """Otherwise all tasks of a job stop though it allows only one to.

    The registration of their instance expires in an outage, so a new owner
    knows the instance only from the rows. If it counted as draining, all its
    tasks could be stopped. The stops would be sent once it registers again.
    """
    long_running = jobs.Step(count=2, long_running=True, may_miss=1)
    previous = fleet_builders.new_scheduler()
    fleet_builders.add_instances(previous, "i-1")
    previous.add_job(fleet_builders.job(steps=(long_running,)), 0.0)
    fleet_builders.accept_starts(
        previous, fleet_builders.plan_batch(previous), percent=100.0
    )
    entry = previous.tracker.get(fleet_builders.job().job_id)
    scheduler = fleet_builders.new_scheduler()
    scheduler.restore(entry.job, entry.to_document(), 1, 0.0)
    assert scheduler.recover_runs(0.0, 1e9) == ["i-1"]
    evacuation.evacuate_instances(scheduler, 0.1)
    assert not scheduler.take_stops()
    scheduler.handle_registration(fleet_builders.registration("i-1"), 0.2)
    evacuation.evacuate_instances(scheduler, 0.3)
    assert not scheduler.take_stops()
