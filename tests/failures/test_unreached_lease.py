"""The lease of runs on an unreachable instance."""

import types

import gevent.event

from tests.common import clocks
from tests.common import fleets
from vanillaswitch.coordination.fleet.instances import instance_task
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.protocol import fleet

_NEVER_SENT = fleet.NoAnswer(False, "no connection")


class _UnreachableUpstreams:
    """Calls to an instance behind a network partition.

    Attributes:
        outcome: outcome of each call; at first, the call was never sent.
    """

    def __init__(self, clock):
        self._clock = clock
        self.outcome = _NEVER_SENT

    def hold(
        self, target, token, seen, deadline_ms, wait_s, timeout_s, fresh=False
    ):
        del target, token, seen, deadline_ms, wait_s, fresh
        self._clock.advance(timeout_s)
        return self.outcome

    def start(self, target, order, timeout_s, fresh):
        del target, order, fresh
        self._clock.advance(timeout_s)
        return self.outcome


def _silent_instance():
    """Returns an owner whose instance became silent with a job's tasks."""
    clock = clocks.ManualClock()
    core = fleets.new_core()
    fleets.adopt(core, "i-1", now=clock.monotonic())
    core.job_added(fleets.job(), clock.monotonic())
    batch = fleets.plan(core, clock.monotonic())
    fleets.run_all(core, batch)
    recorder = types.SimpleNamespace(token=9, deposed=False, confirmed_at=0.0)
    means = instance_task.Means(
        core,
        _UnreachableUpstreams(clock),
        recorder,
        clock,
        gevent.event.Event(),
    )
    task = instance_task.InstanceTask(means, "i-1")
    core.instances["i-1"].lapses_at = lease_times.lapses_at(clock.monotonic())
    core.silent("i-1", clock.monotonic())
    return core, means, task


def _renew_for(core, means, task, seconds):
    """Keeps trying to renew the lease for some seconds."""
    until = means.clock.monotonic() + seconds
    while means.clock.monotonic() < until:
        means.recorder.confirmed_at = means.clock.monotonic()
        task._hold(core.instances["i-1"], again=True)
        core.lapse(means.clock.monotonic())


def test_a_lease_expires_while_renewals_are_never_sent():
    """Guards against tasks that wait until a network partition heals.

    The owner tried to renew the lease twice a second. Each attempt counted as
    a new lease, even without a connection that could have carried it, so the
    lease never expired for the owner and no task started elsewhere.
    """
    core, means, task = _silent_instance()
    _renew_for(core, means, task, lease_times.HOLD_S + 1.0)
    assert not core.instances["i-1"].runs


def test_a_lease_does_not_expire_while_sent_renewals_are_unanswered():
    """Guards against a second run while the instance only can't answer."""
    core, means, task = _silent_instance()
    means.upstreams.outcome = fleet.NoAnswer(True, "no answer")
    _renew_for(core, means, task, 3 * lease_times.HOLD_S)
    assert core.instances["i-1"].runs


def test_a_sent_renewal_extends_the_lease_although_later_ones_are_not_sent():
    """Guards against a second run before the lease of a sent renewal expires.

    The instance may have received that renewal without being able to answer.
    """
    core, means, task = _silent_instance()
    _renew_for(core, means, task, lease_times.HOLD_S - 1.0)
    means.upstreams.outcome = fleet.NoAnswer(True, "no answer")
    task._hold(core.instances["i-1"], again=True)
    means.upstreams.outcome = _NEVER_SENT
    _renew_for(core, means, task, lease_times.HOLD_S - 1.0)
    assert core.instances["i-1"].runs
    _renew_for(core, means, task, 2.0)
    assert not core.instances["i-1"].runs
