"""The schedule of heartbeats to peers."""

from hypothesis import given
from hypothesis import strategies as st

from tests.common import properties
from vanillaswitch.coordination.peering import heartbeat_schedule

SIZES = st.integers(0, 70)
GROUPS = st.sampled_from(
    [heartbeat_schedule.same_role_group, heartbeat_schedule.other_roles_group]
)


def group_of_size(make_group, size):
    return make_group([f"10.0.0.{number}:7000" for number in range(size)])


@properties.steady
@given(GROUPS, SIZES, st.integers(0, 1000))
def test_heartbeats_per_tick_are_bounded(make_group, size, tick):
    group = group_of_size(make_group, size)
    assert (
        len(heartbeat_schedule.due_targets(group, tick)) <= group.max_per_tick
    )


@properties.steady
@given(GROUPS, SIZES, st.integers(0, 1000))
def test_each_peer_gets_a_heartbeat_within_its_announced_interval(
    make_group, size, first
):
    group = group_of_size(make_group, size)
    ticks = range(first, first + group.period_ticks)
    sent = [
        target
        for tick in ticks
        for target in heartbeat_schedule.due_targets(group, tick)
    ]
    assert sorted(one.address for one in sent) == sorted(group.addresses)
    needed_s = group.period_ticks * heartbeat_schedule.TICK_S
    assert all(one.interval_s > needed_s for one in sent)
