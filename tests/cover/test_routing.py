"""Routing policies and the choice of a minion."""

import dataclasses
import random

import hypothesis
from hypothesis import strategies as st

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import routing

_NAMES = ("m0", "m1", "m2", "m3")
_LOADS = st.dictionaries(st.sampled_from(_NAMES), st.integers(0, 9))


def _pick(policy, loads, minions, seed=1, excluded=()):
    rng = random.Random(seed)
    chosen = routing.POLICY_REGISTRY.get(policy)
    return routing.pick_minion(chosen, minions, loads, excluded, "recife", rng)


_ENTRIES = st.lists(
    st.sampled_from("abcdefghijkl"), min_size=1, max_size=12, unique=True
).map(tuple)


@hypothesis.given(
    policy=st.sampled_from(routing.POLICY_REGISTRY.names),
    slots=st.integers(0, 9),
    own=_LOADS,
    peers=_LOADS,
    entries=_ENTRIES,
    loans=st.dictionaries(st.sampled_from(_NAMES), st.integers(-3, 3)),
    excluded=st.sets(st.sampled_from(_NAMES)),
    seed=st.integers(0, 99),
)
def test_a_policy_picks_only_minions_with_free_slots(
    policy, slots, own, peers, entries, loans, excluded, seed
):
    """Own counts are exact; those of peers are old (see decision 0006)."""
    minions = [request_path_harness.make_minion(name, slots) for name in _NAMES]
    loads = routing.MinionLoads(own, peers, entries, loans)

    def free_slots(minion):
        used = own.get(minion.instance, 0)
        if policy == "two-choices":
            return minion.slots - used - peers.get(minion.instance, 0)
        share = routing.slot_share(minion.instance, minion.slots, entries)
        lent = loans.get(minion.instance, 0) if policy == "lent-share" else 0
        return share + lent - used

    allowed = [each for each in minions if each.instance not in excluded]
    picked = _pick(policy, loads, minions, seed, excluded)
    if picked is None:
        assert all(free_slots(each) <= 0 for each in allowed)
    else:
        assert picked in allowed
        assert free_slots(picked) > 0


@hypothesis.given(_ENTRIES, st.integers(0, 20), st.sampled_from(_NAMES))
def test_each_slot_belongs_to_one_entry_and_shares_are_even(
    entries, slots, name
):
    shares = []
    for first in entries:
        others = tuple(each for each in entries if each != first)
        shares.append(routing.slot_share(name, slots, (first, *others)))
    assert sum(shares) == slots
    assert max(shares) - min(shares) <= 1


def test_two_choices_counts_peer_loads_and_breaks_ties_by_data_centre():
    near = request_path_harness.make_minion("m0")
    far = dataclasses.replace(
        request_path_harness.make_minion("m1"), data_centre="suape"
    )
    for seed in range(20):
        balanced = routing.MinionLoads({"m0": 2}, {"m1": 2})
        assert _pick("two-choices", balanced, [far, near], seed) is near
        unbalanced = routing.MinionLoads({"m0": 2}, {"m0": 1, "m1": 2})
        assert _pick("two-choices", unbalanced, [far, near], seed) is far


def test_a_fixed_share_is_not_exceeded_while_other_slots_are_free():
    minion = request_path_harness.make_minion(slots=8)
    four = ("a", "b", "c", "d")
    assert _pick(
        "fixed-share", routing.MinionLoads({"m0": 1}, {}, four), [minion]
    )
    full = routing.MinionLoads({"m0": 2}, {}, four)
    assert _pick("fixed-share", full, [minion]) is None
    assert _pick("lent-share", full, [minion]) is None
    borrowed = routing.MinionLoads({"m0": 2}, {}, four, {"m0": 1})
    assert _pick("lent-share", borrowed, [minion]) is minion
