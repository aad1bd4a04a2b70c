"""What the order of a queue brings when a turn asks for more than there is.

Quotes arrive at five times their mean rate for 8 s. Their pool is small at
first, and what arrives 2.6 s later carries a part of them. Served by the least
slack, each quote begins when it has just enough time left and misses its
objective by what its estimate was off.
"""

import statistics

import pytest

from standins import turns
from vanillaswitch.coordination.fleet.queue import queue_order

SHORT = turns.Turn(jobs_per_s=35.0, instances=3, more=22, length_s=6.0)
ENOUGH = turns.Turn(jobs_per_s=35.0, instances=36, more=36, length_s=4.0)


def _credit(order, turn):
    played = [turns.replay(order, turn, seed) for seed in (1, 2)]
    return statistics.mean(outcome.credit for outcome in played)


@pytest.mark.parametrize("other", ["slack", "arrival"])
def test_a_turn_beyond_the_room_earns_much_more_by_headroom(other):
    assert _credit("headroom", SHORT) > _credit(other, SHORT) + 0.1


def test_with_room_for_all_nothing_is_lost_by_headroom():
    assert _credit("headroom", ENOUGH) > 0.98


def test_the_largest_jobs_are_served_at_least_half_as_often():
    played = [turns.replay("headroom", SHORT, seed) for seed in (1, 2, 3)]
    large = statistics.mean(outcome.large_in_time for outcome in played)
    whole = statistics.mean(outcome.in_time for outcome in played)
    assert large >= whole / 2


@pytest.mark.parametrize("order", queue_order.ORDERS.names)
def test_every_job_of_a_turn_ends(order):
    outcome = turns.replay(order, SHORT, 4)
    assert outcome.last_s < 20.0
