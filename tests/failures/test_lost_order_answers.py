"""Orders that are carried out and whose answers get lost."""

import gevent
import gevent.event
import pytest

from standins import leased_instance
from tests.common import clocks as manual
from tests.common import fleets
from tests.common import upkeep
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.instances import stops
from vanillaswitch.coordination.fleet.machines import wave_driver
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform

LOST = fleet.NoAnswer(True, "no answer")


class _Losing:
    """Carries out each order of an instance and loses some of the answers.

    Attributes:
        lose: kinds of orders whose next answer gets lost.
        calls: orders as they came, by kind, and whether on a new connection.
    """

    def __init__(self, model, *lose):
        self._model = model
        self.lose = list(lose)
        self.calls = []

    def _answer(self, kind, outcome, fresh):
        self.calls.append((kind, fresh))
        if kind in self.lose:
            self.lose.remove(kind)
            return LOST
        return outcome

    def start(self, target, order, timeout_s, fresh):
        del target, timeout_s
        outcome = self._model.start(order, fleet.Resources(1000, 0))
        return self._answer("start", outcome, fresh)

    def stop(self, target, task, run, token, timeout_s):
        del target, timeout_s
        return self._answer("stop", self._model.stop(task, run, token), False)

    def hold(
        self, target, token, seen, deadline_ms, wait_s, timeout_s, fresh=False
    ):
        del target, timeout_s
        gevent.sleep(min(wait_s, 0.02))
        outcome = self._model.hold(token, seen, deadline_ms)
        return self._answer("hold", outcome, fresh)


class _Rows:
    """Takes every write."""

    def commit(self, transaction):
        del transaction
        return platform.Committed(7)


class _World:
    """One instance, its calls, and the decisions about them."""

    def __init__(self, *lose):
        self.core = fleets.new_core()
        self.clock = clocks.SystemClock()
        registration = fleets.registration("i-1")
        self.core.registered(registration, self.clock.monotonic())
        self.model = leased_instance.LeasedInstance(registration)
        self.calls = _Losing(self.model, *lose)
        me = recorders.OwnerRow("edge-1", "a:1", "boot-1")
        self.recorder = recorders.Recorder(_Rows(), self.clock, me)
        assert self.recorder.take_over(0, 0.0)
        means = instance_task.Means(
            self.core,
            self.calls,
            self.recorder,
            self.clock,
            gevent.event.Event(),
        )
        self.task = instance_task.InstanceTask(means, "i-1")
        self.holding = gevent.spawn(self.task.run)
        gevent.sleep(0.1)

    def start_all(self):
        """Starts the tasks of one job."""
        self.core.job_added(fleets.job(), self.clock.monotonic())
        self.core.plan(self.clock.monotonic(), fleets.WALL_MS)
        for order in self.core.take_batch(10).starts:
            self.task.send_start(order)
        gevent.sleep(0.4)

    def runs(self):
        return self.core.instances["i-1"].runs

    def kinds(self, kind):
        return [fresh for called, fresh in self.calls.calls if called == kind]

    def close(self):
        self.recorder.depose()
        self.holding.kill()


def _world(*lose):
    return _World(*lose)


def test_a_start_whose_answer_is_lost_is_asked_about_and_runs_once():
    """A quote is worked on twice, or its task waits for a lease to lapse.

    The instance started the task and its answer got lost. The same run is
    sent again on a new connection, which the instance accepts as there.
    """
    world = _world("start", "start")
    try:
        world.start_all()
        assert len(world.model.started) == 2
        assert all(run.confirmed for run in world.runs().values())
        assert sorted(world.kinds("start")) == [False, False, True, True]
    finally:
        world.close()


def test_a_stop_whose_answer_is_lost_is_sent_again_and_ends_once():
    """A cancelled job's task runs on, or its room is never given back."""
    world = _world("stop", "stop")
    try:
        world.start_all()
        now = world.clock.monotonic()
        world.core.cancelled(fleets.job().job_id, now)
        for _ in range(3):
            for order in world.core.take_stops():
                world.task.send_stop(order)
            gevent.sleep(0.05)
            now += stops.STOP_RESEND_S
            world.core.stop_again(now)
        gevent.sleep(0.1)
        assert not world.model.running
        assert [end.how for end in world.model.listed] == [
            fleet.How.STOPPED,
            fleet.How.STOPPED,
        ]
        assert not world.runs()
        assert world.core.instances["i-1"].used_cpu == 0
    finally:
        world.close()


def test_an_account_that_is_lost_is_asked_for_again_and_noted_once():
    """A job stays open though its tasks have ended.

    The answer that listed the ends got lost. They are listed until they are
    acknowledged, and that only happens once they were written.
    """
    world = _world()
    try:
        world.start_all()
        world.calls.lose = ["hold"]
        for task in list(world.model.running):
            world.model.end(task, fleet.How.DONE)
        gevent.sleep(0.5)
        assert not world.calls.lose
        assert True in world.kinds("hold")
        entry = world.core.book.get(fleets.job().job_id)
        assert entry.ended is not None
        assert not world.runs()
        assert world.model.acknowledged == 0
        world.task.recorded(2, world.core.instances["i-1"].life)
        gevent.sleep(0.5)
        assert world.model.acknowledged == 2
        assert len(world.model.noted) == 2
    finally:
        world.close()


class _Machines:
    """Begins an upkeep once for all copies of its order, and answers late."""

    def __init__(self, lost):
        self.lost = lost
        self.orders = []

    def maintain(self, machine, wave, token):
        self.orders.append((machine, wave, token))
        if len(self.orders) <= self.lost:
            return LOST
        return fleet.Accepted(0.0)


class _Term:
    """A term that writes between two orders."""

    def __init__(self):
        self._newest = 10

    @property
    def newest(self):
        self._newest += 1
        return self._newest

    def may_order(self):
        return True


@pytest.mark.parametrize("lost", [1, 3])
def test_an_upkeep_whose_answer_is_lost_holds_its_place_until_it_is_known(
    lost,
):
    """More machines of a wave are down than the operators allow.

    The order for one got no answer, so that it may begin at any moment; the
    next machine was not to be ordered before the same order was answered.
    """
    names = ("m-1", "m-2")
    clock = manual.ManualClock()
    machines = _Machines(lost)
    driver = wave_driver.WaveDriver(
        fleets.new_core(),
        machines,
        upkeep.Board(*names),
        _Term(),
        fleets.deployment().bounds,
        lambda: {"spare": 0},
        frozenset,
        clock,
        lambda _: None,
    )
    listed = {
        name: fleet.Machine(
            name,
            "spare",
            fleet.MachineState.UP,
            "zone-1",
            "",
            fleet.Resources(4000, 32_000),
        )
        for name in names
    }
    for _ in range(lost + 3):
        driver.step(listed)
        clock.advance(0.25)
    ordered = {machine for machine, _, _ in machines.orders}
    assert len(ordered) == 1
    tokens = [token for _, _, token in machines.orders]
    assert len(tokens) == lost + 1
    assert tokens == sorted(set(tokens))
    wave = driver._waves["wave/1"]
    assert waves.down(wave) == 1
