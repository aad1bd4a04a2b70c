"""Tests of what client accounts may have running."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.common import account_histories
from tests.common import fleet_builders
from tests.common import owner_histories
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

TestAccounts = account_histories.AccountMachine.TestCase
TestAccounts.settings = hypothesis.settings(
    max_examples=60,
    stateful_step_count=50,
    deadline=None,
    derandomize=True,
    suppress_health_check=list(hypothesis.HealthCheck),
)

_QUANTITY = st.integers(0, 10_000)
_RESOURCES = st.builds(
    accounts.ResourceLimit, _QUANTITY, _QUANTITY, st.integers(0, 8)
)


@pytest.mark.parametrize("changes_limits", [False, True])
@pytest.mark.parametrize("seed", range(20))
def test_a_busy_random_history_keeps_every_limit(seed, changes_limits):
    chooser = random.Random(seed)
    machine = account_histories.AccountMachine()
    happening = owner_histories.busy_events(machine, chooser)
    if changes_limits:
        happening[
            lambda: machine.change_limit(
                chooser.choice(account_histories.ACCOUNTS),
                chooser.choice(account_histories.LIMITS),
            )
        ] = 1.0
    for _ in range(300):
        chooser.choices(list(happening), list(happening.values()))[0]()
        machine.usage_is_that_of_the_runs()
        machine.record_done_tasks()
        machine.capacity_is_kept()


@hypothesis.given(
    limit=_RESOURCES,
    used=_RESOURCES,
    step=st.builds(
        jobs.Step,
        count=st.integers(1, 20),
        cpu=_QUANTITY,
        mem_mb=_QUANTITY,
        gpu=st.integers(0, 4),
        gang=st.booleans(),
    ),
)
def test_startable_tasks_stay_within_the_limit_or_one_runs_alone(
    limit, used, step
):
    count = limits.startable_count(limit, used, step, step.count)
    at_once = step.count if step.gang else 1
    assert 0 <= count <= step.count
    assert count % at_once == 0
    runs_alone = used == limits.NO_LIMIT and count == 1 and not step.gang
    for quantity in ("cpu", "mem_mb", "gpu"):
        most = getattr(limit, quantity)
        need = getattr(step, quantity)
        taken = getattr(used, quantity)
        if not most or not need or not count:
            continue
        assert taken + need * count <= most or runs_alone


def _configure(scheduler, **cpu_limits):
    directory = accounts.AccountDirectory(
        accounts.ClientAccount(name, limit=accounts.ResourceLimit(cpu))
        for name, cpu in cpu_limits.items()
    )
    config = dataclasses.replace(fleet_builders.config(), accounts=directory)
    scheduler.apply_config(config)


def _started(batch):
    return [int(start.task.job_id, 16) for start in batch.starts]


def test_account_at_its_limit_does_not_block_the_jobs_behind_it():
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=2000, sahel=2000)
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    step = (jobs.Step(count=4, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, step, account="mare"), 0.0)
    scheduler.add_job(fleet_builders.job(2, step, account="sahel"), 0.5)
    assert sorted(_started(fleet_builders.plan_batch(scheduler))) == [
        1,
        1,
        2,
        2,
    ]


def test_tasks_that_a_limit_holds_up_ask_for_no_machines():
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=2000)
    fleet_builders.add_instances(scheduler, "i-1")
    step = (jobs.Step(count=40, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, step, account="mare"), 0.0)
    fleet_builders.plan_batch(scheduler)
    assert scheduler.backlog_cpu["berthing"] == 0


def test_large_task_of_an_account_is_not_overtaken_by_its_small_ones():
    """Guards against an accepted job that its account's other jobs starve."""
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=4000)
    fleet_builders.add_instances(scheduler, "i-1", "i-2", "i-3")
    small = (jobs.Step(count=1, cpu=1000),)
    large = (jobs.Step(count=1, cpu=3500),)
    scheduler.add_job(fleet_builders.job(1, small, account="mare"), 0.0)
    assert _started(fleet_builders.plan_batch(scheduler)) == [1]
    scheduler.add_job(fleet_builders.job(2, large, account="mare"), 1.0)
    for number in (3, 4, 5):
        job = fleet_builders.job(number, small, account="mare")
        scheduler.add_job(job, 1.0 + number / 100)
    assert not fleet_builders.plan_batch(scheduler, 1.1).starts


