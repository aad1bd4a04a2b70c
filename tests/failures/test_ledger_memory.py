"""An entry that lives long keeps bounded memory of the charges it made."""

import pytest

from tests.common import claim_world
from vanillaswitch.coordination.once import claim_ledger
from vanillaswitch.protocol import requests


@pytest.mark.parametrize("body", [b"", b"paid"])
def test_written_charges_are_forgotten_whatever_their_answers(body):
    """After some weeks an entry runs out of memory, and takes charges along.

    Charges that a minion answers without a body, or whose outcome is
    unknown, weighed nothing in the count of what is kept to be replayed, so
    each of them was kept for good.
    """
    harness = claim_world.World(("a",))
    ledger = harness.entries["a"].parts.ledger
    ledger._limits = claim_ledger.Limits(max_recent_bytes=4096)
    for number in range(64):
        attempt = harness.attempt("a", harness.request(f"k{number}"))
        if number % 2:
            attempt.entry.claims.lost(attempt.ticket)
        else:
            attempt.entry.claims.finish(attempt.ticket, answer(body))
        attempt.entry.write_all()
    harness.close()
    assert ledger.unwritten_count == 0
    assert ledger.known_count <= 16


def answer(body):
    return requests.Answer(200, (), body)
