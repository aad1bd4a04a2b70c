"""The process that holds a claim answers nothing, or not any more."""

import pytest

from tests.common import claim_world
from vanillaswitch.coordination.once import claim_lookup
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import peers


@pytest.fixture
def harness():
    made = claim_world.World(("a", "b"))
    yield made
    made.close()


def test_asking_a_frozen_holder_costs_a_bounded_time(harness):
    """A clerk with a minute to spare waits it out for "unknown".

    Entry a is frozen with her charge: connections to it open and nothing
    comes back. Entry b waits for its word a few times at most.
    """
    harness.attempt("a")
    waits = []

    def no_reply(_peer, _query, timeout_s):
        waits.append(timeout_s)
        harness.clock.advance(timeout_s)

    harness.entries["b"].parts.lookup._query_claim = no_reply
    assert (
        harness.begin("b", harness.request()) == claim_rules.HOLDER_UNREACHABLE
    )
    assert (
        0 < sum(waits) <= claim_lookup.MAX_READS * claim_lookup.QUERY_TIMEOUT_S
    )


def test_a_successor_of_the_same_name_asks_the_one_before_it():
    """A charge that is being finished is said to be lost for good.

    An entry gets a successor of its name, at another address, while it shuts
    down with a charge in flight. Asked again there, the clerk must not hear
    a last word: the one before it still knows. At its own address it is gone.
    """
    before = claim_rules.Holder("a", "boot-1", "10.0.0.1:7000")
    claimed = peers.ClaimState.CLAIMED
    row = claim_rules.make_claim_row(before, claimed, "digest", 0)
    successor = claim_rules.Holder("a", "boot-2", "10.0.0.2:7000")
    found = claim_rules.classify_claim(row, successor, "digest")
    assert found == claim_rules.HeldElsewhere()
    restarted = claim_rules.Holder("a", "boot-2", "10.0.0.1:7000")
    found = claim_rules.classify_claim(row, restarted, "digest")
    assert found == claim_rules.OUTCOME_UNKNOWN
