"""Instances that are kept free for tasks which room alone would not start."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.coordination.fleet.queue import reservations
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.state import deployment as deployments

_ACCOUNTS = ("mare", "sahel", "cove")
_OTHER = "reef"
_SHORT = jobs.Step(count=1, cpu=1000, mem_mb=256, estimate_ms=500)
_SHORT_JOB = 255
_CPU = 16_000


def _scheduler(limit=None, advice=None, row_bytes=65_536, emit=lambda _: None):
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER),
        emit,
        deployments.Bounds(max_row_bytes=row_bytes),
    )
    _configure(scheduler, limit, advice)
    return scheduler


def _configure(scheduler, limit=None, advice=None):
    """Gives all accounts but one a limit."""
    directory = accounts.AccountDirectory(
        [
            accounts.ClientAccount(
                name, limit=limit or accounts.ResourceLimit()
            )
            for name in _ACCOUNTS
        ]
        + [accounts.ClientAccount(_OTHER)]
    )
    config = fleet_builders.config(advice=advice)
    scheduler.apply_config(dataclasses.replace(config, accounts=directory))


def _add_instances(scheduler, count, cpu=_CPU):
    names = [f"i-{number}" for number in range(count)]
    fleet_builders.add_instances(scheduler, *names, cpu=cpu)


def _add_lasting_jobs(scheduler, count=2, cpu=800, mem_mb=256):
    """Adds a job of each account with a limit."""
    step = jobs.Step(count=count, cpu=cpu, mem_mb=mem_mb, long_running=True)
    for number, account in enumerate(_ACCOUNTS, 1):
        job = fleet_builders.job(number, (step,), account=account)
        scheduler.add_job(job, 0.0)


def _starts_short_job(scheduler, now=5.0):
    job = fleet_builders.job(_SHORT_JOB, (_SHORT,), account=_OTHER)
    scheduler.add_job(job, now)
    batch = fleet_builders.plan_batch(scheduler, now)
    return any(start.task.job_id == job.job_id for start in batch.starts)


@pytest.mark.parametrize("instances", [1, 2, 3])
@pytest.mark.parametrize("count", [2, 40])
@pytest.mark.parametrize(
    "limit",
    [accounts.ResourceLimit(cpu=1000), accounts.ResourceLimit(mem_mb=300)],
)
def test_tasks_beyond_the_limits_of_their_accounts_keep_no_instance_idle(
    limit, count, instances
):
    """Guards against an empty pool that starts nothing of other accounts."""
    scheduler = _scheduler(limit)
    _add_instances(scheduler, instances)
    _add_lasting_jobs(scheduler, count)
    first = fleet_builders.plan_batch(scheduler)
    assert len(first.starts) == len(_ACCOUNTS)
    fleet_builders.accept_starts(scheduler, first)
    fleet_builders.plan_batch(scheduler, 4.0)
    assert not scheduler.reserved_instances()
    assert _starts_short_job(scheduler)


def test_tasks_without_room_in_the_rows_of_their_jobs_keep_no_instance_idle():
    """Guards against the same where no account has a limit."""
    scheduler = _scheduler(row_bytes=16_384)
    _add_instances(scheduler, 3)
    _add_lasting_jobs(scheduler, count=700, cpu=8, mem_mb=1)
    now = 1.0
    while batch := fleet_builders.plan_batch(scheduler, now):
        if not batch.starts:
            break
        fleet_builders.accept_starts(scheduler, batch)
        now += 1.0
    assert any(entry.counts.waiting for entry in scheduler.tracker)
    assert not scheduler.reserved_instances()
    assert not scheduler.backlog_cpu["berthing"]
    assert _starts_short_job(scheduler, now)


def test_a_gang_that_would_not_fit_beside_lasting_tasks_keeps_none_idle():
    """Guards against an idle instance kept for work that can never start."""
    scheduler = _scheduler()
    _add_instances(scheduler, 2, cpu=4000)
    lasting = jobs.Step(count=1, cpu=3000, long_running=True)
    scheduler.add_job(fleet_builders.job(1, (lasting,)), 0.0)
    fleet_builders.plan_batch(scheduler)
    gang = jobs.Step(count=2, cpu=3000, long_running=True, gang=True)
    scheduler.add_job(fleet_builders.job(2, (gang,)), 1.0)
    fleet_builders.plan_batch(scheduler, 2.0)
    assert not scheduler.reserved_instances()


def test_a_step_without_a_ticket_reserves_an_instance_for_a_while_only():
    """Guards against an idle pool while the advisor answers no calls."""
    advice = fleet.AdvisorConfig(100.0, 10.0, 5000.0)
    scheduler = _scheduler(advice=advice)
    queue = scheduler.queues["quotes"]
    plain = dataclasses.replace(queue, name="plain", prefix="/p/", advice=None)
    scheduler.queues = dict(scheduler.queues) | {"plain": plain}
    _add_instances(scheduler, 1)
    _add_lasting_jobs(scheduler)
    fleet_builders.plan_batch(scheduler, 1.0)
    assert scheduler.reserved_instances() == {"i-0"}
    later = 1.0 + reservations.TICKET_WAIT_S
    job = fleet_builders.job(_SHORT_JOB, (_SHORT,), queue="plain")
    scheduler.add_job(job, later)
    assert len(fleet_builders.plan_batch(scheduler, later).starts) == 1
    assert not scheduler.reserved_instances()


def test_a_reservation_ends_when_a_limit_is_what_its_step_waits_for():
    """Guards against machines that stay in a pool for an old reservation."""
    told = []
    scheduler = _scheduler(emit=told.append)
    _add_instances(scheduler, 2, cpu=4000)
    short = jobs.Step(count=8, cpu=1000)
    scheduler.add_job(fleet_builders.job(9, (short,), account=_OTHER), 0.0)
    fleet_builders.plan_batch(scheduler)
    _add_lasting_jobs(scheduler, count=1, cpu=2000)
    fleet_builders.plan_batch(scheduler, 2.0)
    assert len(scheduler.reserved_instances()) == 1
    _configure(scheduler, accounts.ResourceLimit(cpu=1))
    for account in _ACCOUNTS:
        # An account with nothing running may exceed its limit with one task.
        scheduler.account_usage.add_tasks(account, jobs.Step(1, cpu=1), 1)
    fleet_builders.plan_batch(scheduler, 3.0)
    assert not scheduler.reserved_instances()
    names = [
        event.instance
        for event in told
        if isinstance(event, events.InstanceReserved)
    ]
    assert [bool(name) for name in names] == [True, False]


_LASTING_STEPS = st.builds(
    jobs.Step,
    count=st.integers(1, 6),
    cpu=st.sampled_from([500, 2000, 3500, 4000, 5000]),
    mem_mb=st.sampled_from([100, 16_000]),
    long_running=st.just(True),
    gang=st.booleans(),
    anti_affinity=st.integers(0, 2),
)
_SHORT_STEPS = st.builds(
    jobs.Step,
    count=st.integers(1, 12),
    cpu=st.sampled_from([300, 1000, 2500]),
)


@hypothesis.given(
    size=st.integers(1, 7),
    lasting=st.lists(
        st.tuples(_LASTING_STEPS, st.sampled_from(_ACCOUNTS)), max_size=8
    ),
    short=st.lists(_SHORT_STEPS, max_size=4),
    limit=st.sampled_from([0, 1000, 4000]),
    suspects=st.sets(st.integers(0, 7)),
)
@hypothesis.settings(deadline=None, max_examples=150, derandomize=True)
def test_reserved_instances_lack_room_and_are_half_of_a_pool_at_most(
    size, lasting, short, limit, suspects
):
    scheduler = _scheduler(accounts.ResourceLimit(cpu=limit))
    _add_instances(scheduler, size, cpu=4000)
    for number, step in enumerate(short, 100):
        scheduler.add_job(
            fleet_builders.job(number, (step,), account=_OTHER), 0.0
        )
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    for number, (step, account) in enumerate(lasting, 1):
        job = fleet_builders.job(number, (step,), account=account)
        scheduler.add_job(job, 1.0)
        if number in suspects:
            entry = scheduler.tracker.get(job.job_id)
            (opened,) = entry.open_due_steps(fleet_builders.WALL_MS)
            opened.has_crashed = opened.task(0).is_suspect = True
    fleet_builders.plan_batch(scheduler, 3.0)
    reserved = scheduler.reserved_instances()
    assert len(reserved) <= max(1, size // 2)
    for entry in scheduler.tracker:
        for step in entry.open_steps_by_key.values():
            if not step.reserved_instance or step.step.gang:
                continue
            instance = scheduler.instances[step.reserved_instance]
            assert not instance.has_capacity_for(step.demand) or (
                step.has_crashed and instance.has_unproven_run
            )
