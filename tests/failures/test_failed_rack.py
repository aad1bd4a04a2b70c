"""Failure of a rack of instances under load."""

import types

import gevent
import gevent.event

from tests.common import clocks as manual
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.machines import machine_controller
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet


class _Writer:
    is_term_over = False
    token = 9
    last_written_version = 9
    last_write_sent_at = 0.0

    def may_operate_machines(self):
        return True


class _Machines:
    """Platform where the machines in ``down`` run no instance."""

    def __init__(self, count):
        self.count = count
        self.down = set()

    def list(self):
        return [self._machine(f"m-{n}") for n in range(1, self.count + 1)]

    def _machine(self, name):
        is_down = name in self.down
        return fleet.Machine(
            name,
            "berthing",
            fleet.MachineState.DOWN if is_down else fleet.MachineState.UP,
            "zone-1",
            "" if is_down else name.replace("m", "i"),
            fleet.Resources(4000, 32_000),
        )


def _task(scheduler, machines, clock):
    return machine_controller.MachineController(
        scheduler,
        machines,
        types.SimpleNamespace(wave_orders=lambda: ()),
        _Writer(),
        fleet_builders.deployment(),
        clock,
        gevent.event.Event(),
        lambda _: None,
    )


def test_tasks_of_a_failed_rack_start_elsewhere_within_a_second():
    """Otherwise all jobs with tasks on a failed rack are late.

    The list of machines shows the failure at once. If it is used only for
    instances that two calls have found silent, detection takes 3 s.
    """
    scheduler = fleet_builders.new_scheduler()
    clock = manual.ManualClock()
    fleet_builders.add_instances(scheduler, "i-1", now=clock.monotonic())
    scheduler.add_job(fleet_builders.job(), clock.monotonic())
    fleet_builders.accept_starts(
        scheduler, fleet_builders.plan_batch(scheduler)
    )
    machines = _Machines(2)
    task = _task(scheduler, machines, clock)
    clock.advance(0.25)
    assert task._read_list()
    fleet_builders.add_instances(scheduler, "i-2", now=clock.monotonic())
    machines.down.add("m-1")
    for _ in range(3):
        clock.advance(machine_controller.LIST_INTERVAL_S)
        assert task._read_list()
    assert "i-1" not in scheduler.instances
    assert "i-2" in scheduler.instances
    placed = {
        start.instance for start in fleet_builders.plan_batch(scheduler).starts
    }
    assert placed == {"i-2"}


def test_an_instance_that_is_not_listed_yet_is_not_removed():
    """Otherwise tasks run twice because the list lags behind the instances.

    A new instance registers and gets work shortly before the list of machines
    shows it.
    """
    scheduler = fleet_builders.new_scheduler()
    clock = manual.ManualClock()
    fleet_builders.add_instances(scheduler, "i-1", now=clock.monotonic())
    machines = _Machines(1)
    machines.down.add("m-1")
    task = _task(scheduler, machines, clock)
    for _ in range(5):
        clock.advance(machine_controller.LIST_INTERVAL_S)
        assert task._read_list()
    assert "i-1" in scheduler.instances


def test_an_instance_that_reported_since_is_not_removed():
    """Otherwise tasks run twice because the list of machines is stale."""
    scheduler = fleet_builders.new_scheduler()
    clock = manual.ManualClock()
    fleet_builders.add_instances(scheduler, "i-1", now=clock.monotonic())
    machines = _Machines(1)
    task = _task(scheduler, machines, clock)
    clock.advance(machine_controller.LIST_INTERVAL_S)
    assert task._read_list()
    machines.down.add("m-1")
    for _ in range(5):
        clock.advance(machine_controller.LIST_INTERVAL_S)
        scheduler.handle_status_report(
            "i-1", fleet_builders.status_report(), 0.0, clock.monotonic()
        )
        assert task._read_list()
    assert "i-1" in scheduler.instances


class _SilentUpstream:
    """Answers only the first call; records the timeout of each."""

    def __init__(self):
        self.limits = []

    def renew_lease(
        self, target, token, ack, deadline, wait_s, timeout_s, fresh
    ):
        del target, token, ack, deadline, wait_s, fresh
        self.limits.append(timeout_s)
        if len(self.limits) == 1:
            return fleet.StatusReport(0.0, (), ())
        gevent.sleep(min(timeout_s, 0.05))
        return fleet.NoAnswer(True, "no answer")


def test_an_instance_without_an_answer_gets_no_work_until_it_reports():
    """Otherwise tasks are started on a rack for 3 s after it failed.

    Each of them waits until the lease of its instance expires. If the call
    that detects the failure and the one after it have long timeouts, detection
    is late.
    """
    scheduler = fleet_builders.new_scheduler()
    clock = clocks.SystemClock()
    scheduler.handle_registration(
        fleet_builders.registration("i-1"), clock.monotonic()
    )
    upstreams = _SilentUpstream()
    means = instance_client.CallContext(
        scheduler, upstreams, _Writer(), clock, gevent.event.Event()
    )
    running = gevent.spawn(
        instance_client.InstanceClient(means, "i-1").run_until_gone
    )
    instance = scheduler.instances["i-1"]
    with gevent.Timeout(5.0):
        while not instance.has_unanswered_call:
            gevent.sleep(0.01)
        assert not instance.is_schedulable(clock.monotonic())
        assert not instance.is_unresponsive
        while not instance.is_unresponsive:
            gevent.sleep(0.01)
    running.kill()
    assert upstreams.limits[2] == instance_client.RETRY_TIMEOUT_S
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report(), 0.0, clock.monotonic()
    )
    assert instance.is_schedulable(clock.monotonic())
