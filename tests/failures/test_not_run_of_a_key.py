"""While the table is away, "not run" is said of a key only with evidence."""

import pytest

from tests.common import claim_world
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.coordination.once import claim_witness
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.state import keys


@pytest.fixture
def harness():
    made = claim_world.World()
    yield made
    made.close()


def lose_the_table(harness):
    for entry in harness.entries.values():
        entry.link.faults.down = True


@pytest.mark.parametrize("end", ["killed", "cut off", "replaced elsewhere"])
def test_a_charge_that_ran_at_a_lost_entry_is_not_said_not_run(harness, end):
    """A clerk is told "not run", makes a new charge, and the port pays twice.

    Her charge ran at an entry, whose answer was lost with the table gone. She
    asks another one with the same key. The entry that ran it was killed and
    started again, is cut off from its peers, or came back elsewhere.
    """
    attempt = harness.attempt("a")
    harness.run(attempt)
    lose_the_table(harness)
    match end:
        case "killed":
            harness.restart("a")
        case "cut off":
            attempt.entry.cut_from_peers = True
        case "replaced elsewhere":
            harness.entries.pop("a").kill()
            harness.advance_in_contact(claim_world.CONTACT_S)
            harness.restart("d")
            harness.advance_in_contact(claim_world.CONTACT_S)
    for _ in range(2):
        assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
        harness.advance_in_contact(claim_world.CONTACT_S)


def test_a_charge_is_answered_by_its_entry_through_the_outage(harness):
    """The clerk's connection breaks in an outage; she asks another entry.

    The first one lives and knows what became of the charge: it runs, or here
    is its answer. Both say so although the table can't be read.
    """
    attempt = harness.attempt("a")
    lose_the_table(harness)
    assert harness.begin("b") == claim_rules.IN_PROGRESS
    harness.finish(attempt)
    assert harness.begin("b") == claims.Replay(attempt.answer)
    new = harness.request("new")
    assert harness.begin("b", new) == claim_rules.CLAIMS_UNAVAILABLE


def test_an_answer_that_is_too_large_to_tell_was_run(harness):
    """A long receipt can't be fetched in the outage, and the charge ran."""
    attempt = harness.attempt("a")
    lose_the_table(harness)
    harness.finish(attempt, b"x" * 200_000)
    assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE


def test_a_charge_that_was_released_was_not_run(harness):
    """A charge that no minion took is asked for again in an outage."""
    attempt = harness.attempt("a")
    lose_the_table(harness)
    attempt.entry.claims.release(attempt.ticket)
    for name in ("a", "b"):
        assert harness.begin(name) == claim_rules.CLAIMS_UNAVAILABLE


@pytest.mark.parametrize("remembered", [2, 100])
def test_a_claim_that_fell_out_of_memory_is_not_said_not_run(
    harness, monkeypatch, remembered
):
    """A busy entry has forgotten the charge that it made before the outage.

    It made more charges since than it can remember, or remembers their names
    only. It must not take what it does not remember for what it never did,
    whether it or a peer is asked.
    """
    monkeypatch.setattr(claim_witness, "MAX_REMEMBERED_CLAIMS", remembered)
    ledger = harness.entries["a"].parts.ledger
    for number in range(4):
        harness.finish(harness.attempt("a", harness.request(f"k{number}")))
    ledger.write_all()
    ledger._recent.clear()
    lose_the_table(harness)
    for key in ("k0", "k3"):
        for name in ("a", "b"):
            reply = harness.begin(name, harness.request(key))
            assert reply == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def test_a_key_is_not_claimed_while_another_relies_on_it_that_it_is_free(
    harness,
):
    """The clerk's two attempts meet the end of an outage.

    Entry b asks a, which says "never"; the table is back for a, which gets
    the other attempt before b has answered. Were it run, b's "not run" would
    be untrue. Asked again after that time, the charge runs.
    """
    harness.entries["b"].link.faults.down = True
    name = keys.claim("tacoma", "fabric-store", "k")
    said = []

    def ask_meanwhile():
        harness.before_reply = lambda: None
        reply = harness.entries["a"].claims.answer_query(
            peers.ClaimQuery("q", name, "")
        )
        assert reply.state is peers.ClaimState.RELEASED
        said.append(harness.begin("a"))

    harness.before_reply = ask_meanwhile
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE
    assert said == [claim_rules.IN_PROGRESS]
    harness.clock.advance(claim_rules.RETRY_AFTER_S)
    harness.attempt("a")


def test_a_clock_that_is_ahead_does_not_make_a_charge_young(harness):
    """A till's clock is minutes ahead; its charge ran at an entry now dead.

    By its stamp the charge was issued after the entry was replaced. The
    entries allow for as much as they accept.
    """
    harness.issued_ms += 300_000
    attempt = harness.attempt("a")
    harness.run(attempt)
    harness.restart("a")
    harness.advance_in_contact(300)
    lose_the_table(harness)
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def test_many_refusals_ask_only_so_often(harness, monkeypatch):
    """An outage under load must not turn into a storm among the entries.

    Where no word of the others can be evidence, nobody is asked at all; else
    a bounded number of charges asks at a time.
    """
    lose_the_table(harness)
    asked = []
    harness.before_reply = lambda: asked.append(1)
    monkeypatch.setattr(claim_witness, "MAX_CONCURRENT_CHECKS", 0)
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    monkeypatch.undo()
    harness.restart("b")
    lose_the_table(harness)
    assert (
        harness.begin("b", harness.request("new"))
        == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    )
    assert asked == []
