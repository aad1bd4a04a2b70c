"""Tests the planners of moves between pools."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import spare_capacity

SPARE = spare_capacity.SPARE_POOL
POOLS = ("a", "b", "c")

by_pool = st.fixed_dictionaries(
    dict.fromkeys((*POOLS, SPARE), st.integers(0, 5))
)


def held_of(counts):
    numbers = itertools.count()
    return {
        pool: [
            move_planner.PoolWorker(f"w{number:02}", f"r{number % 3}")
            for number in itertools.islice(numbers, count)
        ]
        for pool, count in counts.items()
    }


def counts_after(held, planned):
    counts = {pool: len(workers) for pool, workers in held.items()}
    for move in planned:
        counts[move.source] -= 1
        counts[move.target] += 1
    return counts


def count_missing(counts, needs):
    return sum(max(0, needs[pool] - counts[pool]) for pool in POOLS)


@given(by_pool, by_pool)
def test_a_plan_fills_all_it_can_with_the_fewest_moves(counts, needs):
    held = held_of(counts)
    planned = move_planner.plan_fewest_moves(held, needs)
    filling = [move for move in planned if move.target != SPARE]
    need = sum(needs[pool] for pool in POOLS)
    shortage = max(0, need - sum(counts.values()))
    assert count_missing(counts_after(held, planned), needs) == shortage
    assert len(filling) == count_missing(counts, needs) - shortage
    assert len(filling) == move_planner.min_moves(held, needs)
    assert len({move.worker for move in planned}) == len(planned)


@given(by_pool, by_pool)
def test_a_second_plan_has_no_moves(counts, needs):
    held = held_of(counts)
    settled = held_of(
        counts_after(held, move_planner.plan_fewest_moves(held, needs))
    )
    assert move_planner.plan_fewest_moves(settled, needs) == ()


@given(by_pool, by_pool)
def test_first_fit_never_needs_fewer_moves(counts, needs):
    held = held_of(counts)
    planned = move_planner.plan_first_fit(held, needs)
    filled = count_missing(counts, needs) - count_missing(
        counts_after(held, planned), needs
    )
    assert len(planned) >= filled


def test_a_worker_with_an_operation_in_progress_is_not_moved():
    held = {SPARE: [move_planner.PoolWorker("w", "r", is_movable=False)]}
    assert move_planner.plan_fewest_moves(held, {"a": 1}) == ()


def test_a_pool_is_filled_from_its_least_used_racks():
    spare = [move_planner.PoolWorker(f"w{n}", f"r{n // 2}") for n in range(4)]
    held = {"a": [move_planner.PoolWorker("own", "r0")], SPARE: spare}
    planned = move_planner.plan_fewest_moves(held, {"a": 3})
    assert [move.worker for move in planned] == ["w2", "w0"]
