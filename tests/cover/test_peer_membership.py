"""Membership state that results from heartbeats and ticks."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from tests.common import peer_doubles
from tests.common import properties
from vanillaswitch.coordination.peering import peer_membership

START = 1000.0
heartbeat = peer_doubles.heartbeat


def make_state(**changes):
    state = peer_membership.MembershipState(
        process="self", address="127.0.0.1:7000", seeds=(), last_tick_at=START
    )
    return dataclasses.replace(state, **changes)


def with_heartbeats(state, *heartbeats, now=START):
    for one in heartbeats:
        state = peer_membership.with_heartbeat(state, one, now)
    return state


@properties.steady
@given(st.lists(st.integers(1, 20), min_size=1))
def test_late_and_duplicate_heartbeats_change_nothing(sequences):
    state = with_heartbeats(
        make_state(), *(heartbeat(sequence=n) for n in sequences)
    )
    (member,) = state.members.values()
    assert member.last_heartbeat.sequence == max(sequences)
    again = with_heartbeats(
        state, *(heartbeat(sequence=n) for n in sequences), now=9e9
    )
    assert again == state


@properties.steady
@given(
    st.lists(
        st.tuples(
            st.sampled_from(["a", "b", "self"]),
            st.sampled_from(["x", "y", "z"]),
            st.integers(0, 5),
            st.booleans(),
            st.floats(0, 100),
        )
    )
)
def test_any_history_gives_a_bounded_state_that_empties_in_silence(history):
    state, now = make_state(), START
    for process, boot, sequence, leaving, step in history:
        now += step
        beat = heartbeat(process, sequence, boot, leaving=leaving)
        state = peer_membership.with_liveness_checked(
            with_heartbeats(state, beat, now=now), now
        )
        for member in state.members.values():
            assert member.received_at <= member.silent_since <= now
            assert (
                len(member.previous_boots) <= peer_membership.MAX_PREVIOUS_BOOTS
            )
            assert member.last_heartbeat.boot not in [
                r.boot for r in member.previous_boots
            ]
    assert "self" not in state.members
    for _ in range(200):
        now += 1.0
        state = peer_membership.with_liveness_checked(state, now)
    assert not state.members


def test_a_silent_member_becomes_suspect_then_gone_then_is_removed():
    state = with_heartbeats(make_state(), heartbeat(interval_s=1.0))
    seen = []
    for second in range(0, 70):
        state = peer_membership.with_liveness_checked(state, START + second)
        seen.append([m.liveness.value for m in state.members.values()])
    assert seen[3] == ["alive"]
    assert seen[4] == seen[6] == ["suspect"]
    assert seen[7] == seen[60] == ["gone"]
    assert seen[61] == []


def test_the_announced_interval_is_clamped_to_bounds():
    for announced, expected in ((-1.0, 0.5), (float("nan"), 0.5), (1e9, 10.0)):
        beat = heartbeat(interval_s=announced)
        assert peer_membership.announced_interval_s(beat) == expected


def test_loads_are_summed_and_expire_without_new_heartbeats():
    state = with_heartbeats(
        make_state(), heartbeat("a", loads={"m1": 2, "m2": 1})
    )
    state = with_heartbeats(
        state, heartbeat("b", loads={"m1": 3}), now=START + 1.0
    )
    assert peer_membership.peer_in_flight(state, START + 1.0) == {
        "m1": 5,
        "m2": 1,
    }
    assert peer_membership.peer_in_flight(state, START + 2.0) == {"m1": 3}
    assert peer_membership.peer_in_flight(state, START + 9.0) == {}


def test_valid_addresses_are_learned_from_heartbeats_up_to_a_limit():
    addresses = [f"10.0.{n // 250}.{n % 250}:7000" for n in range(999)]
    nonsense = ("", "host:1", "10.0.0.1:0", "10.0.0.1:x", "10.0.0.1")
    state = with_heartbeats(
        make_state(), heartbeat(peers=(*nonsense, *addresses))
    )
    known = peer_membership.known_addresses(state)
    assert "127.0.0.1:7001" in known and addresses[0] in known
    assert len(known) == peer_membership.MAX_LEARNED_ADDRESSES + 1
    assert not set(nonsense) & set(known)


def test_members_are_bounded_and_exclude_a_process_with_the_same_name():
    beats = [heartbeat(f"p{number}") for number in range(999)]
    state = with_heartbeats(make_state(), heartbeat("self"), *beats)
    assert len(state.members) == peer_membership.MAX_MEMBERS
    assert state.name_conflicts == 1
