"""Tests which instances count as down, and the headroom of budgets."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from tests.common import fleet_harness
from vanillaswitch.coordination.maintenance import background_failures
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import rows

CONFIG = fleet_harness.build_config()


def _draining(member: fleet_state.Member) -> fleet_state.Member:
    row = dataclasses.replace(
        member.row, phase=platform.MaintenancePhase.DRAINING
    )
    return dataclasses.replace(member, row=row)


def _unlisted(member: fleet_state.Member) -> fleet_state.Member:
    return dataclasses.replace(member, listing=None)


def _leaving(member: fleet_state.Member) -> fleet_state.Member:
    listing = dataclasses.replace(
        member.listing, state=platform.ListedState.LEAVING
    )
    return dataclasses.replace(member, listing=listing)


def _unanswering(member: fleet_state.Member) -> fleet_state.Member:
    return dataclasses.replace(member, status=None)


def _broken(member: fleet_state.Member) -> fleet_state.Member:
    status = dataclasses.replace(
        member.status, phase=platform.MaintenancePhase.DOWN
    )
    return dataclasses.replace(member, status=status)


def _cordoned(member: fleet_state.Member) -> fleet_state.Member:
    row = dataclasses.replace(member.row, cordoned=True)
    return dataclasses.replace(member, row=row)


OUTAGES = [_draining, _unlisted, _leaving, _unanswering, _broken, _cordoned]


@given(st.dictionaries(st.integers(0, 5), st.sampled_from(OUTAGES)), st.data())
def test_an_instance_that_is_down_for_several_reasons_counts_once(
    outages, data
):
    fleet = fleet_harness.FleetHarness(
        fleet_harness.minion_listings(), CONFIG
    ).fleet()
    members = dict(fleet.members)
    for index, make_down in outages.items():
        name = f"quotes-{index}"
        members[name] = make_down(members[name])
    planned = data.draw(st.sets(st.sampled_from(sorted(members))))
    row = rows.Budget(dict.fromkeys(planned, "operation"))
    changed = dataclasses.replace(
        fleet,
        members=members,
        budgets={"quotes": fleet_state.Versioned(1, row)},
    )
    down = planned | {f"quotes-{index}" for index in outages}
    room = budgets.headroom(changed, CONFIG, "quotes", fleet_harness.MINION)
    assert room == 2 - len(down)


def test_configured_instances_that_are_missing_count_as_down():
    fleet = fleet_harness.FleetHarness(
        fleet_harness.minion_listings(count=5), CONFIG
    ).fleet()
    assert budgets.headroom(fleet, CONFIG, "quotes", fleet_harness.MINION) == 1


def test_a_service_that_is_not_configured_has_no_headroom():
    fleet = fleet_harness.FleetHarness(
        fleet_harness.minion_listings("old"), CONFIG
    ).fleet()
    assert budgets.headroom(fleet, CONFIG, "old", fleet_harness.MINION) == 0


@given(st.floats(0.0, 50.0), st.floats(0.0, 50.0))
def test_a_higher_background_rate_explains_at_least_as_many_failures(
    one, other
):
    low, high = sorted((one, other))
    explained = background_failures.max_background_failures(low)
    assert explained <= background_failures.max_background_failures(high)
    assert explained >= int(low) - 1
