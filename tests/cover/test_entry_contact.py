"""Contact with the other entries, and how their replies are combined."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from vanillaswitch.coordination.once import claim_history
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import entry_contact
from vanillaswitch.coordination.peering import peer_membership
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import requests

NEEDED_S = 10.0
ANSWER = requests.Answer(201, (), b"done")

_REPLIES = st.none() | st.builds(
    peers.ClaimReply,
    st.just("q"),
    st.sampled_from(peers.ClaimState),
    st.none() | st.just(ANSWER),
    st.sampled_from((0.0, NEEDED_S - 1, NEEDED_S, NEEDED_S + 1)),
    st.lists(st.sampled_from("abc"), max_size=3).map(tuple),
)


@hypothesis.given(st.lists(_REPLIES, max_size=4))
def test_not_run_needs_a_denial_from_each_entry(replies):
    reply = claim_history.combine_replies(replies, ("a", "b"), NEEDED_S)
    states = [one.state for one in replies if one]
    if reply == claim_rules.CLAIMS_UNAVAILABLE:
        assert len(states) == len(replies)
        assert set(states) <= {peers.ClaimState.RELEASED}
        assert all(one.unbroken_s >= NEEDED_S for one in replies)
        assert all("c" not in one.entries for one in replies)
    else:
        assert replies
    if isinstance(reply, claims.Replay):
        assert peers.ClaimState.DONE in states


def test_denials_prove_not_run_unless_one_is_flawed():
    denial = peers.ClaimReply(
        "q", peers.ClaimState.RELEASED, None, 10.0, ("a",)
    )
    unqueried_entry = dataclasses.replace(denial, entries=("a", "c"))
    too_short = dataclasses.replace(denial, unbroken_s=9.9)
    unknown = peers.ClaimReply("q", peers.ClaimState.UNKNOWN, None, 10.0)
    result = claim_history.combine_replies(
        [denial, denial], ("a", "b"), NEEDED_S
    )
    assert result == claim_rules.CLAIMS_UNAVAILABLE
    for flawed in (unqueried_entry, too_short, unknown, None):
        reply = claim_history.combine_replies(
            [denial, flawed], ("a", "b"), NEEDED_S
        )
        assert reply == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def member(name="a", address="1", liveness="alive", **changes):
    last = peers.Heartbeat(
        name, "boot", peers.Role.ENTRY, address, "", 1, 1, 1, False, {}
    )
    last = dataclasses.replace(last, **changes)
    liveness = peer_membership.Liveness(liveness)
    return peer_membership.Member(last, liveness, 0.0, 0.0)


def unbroken_since(*observations, wait_s=1.0):
    """Returns the start of the unbroken contact after some observations."""
    contact = entry_contact.EntryContact(0.0)
    now = 0.0
    for members in observations:
        now += wait_s
        members = {one.last_heartbeat.process: one for one in members}
        contact = entry_contact.observe(contact, members, now)
    return contact.unbroken_since


def test_contact_with_a_healthy_fleet_is_unbroken():
    assert (
        unbroken_since([member()], [member(), member("b", "2")], [member()] * 2)
        == 3
    )
    assert (
        unbroken_since([member()], [member()], [member(), member("b", "2")])
        == 0
    )


def test_an_unhealthy_entry_interrupts_the_contact():
    for liveness in ("suspect", "gone"):
        assert unbroken_since([member()], [member(liveness=liveness)]) == 2
    other = member("b", "2", "gone", role=peers.Role.CONTROLLER)
    assert unbroken_since([member()], [member(), other]) == 0
    previous_boots = (peer_membership.PreviousBoot("old", 1, 0.0),)
    replaced = dataclasses.replace(member(), previous_boots=previous_boots)
    assert unbroken_since([member()], [replaced]) == 2


def test_a_vanished_entry_is_missing_until_its_address_is_reused():
    """It may only be cut off from its peers and still serve callers."""
    assert unbroken_since([member()], [], []) == 3
    assert unbroken_since([member()], [], [member("b", "2")]) == 3
    assert unbroken_since([member()], [], [member("b", "1")]) == 2


def test_an_entry_that_announced_leaving_is_not_missing():
    left = member(liveness="gone", leaving=True)
    assert unbroken_since([member()], [left], [], []) == 2


def test_a_pause_of_this_process_interrupts_the_contact():
    paused_s = entry_contact.MAX_OBSERVATION_GAP_S + 1
    assert (
        unbroken_since([member()], [member()], wait_s=paused_s) == 2 * paused_s
    )
