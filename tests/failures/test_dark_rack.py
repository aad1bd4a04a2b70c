"""A rack of instances goes dark in the middle of a turn."""

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
    """A list in which some machines run their instance and others are down."""

    def __init__(self, count):
        self.count = count
        self.down = set()

    def list(self):
        return [self._machine(f"m-{n}") for n in range(1, self.count + 1)]

    def _machine(self, name):
        dark = name in self.down
        return fleet.Machine(
            name,
            "berthing",
            fleet.MachineState.DOWN if dark else fleet.MachineState.UP,
            "zone-1",
            "" if dark else name.replace("m", "i"),
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


def test_tasks_of_a_dark_rack_start_elsewhere_within_a_second():
    """Quotes whose tasks ran on a rack that went dark are all late.

    The list of machines shows it at once. It was asked only of instances that
    had been found silent, which takes two calls of theirs, 3 s in all.
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


def test_an_instance_that_is_not_listed_yet_is_not_taken_as_gone():
    """Tasks run twice on a fleet whose list lags behind its instances.

    A new instance registers and is given work a moment before the list of
    machines shows it.
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


def test_an_instance_that_was_heard_of_since_is_not_taken_as_gone():
    """Tasks run twice after one reading of the list that was old."""
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


class _Silent:
    """Answers the first call and no other; notes how long each may take."""

    def __init__(self):
        self.limits = []

    def hold(self, target, token, ack, deadline, wait_s, timeout_s, fresh):
        del target, token, ack, deadline, wait_s, fresh
        self.limits.append(timeout_s)
        if len(self.limits) == 1:
            return fleet.Held(0.0, (), ())
        gevent.sleep(min(timeout_s, 0.05))
        return fleet.NoAnswer(True, "no answer")


def test_an_instance_without_an_answer_gets_no_work_until_it_is_heard_of():
    """Tasks go to a rack for 3 s after it went dark.

    Each waited for the lease of its instance; the call that would have shown
    it was a long one, and a second long one followed it.
    """
    core = fleets.new_core()
    clock = clocks.SystemClock()
    core.registered(fleets.registration("i-1"), clock.monotonic())
    upstreams = _Silent()
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
