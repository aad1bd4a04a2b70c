"""Value of the order of a queue in a burst beyond the capacity.

Jobs arrive at five times their mean rate for 6 s. The pool is small at first,
and the instances that join it 2.6 s later can run only a part of the jobs. With
least slack first, each job starts when it has just enough time left, and misses
its objective by the error of its estimate.
"""

import statistics

import pytest

from standins import turns
from vanillaswitch.coordination.fleet.queue import queue_order

OVERLOAD = turns.Turn(jobs_per_s=35.0, instances=3, more=22, length_s=6.0)
ENOUGH_CAPACITY = turns.Turn(
    jobs_per_s=35.0, instances=36, more=36, length_s=4.0
)


def _credit(order, burst):
    outcomes = [turns.replay(order, burst, seed) for seed in (1, 2)]
    return statistics.mean(outcome.credit for outcome in outcomes)


@pytest.mark.parametrize("other", ["slack", "arrival"])
def test_headroom_earns_much_more_in_a_burst_beyond_the_capacity(other):
    assert _credit("headroom", OVERLOAD) > _credit(other, OVERLOAD) + 0.1


def test_headroom_loses_no_credit_with_capacity_for_all_jobs():
    assert _credit("headroom", ENOUGH_CAPACITY) > 0.98


def test_the_largest_jobs_are_in_time_at_least_half_as_often_as_all():
    outcomes = [turns.replay("headroom", OVERLOAD, seed) for seed in (1, 2, 3)]
    large = statistics.mean(outcome.large_in_time for outcome in outcomes)
    whole = statistics.mean(outcome.in_time for outcome in outcomes)
    assert large >= whole / 2


@pytest.mark.parametrize("order", queue_order.ORDERS.names)
def test_every_job_of_a_burst_ends(order):
    outcome = turns.replay(order, OVERLOAD, 4)
    assert outcome.last_s < 20.0
