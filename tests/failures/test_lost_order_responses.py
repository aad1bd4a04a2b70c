"""Orders that take effect but whose answers get lost."""

import gevent
import gevent.event
import pytest

from standins import leased_instance
from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import wave_doubles
from vanillaswitch.coordination.fleet.instances import instance_client
from vanillaswitch.coordination.fleet.instances import stop_orders
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform

LOST = fleet.NoAnswer(True, "no answer")


class _LossyUpstreams:
    """Carries out each order on an instance and loses some of the answers.

    Attributes:
        lose: kinds of orders; the next answer to each entry gets lost.
        calls: received orders: kind, and whether on a new connection.
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

    def renew_lease(
        self, target, token, seen, deadline_ms, wait_s, timeout_s, fresh=False
    ):
        del target, timeout_s
        gevent.sleep(min(wait_s, 0.02))
        outcome = self._model.renew_lease(token, seen, deadline_ms)
        return self._answer("hold", outcome, fresh)


class _AcceptingTable:
    """A table that commits every transaction."""

    def commit(self, transaction):
        del transaction
        return platform.Committed(7)


class _Harness:
    """One instance, the calls to it and the owner's decisions."""

    def __init__(self, *lose):
        self.scheduler = fleet_builders.new_scheduler()
        self.clock = clocks.SystemClock()
        registration = fleet_builders.registration("i-1")
        self.scheduler.handle_registration(registration, self.clock.monotonic())
        self.model = leased_instance.LeasedInstance(registration)
        self.upstreams = _LossyUpstreams(self.model, *lose)
        owner = fenced_writer.OwnerRow("edge-1", "a:1", "boot-1")
        self.writer = fenced_writer.FencedWriter(
            _AcceptingTable(), self.clock, owner
        )
        assert self.writer.take_over(0, 0.0)
        means = instance_client.CallContext(
            self.scheduler,
            self.upstreams,
            self.writer,
            self.clock,
            gevent.event.Event(),
        )
        self.task = instance_client.InstanceClient(means, "i-1")
        self.renewals = gevent.spawn(self.task.run_until_gone)
        gevent.sleep(0.1)

    def start_all(self):
        """Starts the tasks of one job."""
        self.scheduler.add_job(fleet_builders.job(), self.clock.monotonic())
        self.scheduler.plan(self.clock.monotonic(), fleet_builders.WALL_MS)
        for order in self.scheduler.take_batch(10).starts:
            self.task.send_start(order)
        gevent.sleep(0.4)

    def runs(self):
        return self.scheduler.instances["i-1"].runs

    def fresh_flags(self, kind):
        """Returns, for each order of a kind, whether its connection was new."""
        return [
            fresh for called, fresh in self.upstreams.calls if called == kind
        ]

    def close(self):
        self.writer.end_term()
        self.renewals.kill()


def _harness(*lose):
    return _Harness(*lose)


def test_a_start_with_a_lost_answer_is_sent_again_and_runs_once():
    """Guards against a second run and against waiting for a lease to expire.

    The instance started the task and its answer got lost. The same run is
    sent again on a new connection, and the instance accepts it as running.
    """
    harness = _harness("start", "start")
    try:
        harness.start_all()
        assert len(harness.model.started) == 2
        assert all(run.confirmed for run in harness.runs().values())
        assert sorted(harness.fresh_flags("start")) == [
            False,
            False,
            True,
            True,
        ]
    finally:
        harness.close()


def test_a_stop_with_a_lost_answer_is_sent_again_and_ends_the_run_once():
    """Guards against a cancelled task that runs on or keeps its capacity."""
    harness = _harness("stop", "stop")
    try:
        harness.start_all()
        now = harness.clock.monotonic()
        harness.scheduler.cancel_job(fleet_builders.job().job_id, now)
        for _ in range(3):
            for order in harness.scheduler.take_stops():
                harness.task.send_stop(order)
            gevent.sleep(0.05)
            now += stop_orders.STOP_RESEND_S
            harness.scheduler.resend_stops(now)
        gevent.sleep(0.1)
        assert not harness.model.running
        assert [end.outcome for end in harness.model.listed] == [
            fleet.RunOutcome.STOPPED,
            fleet.RunOutcome.STOPPED,
        ]
        assert not harness.runs()
        assert harness.scheduler.instances["i-1"].used_cpu == 0
    finally:
        harness.close()


def test_a_lost_status_report_is_requested_again_and_its_ends_count_once():
    """Guards against a job that stays open although its tasks have ended.

    The answer that reported the ends got lost. The instance reports each end
    until it is acknowledged, which happens only after the end was written.
    """
    harness = _harness()
    try:
        harness.start_all()
        harness.upstreams.lose = ["hold"]
        for task in list(harness.model.running):
            harness.model.end(task, fleet.RunOutcome.DONE)
        gevent.sleep(0.5)
        assert not harness.upstreams.lose
        assert True in harness.fresh_flags("hold")
        entry = harness.scheduler.tracker.get(fleet_builders.job().job_id)
        assert entry.ended is not None
        assert not harness.runs()
        assert harness.model.acknowledged == 0
        harness.task.mark_ends_recorded(
            2, harness.scheduler.instances["i-1"].incarnation
        )
        gevent.sleep(0.5)
        assert harness.model.acknowledged == 2
        assert len(harness.model.noted) == 2
    finally:
        harness.close()


class _Machines:
    """Accepts maintenance orders but loses the first answers.

    Attributes:
        lost: how many answers get lost.
        orders: received orders: machine, wave and token.
    """

    def __init__(self, lost):
        self.lost = lost
        self.orders = []

    def maintain(self, machine, wave, token):
        self.orders.append((machine, wave, token))
        if len(self.orders) <= self.lost:
            return LOST
        return fleet.Accepted(0.0)


class _Term:
    """A term whose newest token grows between two orders."""

    def __init__(self):
        self._newest = 10

    @property
    def last_written_version(self):
        self._newest += 1
        return self._newest

    def may_operate_machines(self):
        return True


@pytest.mark.parametrize("lost", [1, 3])
def test_an_unanswered_maintenance_order_is_settled_before_the_next_machine(
    lost,
):
    """Guards against more machines in maintenance than the operators allow.

    An unanswered order may take effect at any moment. So the same order is
    sent again until it is answered, before the next machine is ordered.
    """
    names = ("m-1", "m-2")
    clock = manual.ManualClock()
    machines = _Machines(lost)
    controller = wave_controller.WaveController(
        fleet_builders.new_scheduler(),
        machines,
        wave_doubles.WaveStore(*names),
        _Term(),
        fleet_builders.deployment().bounds,
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
        controller.step(listed)
        clock.advance(0.25)
    ordered = {machine for machine, _, _ in machines.orders}
    assert len(ordered) == 1
    tokens = [token for _, _, token in machines.orders]
    assert len(tokens) == lost + 1
    assert tokens == sorted(set(tokens))
    wave = controller._waves["wave/1"]
    assert waves.count_in_maintenance(wave) == 1
