"""Tests of the plans of maintenance waves."""

import collections

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import fleet_harness
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.state import config as config_lib

MINIONS = config_lib.WaveTarget.MINIONS
SERVICES = ("quotes", "charges")

targets = st.lists(
    st.builds(
        lambda number, service, domain: wave_plan.WaveTargetInstance(
            f"{service}-{number}", service, f"dc{domain}"
        ),
        st.integers(0, 999),
        st.sampled_from(SERVICES),
        st.integers(0, 3),
    ),
    unique_by=lambda target: target.name,
    max_size=30,
)
allowances = st.fixed_dictionaries(dict.fromkeys(SERVICES, st.integers(1, 4)))


@pytest.mark.parametrize("order", wave_plan.ORDER_STRATEGIES.names)
@given(targets, allowances, st.integers(1, 4), st.floats(1.0, 4.0))
def test_each_round_stays_in_budget_and_one_failure_domain(
    order, targets, allowance, canary, growth
):
    wave = config_lib.Wave(SERVICES, MINIONS, canary, growth)
    rounds = wave_plan.ORDER_STRATEGIES.get(order)(targets, allowance, wave)
    by_name = {target.name: target for target in targets}
    assert sorted(n for names in rounds for n in names) == sorted(by_name)
    for names in rounds:
        group = [by_name[name] for name in names]
        counts = collections.Counter(target.service for target in group)
        domains = {(target.service, target.domain) for target in group}
        assert all(counts[s] <= allowance[s] for s in counts)
        assert len(domains) == len(counts)
    if order == "growing" and rounds:
        assert len(rounds[0]) <= canary
    assert len(rounds) >= wave_plan.min_rounds(targets, allowance)
    if order == "growing":
        fewest = wave_plan.min_growing_rounds(targets, allowance, wave)
        assert len(rounds) >= fewest


def test_a_budget_of_zero_makes_the_plan_impossible():
    config = fleet_harness.build_config(minions_down=0)
    fleet = fleet_harness.FleetHarness(
        fleet_harness.minion_listings(), config
    ).fleet()
    plan = wave_plan.plan_wave(
        fleet, config, config_lib.Wave(("quotes",), MINIONS)
    )
    assert plan.cannot == ("quotes: its budget allows no minion to be down",)


def test_an_exhausted_budget_makes_the_plan_impossible():
    config = fleet_harness.build_config(minions_down=1)
    bench = fleet_harness.FleetHarness(fleet_harness.minion_listings(), config)
    bench.platform.instances.kill("quotes-3", vanish=True)
    wave = config_lib.Wave(("quotes",), MINIONS)
    plan = wave_plan.plan_wave(bench.fleet(), config, wave)
    assert plan.cannot == ("quotes: 1 of 1 allowed minions are down already",)


def test_each_round_of_one_service_stays_in_one_data_centre():
    config = fleet_harness.build_config()
    fleet = fleet_harness.FleetHarness(
        fleet_harness.minion_listings(), config
    ).fleet()
    plan = wave_plan.plan_wave(
        fleet, config, config_lib.Wave(("quotes",), MINIONS)
    )
    sizes = [len(names) for names in plan.rounds]
    assert sizes == [1, 2, 2, 1]
    assert plan.expected_s == 4 * (5.0 + 120.0 + 5.0)
