"""Tests the size and the placement of the spare pool."""

import itertools

from hypothesis import given
from hypothesis import strategies as st

from vanillaswitch.coordination.maintenance import spare_capacity

RACKS = ("r1", "r2", "r3")

demands = st.lists(
    st.builds(
        spare_capacity.ServiceDemand,
        st.just("service"),
        st.integers(1, 3),
        st.dictionaries(st.sampled_from(RACKS), st.integers(0, 3)),
        st.integers(0, 2),
        st.integers(0, 2),
    ),
    max_size=3,
)


def covers(demands, placed) -> bool:
    return not spare_capacity.uncovered_racks(demands, placed)


@given(demands)
def test_the_shared_spare_pool_covers_the_loss_of_any_rack(demands):
    size = spare_capacity.size_shared_spare(demands)
    placed = spare_capacity.place_spares(demands, size)
    assert sum(placed.values()) == size
    assert covers(demands, placed)


@given(demands)
def test_no_smaller_spare_pool_covers_the_loss_of_every_rack(demands):
    size = spare_capacity.size_shared_spare(demands) - 1
    places = (*RACKS, "")
    for counts in itertools.product(range(max(0, size) + 1), repeat=4):
        if sum(counts) == size:
            assert not covers(demands, dict(zip(places, counts, strict=True)))


def test_spare_workers_in_a_lost_rack_do_not_cover_its_loss():
    demand = spare_capacity.ServiceDemand("quotes", 1, {"r1": 4, "r2": 2}, 2)
    assert spare_capacity.uncovered_racks([demand], {"r1": 2}) == {"r1": 2}
    assert covers([demand], {"r2": 2})


@given(demands)
def test_the_bound_includes_services_without_workers_in_the_lost_rack(demands):
    racks = {rack for demand in demands for rack in demand.workers_by_rack}
    losses = [
        sum(d.shortage_after_loss(rack) for d in demands) for rack in racks
    ]
    assert spare_capacity.min_spare_size(demands) == max(losses, default=0)
