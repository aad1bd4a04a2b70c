"""The table takes calls and answers nothing, for as long as it likes."""

import pytest

from tests.common import claim_world
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import platform


@pytest.fixture
def harness():
    made = claim_world.World(("a",))
    yield made
    made.close()


def silence(harness):
    """Has each call of the table run into its time limit of two seconds."""

    def time_out(outcome):
        harness.clock.advance(2.0)
        harness.entries["a"].parts.witness.watch()
        return outcome

    link = harness.entries["a"].link
    link.commit = lambda _: time_out(platform.OutcomeUnknown("no answer"))
    link.read = lambda _: time_out(platform.Unavailable("no answer"))


def heal(harness):
    link = harness.entries["a"].link
    del link.commit, link.read


def test_charges_are_refused_at_once_while_the_table_is_silent(harness):
    """Each clerk waits out her whole deadline to hear that nothing was run.

    The first charge finds out that the table answers nothing, and has no time
    left to ask the other entries. Those after it have no better chance, and
    must not wait for it one by one; when a write that was left over gets
    through, charges run again.
    """
    silence(harness)
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    known = harness.clock.monotonic()
    for key in ("k2", "k3"):
        reply = harness.begin("a", harness.request(key))
        assert reply == claim_rules.CLAIMS_UNAVAILABLE
    assert harness.clock.monotonic() == known
    heal(harness)
    harness.entries["a"].write_all()
    harness.attempt("a", harness.request("k2"))


def test_a_refusal_does_not_wait_for_a_silent_table(harness):
    """A charge that no minion takes is refused a second late.

    The claim of the charge is to be released before "not run" is said, and
    the table is known to be silent: the entry answers for the claim itself.
    """
    attempt = harness.attempt("a")
    silence(harness)
    harness.begin("a", harness.request("k2"))
    known = harness.clock.monotonic()
    attempt.entry.claims.release(attempt.ticket)
    assert harness.clock.monotonic() == known
