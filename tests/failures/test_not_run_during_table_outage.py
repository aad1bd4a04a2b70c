"""During a table outage, "not run" is reported only if that is certain."""

import pytest

from tests.common import claim_harness
from vanillaswitch.coordination.once import claim_history
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.state import keys


@pytest.fixture
def harness():
    made = claim_harness.ClaimHarness()
    yield made
    made.close()


def disconnect_table(harness):
    for entry in harness.entries.values():
        entry.link.faults.down = True


@pytest.mark.parametrize("loss", ["killed", "cut off", "replaced elsewhere"])
def test_not_run_is_not_reported_for_a_run_at_a_lost_entry(harness, loss):
    """Guards against a wrong "not run", after which the caller pays twice.

    A request ran at an entry, but its answer was lost together with the table.
    The caller retries at another entry with the same key. The entry that ran
    the request was restarted, is cut off from its peers, or was replaced at
    another address.
    """
    attempt = harness.claim_request("a")
    harness.run(attempt)
    disconnect_table(harness)
    match loss:
        case "killed":
            harness.restart("a")
        case "cut off":
            attempt.entry.cut_from_peers = True
        case "replaced elsewhere":
            harness.entries.pop("a").kill()
            harness.advance_in_contact(claim_harness.CONTACT_S)
            harness.restart("d")
            harness.advance_in_contact(claim_harness.CONTACT_S)
    for _ in range(2):
        assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
        harness.advance_in_contact(claim_harness.CONTACT_S)


def test_the_holder_reports_the_outcome_during_an_outage(harness):
    """A caller's connection breaks during an outage, and it retries elsewhere.

    The first entry is alive and knows the state of the request: in progress, or
    completed with an answer. Both entries report it without the table.
    """
    attempt = harness.claim_request("a")
    disconnect_table(harness)
    assert harness.begin("b") == claim_rules.IN_PROGRESS
    harness.run_and_complete(attempt)
    assert harness.begin("b") == claims.Replay(attempt.answer)
    new = harness.request("new")
    assert harness.begin("b", new) == claim_rules.CLAIMS_UNAVAILABLE


def test_a_run_with_a_large_answer_is_reported_as_run(harness):
    """A large answer can't be fetched in the outage, but the request ran."""
    attempt = harness.claim_request("a")
    disconnect_table(harness)
    harness.run_and_complete(attempt, b"x" * 200_000)
    assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE


def test_a_released_request_is_reported_as_not_run(harness):
    """A request that no minion accepted is retried during an outage."""
    attempt = harness.claim_request("a")
    disconnect_table(harness)
    attempt.entry.claims.release(attempt.claim_id)
    for name in ("a", "b"):
        assert harness.begin(name) == claim_rules.CLAIMS_UNAVAILABLE


@pytest.mark.parametrize("remembered", [2, 100])
def test_not_run_is_not_reported_for_a_forgotten_claim(
    harness, monkeypatch, remembered
):
    """An entry must not report "not run" for a claim that it has evicted.

    Either it has made more claims than it remembers, or it remembers only their
    keys. This holds whether the entry itself or a peer gets the retry.
    """
    monkeypatch.setattr(claim_history, "MAX_REMEMBERED_CLAIMS", remembered)
    records = harness.entries["a"].components.records
    for number in range(4):
        harness.run_and_complete(
            harness.claim_request("a", harness.request(f"k{number}"))
        )
    records.write_all()
    records._recent.clear()
    disconnect_table(harness)
    for key in ("k0", "k3"):
        for name in ("a", "b"):
            reply = harness.begin(name, harness.request(key))
            assert reply == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def test_a_key_reported_as_unclaimed_is_not_claimed_at_once(
    harness,
):
    """Two attempts under one key coincide with the end of an outage.

    Entry b queries a, which replies that the key was never claimed. The table
    returns for a, and a gets the other attempt before b has replied. If a ran
    it, the "not run" of b would be false. A later retry runs.
    """
    harness.entries["b"].link.faults.down = True
    name = keys.claim("tacoma", "fabric-store", "k")
    results = []

    def claim_meanwhile():
        harness.before_reply = lambda: None
        reply = harness.entries["a"].claims.answer_query(
            peers.ClaimQuery("q", name, "")
        )
        assert reply.state is peers.ClaimState.RELEASED
        results.append(harness.begin("a"))

    harness.before_reply = claim_meanwhile
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE
    assert results == [claim_rules.IN_PROGRESS]
    harness.clock.advance(claim_rules.RETRY_AFTER_S)
    harness.claim_request("a")


def test_the_age_of_a_request_allows_for_fast_caller_clocks(harness):
    """A caller's clock is ahead, and its request ran at an entry that died.

    By its time of issue, the request seems to be younger than the replacement
    of the entry. Entries allow for the largest difference that they accept.
    """
    harness.issued_ms += 300_000
    attempt = harness.claim_request("a")
    harness.run(attempt)
    harness.restart("a")
    harness.advance_in_contact(300)
    disconnect_table(harness)
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN


def test_queries_to_peers_are_bounded(harness, monkeypatch):
    """An outage under load must not flood the entries with queries.

    If no replies could prove anything, no queries are sent. Otherwise only a
    bounded number of requests queries the peers at a time.
    """
    disconnect_table(harness)
    queries = []
    harness.before_reply = lambda: queries.append(1)
    monkeypatch.setattr(claim_history, "MAX_CONCURRENT_CHECKS", 0)
    assert harness.begin("b") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    monkeypatch.undo()
    harness.restart("b")
    disconnect_table(harness)
    assert (
        harness.begin("b", harness.request("new"))
        == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    )
    assert queries == []