def test_small_task_that_arrives_last_finds_the_limit_kept():
    """Guards against a limit that overtaking orders break.

    With 9,500 of 20,000 in use a task of 16,000 started, as the account used
    less than half. Its order overtook those of smaller tasks.
    """
    step = jobs.Step(count=1, cpu=16_000)
    limit = accounts.ResourceLimit(20_000)
    used = accounts.ResourceLimit(9500)
    assert limits.startable_count(limit, used, step, 1) == 0


def test_end_of_a_task_lets_the_next_one_of_its_account_start():
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=2000)
    fleet_builders.add_instances(scheduler, "i-1")
    step = (jobs.Step(count=3, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, step, account="mare"), 0.0)
    batch = fleet_builders.plan_batch(scheduler)
    fleet_builders.accept_starts(scheduler, batch)
    first = batch.starts[0]
    end = fleet.RunEnd(1, first.task, first.run, fleet.RunOutcome.DONE, "")
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((end,)), 3.0, 3.0
    )
    assert len(fleet_builders.plan_batch(scheduler, 3.0).starts) >= 1


def test_lowered_limit_stops_nothing():
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=4000)
    fleet_builders.add_instances(scheduler, "i-1", "i-2")
    step = (jobs.Step(count=8, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, step, account="mare"), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 4
    _configure(scheduler, mare=1000)
    assert not fleet_builders.plan_batch(scheduler, 2.0).starts
    assert not scheduler.take_stops()


def test_new_owner_counts_the_runs_of_the_previous_one():
    """Guards against an account that gets its limit anew with each owner."""
    previous = fleet_builders.new_scheduler()
    _configure(previous, mare=2000)
    fleet_builders.add_instances(previous, "i-1", "i-2")
    step = (jobs.Step(count=4, cpu=1000),)
    job = fleet_builders.job(1, step, account="mare")
    previous.add_job(job, 0.0)
    batch = fleet_builders.plan_batch(previous)
    row = batch.entries[0].to_document()
    owner = fleet_builders.new_scheduler()
    _configure(owner, mare=2000)
    fleet_builders.add_instances(owner, "i-1", "i-2", now=2.0)
    owner.restore(job, row, 1, 2.0)
    owner.recover_runs(2.0, 10.0)
    assert not fleet_builders.plan_batch(owner, 2.0).starts


def test_accepted_task_above_a_lowered_limit_runs_alone():
    """Guards against an accepted job that can never run."""
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler, mare=500)
    fleet_builders.add_instances(scheduler, "i-1")
    step = (jobs.Step(count=2, cpu=1000),)
    scheduler.add_job(fleet_builders.job(1, step, account="mare"), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 1


def test_account_that_was_dropped_has_its_accepted_jobs_run():
    scheduler = fleet_builders.new_scheduler()
    _configure(scheduler)
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(account="mare"), 0.0)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 2


def test_limit_that_holds_tasks_up_is_told_once():
    told = []
    scheduler = fleet_builders.new_scheduler()
    scheduler._emit = told.append
    _configure(scheduler, mare=1000)
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(fleet_builders.job(account="mare"), 0.0)
    for now in (1.0, 1.1, 1.2):
        fleet_builders.plan_batch(scheduler, now)
    limited = [e for e in told if isinstance(e, events.AccountAtLimit)]
    assert limited == [events.AccountAtLimit("mare", "1000/1000", "0/0", "0/0")]
