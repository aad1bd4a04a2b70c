"""For how long an entry has missed no other one, and what their words mean."""

import dataclasses

import hypothesis
from hypothesis import strategies as st

from vanillaswitch.coordination.once import claim_company
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import claim_witness
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
def test_not_run_needs_the_whole_word_of_each_entry(replies):
    reply = claim_witness.combine_replies(replies, ("a", "b"), NEEDED_S)
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


def test_the_words_of_a_calm_fleet_are_evidence_and_any_flaw_spoils_them():
    word = peers.ClaimReply("q", peers.ClaimState.RELEASED, None, 10.0, ("a",))
    stranger = dataclasses.replace(word, entries=("a", "c"))
    young = dataclasses.replace(word, unbroken_s=9.9)
    unknown = peers.ClaimReply("q", peers.ClaimState.UNKNOWN, None, 10.0)
    calm = claim_witness.combine_replies([word, word], ("a", "b"), NEEDED_S)
    assert calm == claim_rules.CLAIMS_UNAVAILABLE
    for flaw in (stranger, young, unknown, None):
        reply = claim_witness.combine_replies(
            [word, flaw], ("a", "b"), NEEDED_S
        )
        assert reply == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def member(name="a", address="1", standing="alive", **changes):
    last = peers.Heartbeat(
        name, "boot", peers.Role.ENTRY, address, "", 1, 1, 1, False, {}
    )
    last = dataclasses.replace(last, **changes)
    standing = peer_membership.Standing(standing)
    return peer_membership.Member(last, standing, 0.0, 0.0)


def unbroken_since(*looks, wait_s=1.0):
    """Returns since when nobody was missed, after looks at members."""
    contact = claim_company.EntryContact(0.0)
    now = 0.0
    for members in looks:
        now += wait_s
        members = {one.last.process: one for one in members}
        contact = claim_company.observe(contact, members, now)
    return contact.unbroken_since


def test_a_calm_fleet_is_unbroken_since_the_start():
    assert (
        unbroken_since([member()], [member(), member("b", "2")], [member()] * 2)
        == 3
    )
    assert (
        unbroken_since([member()], [member()], [member(), member("b", "2")])
        == 0
    )


def test_an_entry_that_is_not_well_breaks_it():
    for standing in ("suspect", "gone"):
        assert unbroken_since([member()], [member(standing=standing)]) == 2
    other = member("b", "2", "gone", role=peers.Role.CONTROLLER)
    assert unbroken_since([member()], [member(), other]) == 0
    retired = (peer_membership.Retired("old", 1, 0.0),)
    replaced = dataclasses.replace(member(), retired=retired)
    assert unbroken_since([member()], [replaced]) == 2


def test_an_entry_that_vanished_is_missed_until_its_address_is_used():
    """It may be cut off from its peers, and still run what callers send."""
    assert unbroken_since([member()], [], []) == 3
    assert unbroken_since([member()], [], [member("b", "2")]) == 3
    assert unbroken_since([member()], [], [member("b", "1")]) == 2


def test_an_entry_that_said_farewell_is_not_missed():
    left = member(standing="gone", leaving=True)
    assert unbroken_since([member()], [left], [], []) == 2


def test_a_pause_of_our_own_breaks_it():
    paused_s = claim_company.MAX_OBSERVATION_GAP_S + 1
    assert (
        unbroken_since([member()], [member()], wait_s=paused_s) == 2 * paused_s
    )
