"""Failure of a rack of instances under load."""

import types

import gevent
import gevent.event

from tests.common import clocks as manual
from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.machines import machine_task
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet


class _Recorder:
    deposed = False
    token = 9
    newest = 9
    confirmed_at = 0.0

    def may_order(self):
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


def _task(core, machines, clock):
    return machine_task.MachineTask(
        core,
        machines,
        types.SimpleNamespace(orders=lambda: ()),
        _Recorder(),
        fleets.deployment(),
        clock,
        gevent.event.Event(),
        lambda _: None,
    )


def test_tasks_of_a_failed_rack_start_elsewhere_within_a_second():
    """Otherwise all jobs with tasks on a failed rack are late.

    The list of machines shows the failure at once. If it is used only for
    instances that two calls have found silent, detection takes 3 s.
    """
    core = fleets.new_core()
    clock = manual.ManualClock()
    fleets.adopt(core, "i-1", now=clock.monotonic())
    core.job_added(fleets.job(), clock.monotonic())
    fleets.run_all(core, fleets.plan(core))
    machines = _Machines(2)
    task = _task(core, machines, clock)
    clock.advance(0.25)
    assert task._read_list()
    fleets.adopt(core, "i-2", now=clock.monotonic())
    machines.down.add("m-1")
    for _ in range(3):
        clock.advance(machine_task.LIST_S)
        assert task._read_list()
    assert "i-1" not in core.instances
    assert "i-2" in core.instances
    placed = {start.instance for start in fleets.plan(core).starts}
    assert placed == {"i-2"}


def test_an_instance_that_is_not_listed_yet_is_not_removed():
    """Otherwise tasks run twice because the list lags behind the instances.

    A new instance registers and gets work shortly before the list of machines
    shows it.
    """
    core = fleets.new_core()
    clock = manual.ManualClock()
    fleets.adopt(core, "i-1", now=clock.monotonic())
    machines = _Machines(1)
    machines.down.add("m-1")
    task = _task(core, machines, clock)
    for _ in range(5):
        clock.advance(machine_task.LIST_S)
        assert task._read_list()
    assert "i-1" in core.instances


def test_an_instance_that_reported_since_is_not_removed():
    """Otherwise tasks run twice because the list of machines is stale."""
    core = fleets.new_core()
    clock = manual.ManualClock()
    fleets.adopt(core, "i-1", now=clock.monotonic())
    machines = _Machines(1)
    task = _task(core, machines, clock)
    clock.advance(machine_task.LIST_S)
    assert task._read_list()
    machines.down.add("m-1")
    for _ in range(5):
        clock.advance(machine_task.LIST_S)
        core.held("i-1", fleets.held(), 0.0, clock.monotonic())
        assert task._read_list()
    assert "i-1" in core.instances


class _SilentUpstream:
    """Answers only the first call; records the timeout of each."""

    def __init__(self):
        self.limits = []

    def hold(self, target, token, ack, deadline, wait_s, timeout_s, fresh):
        del target, token, ack, deadline, wait_s, fresh
        self.limits.append(timeout_s)
        if len(self.limits) == 1:
            return fleet.Held(0.0, (), ())
        gevent.sleep(min(timeout_s, 0.05))
        return fleet.NoAnswer(True, "no answer")


def test_an_instance_without_an_answer_gets_no_work_until_it_reports():
    """Otherwise tasks are started on a rack for 3 s after it failed.

    Each of them waits until the lease of its instance expires. If the call
    that detects the failure and the one after it have long timeouts, detection
    is late.
    """
    core = fleets.new_core()
    clock = clocks.SystemClock()
    core.registered(fleets.registration("i-1"), clock.monotonic())
    upstreams = _SilentUpstream()
    means = instance_task.Means(
        core, upstreams, _Recorder(), clock, gevent.event.Event()
    )
    running = gevent.spawn(instance_task.InstanceTask(means, "i-1").run)
    instance = core.instances["i-1"]
    with gevent.Timeout(5.0):
        while not instance.doubtful:
            gevent.sleep(0.01)
        assert not instance.usable(clock.monotonic())
        assert not instance.silent
        while not instance.silent:
            gevent.sleep(0.01)
    running.kill()
    assert upstreams.limits[2] == instance_task.AGAIN_S
    core.held("i-1", fleets.held(), 0.0, clock.monotonic())
    assert instance.usable(clock.monotonic())
