"""The table accepts calls but does not answer, for any length of time."""

import pytest

from tests.common import claim_harness
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import platform


@pytest.fixture
def harness():
    made = claim_harness.ClaimHarness(("a",))
    yield made
    made.close()


def make_table_unresponsive(harness):
    """Makes each call to the table time out after two seconds."""

    def time_out(outcome):
        harness.clock.advance(2.0)
        harness.entries["a"].components.history.watch()
        return outcome

    link = harness.entries["a"].link
    link.commit = lambda _: time_out(platform.OutcomeUnknown("no answer"))
    link.read = lambda _: time_out(platform.Unavailable("no answer"))


def restore_table(harness):
    link = harness.entries["a"].link
    del link.commit, link.read


def test_requests_are_refused_at_once_if_the_table_is_unresponsive(harness):
    """Guards against callers that wait until their deadlines for "not run".

    The first request finds that the table does not answer, and has no time left
    to query the other entries. The next requests must not repeat that wait one
    by one. Once a pending write succeeds, requests run again.
    """
    make_table_unresponsive(harness)
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    started_at = harness.clock.monotonic()
    for key in ("k2", "k3"):
        reply = harness.begin("a", harness.request(key))
        assert reply == claim_rules.CLAIMS_UNAVAILABLE
    assert harness.clock.monotonic() == started_at
    restore_table(harness)
    harness.entries["a"].write_all()
    harness.claim_request("a", harness.request("k2"))


def test_a_release_does_not_wait_for_an_unresponsive_table(harness):
    """Guards against a refusal that is delayed by a second.

    A claim has to be released before "not run" is reported. The table is known
    to be unresponsive, so the entry itself replies to queries for the claim.
    """
    attempt = harness.claim_request("a")
    make_table_unresponsive(harness)
    harness.begin("a", harness.request("k2"))
    started_at = harness.clock.monotonic()
    attempt.entry.claims.release(attempt.claim_id)
    assert harness.clock.monotonic() == started_at
