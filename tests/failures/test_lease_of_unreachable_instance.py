"""The lease of runs on an unreachable instance."""

import types

import gevent.event

from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.instances import instance_client
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

    def renew_lease(
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
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, "i-1", now=clock.monotonic())
    scheduler.add_job(fleet_builders.job(), clock.monotonic())
    batch = fleet_builders.plan_batch(scheduler, clock.monotonic())
    fleet_builders.accept_starts(scheduler, batch)
    writer = types.SimpleNamespace(
        token=9, is_term_over=False, last_write_sent_at=0.0
    )
    means = instance_client.CallContext(
        scheduler,
        _UnreachableUpstreams(clock),
        writer,
        clock,
        gevent.event.Event(),
    )
    task = instance_client.InstanceClient(means, "i-1")
    scheduler.instances["i-1"].lease_expires_at = lease_times.lease_expiry(
        clock.monotonic()
    )
    scheduler.mark_unresponsive("i-1", clock.monotonic())
    return scheduler, means, task


def _renew_for(scheduler, means, task, seconds):
    """Keeps trying to renew the lease for some seconds."""
    until = means.clock.monotonic() + seconds
    while means.clock.monotonic() < until:
        means.writer.last_write_sent_at = means.clock.monotonic()
        task._renew_lease(scheduler.instances["i-1"], again=True)
        scheduler.release_expired_leases(means.clock.monotonic())


def test_a_lease_expires_while_renewals_are_never_sent():
    """Guards against tasks that wait until a network partition heals.

    The owner tried to renew the lease twice a second. Each attempt counted as
    a new lease, even without a connection that could have carried it, so the
    lease never expired for the owner and no task started elsewhere.
    """
    scheduler, means, task = _silent_instance()
    _renew_for(scheduler, means, task, lease_times.RUN_LEASE_S + 1.0)
    assert not scheduler.instances["i-1"].runs


def test_a_lease_does_not_expire_while_sent_renewals_are_unanswered():
    """Guards against a second run while the instance only can't answer."""
    scheduler, means, task = _silent_instance()
    means.upstreams.outcome = fleet.NoAnswer(True, "no answer")
    _renew_for(scheduler, means, task, 3 * lease_times.RUN_LEASE_S)
    assert scheduler.instances["i-1"].runs


def test_a_sent_renewal_extends_the_lease_although_later_ones_are_not_sent():
    """Guards against a second run before the lease of a sent renewal expires.

    The instance may have received that renewal without being able to answer.
    """
    scheduler, means, task = _silent_instance()
    _renew_for(scheduler, means, task, lease_times.RUN_LEASE_S - 1.0)
    means.upstreams.outcome = fleet.NoAnswer(True, "no answer")
    task._renew_lease(scheduler.instances["i-1"], again=True)
    means.upstreams.outcome = _NEVER_SENT
    _renew_for(scheduler, means, task, lease_times.RUN_LEASE_S - 1.0)
    assert scheduler.instances["i-1"].runs
    _renew_for(scheduler, means, task, 2.0)
    assert not scheduler.instances["i-1"].runs
