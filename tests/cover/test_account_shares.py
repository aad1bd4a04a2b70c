"""Tests of the shares of client accounts when all is full."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import turns
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.accounts import shares
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import jobs

WINDOW_S = 5.0

HOT = turns.Turn(accounts=10, hot_x=7.5, share_x=1.9)
"""One of ten accounts asks for 7.5 times its usual in a burst."""

SHARE_ABOVE_USUAL = (HOT.share_x - 1.0) / HOT.accounts
"""What the account may take from the others, as a share of all work."""


@given(
    st.lists(st.floats(0.0, 60.0), min_size=1, max_size=200),
    st.floats(0.2, 10.0),
)
def test_jobs_within_the_share_never_exceed_it_in_any_window(times, weight):
    tracker = shares.ShareTracker(WINDOW_S)
    within = [
        at
        for at in sorted(times)
        if not tracker.is_over_share("mare", weight, at)
    ]
    for end in within:
        recent = [at for at in within if end - WINDOW_S < at <= end]
        assert len(recent) <= max(1.0, weight * WINDOW_S) + 1


@given(st.lists(st.floats(0.0, 60.0), max_size=200))
def test_account_without_a_weight_is_never_over_its_share(times):
    tracker = shares.ShareTracker(WINDOW_S)
    assert not any(tracker.is_over_share("mare", 0.0, at) for at in times)
    assert not any(tracker.is_over_share("", 1.0, at) for at in times)


def test_accounts_do_not_use_up_the_shares_of_each_other():
    tracker = shares.ShareTracker(WINDOW_S)
    for _ in range(100):
        tracker.is_over_share("hot", 1.0, 10.0)
    assert tracker.is_over_share("hot", 1.0, 10.0)
    assert not tracker.is_over_share("mare", 1.0, 10.0)


def _scheduler(weight):
    scheduler = fleet_builders.new_scheduler()
    directory = accounts.AccountDirectory(
        accounts.ClientAccount(name, weight) for name in ("hot", "mare")
    )
    scheduler.apply_config(
        dataclasses.replace(fleet_builders.config(), accounts=directory)
    )
    return scheduler


def test_jobs_over_the_share_start_after_those_of_other_accounts():
    scheduler = _scheduler(1.0)
    fleet_builders.add_instances(scheduler, "i-1")
    step = (jobs.Step(count=1, cpu=1000, estimate_ms=500),)
    for number in range(1, 21):
        scheduler.add_job(
            fleet_builders.job(number, step, account="hot"), number / 1000
        )
    scheduler.add_job(fleet_builders.job(21, step, account="mare"), 0.9)
    batch = fleet_builders.plan_batch(scheduler)
    assert 21 in [int(start.task.job_id, 16) for start in batch.starts]


def test_jobs_over_the_share_start_at_once_where_there_is_room():
    scheduler = _scheduler(0.1)
    fleet_builders.add_instances(scheduler, "i-1")
    step = (jobs.Step(count=1, cpu=1000, estimate_ms=500),)
    for number in (1, 2, 3, 4):
        scheduler.add_job(fleet_builders.job(number, step, account="hot"), 0.5)
    assert len(fleet_builders.plan_batch(scheduler).starts) == 4


@pytest.mark.parametrize("seed", turns.SEEDS)
def test_hot_account_delays_the_others_no_more_than_its_share(seed):
    """Replays a burst in which one account asks for 7.5 times its usual."""
    alone = turns.replay("headroom", turns.Turn(accounts=10), seed)
    shared = turns.replay("headroom", HOT, seed)
    unshared = turns.replay(
        "headroom", dataclasses.replace(HOT, share_x=0.0), seed
    )
    assert shared.others_in_time > unshared.others_in_time
    assert shared.others_in_time > alone.others_in_time - SHARE_ABOVE_USUAL
