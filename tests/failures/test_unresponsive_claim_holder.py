"""The holder of a claim does not answer, or does not run any more."""

import pytest

from tests.common import claim_harness
from vanillaswitch.coordination.once import claim_lookup
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import peers


@pytest.fixture
def harness():
    made = claim_harness.ClaimHarness(("a", "b"))
    yield made
    made.close()


def test_querying_a_frozen_holder_takes_bounded_time(harness):
    """A caller with a long deadline must not wait all of it for "unknown".

    Entry a freezes while it holds the claim: connections to it open, but no
    replies arrive. Entry b queries it only a few times.
    """
    harness.claim_request("a")
    waits = []

    def no_reply(_peer, _query, timeout_s):
        waits.append(timeout_s)
        harness.clock.advance(timeout_s)

    harness.entries["b"].components.lookup._query_claim = no_reply
    assert (
        harness.begin("b", harness.request()) == claim_rules.HOLDER_UNREACHABLE
    )
    assert (
        0 < sum(waits) <= claim_lookup.MAX_READS * claim_lookup.QUERY_TIMEOUT_S
    )


def test_a_successor_with_the_same_name_queries_its_predecessor():
    """A request in progress must not be reported as lost for good.

    A process of the same name starts at another address while its predecessor
    shuts down with a request in flight. The predecessor still knows the
    outcome, so the successor has to query it. At the same address it is surely
    gone.
    """
    predecessor = claim_rules.Holder("a", "boot-1", "10.0.0.1:7000")
    claimed = peers.ClaimState.CLAIMED
    row = claim_rules.make_claim_row(predecessor, claimed, "digest", 0)
    successor = claim_rules.Holder("a", "boot-2", "10.0.0.2:7000")
    found = claim_rules.classify_claim(row, successor, "digest")
    assert found == claim_rules.HeldElsewhere()
    restarted = claim_rules.Holder("a", "boot-2", "10.0.0.1:7000")
    found = claim_rules.classify_claim(row, restarted, "digest")
    assert found == claim_rules.OUTCOME_UNKNOWN
