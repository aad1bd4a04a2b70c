"""A long-running entry keeps bounded memory of its claims."""

import pytest

from tests.common import claim_harness
from vanillaswitch.coordination.once import claim_records
from vanillaswitch.protocol import requests


@pytest.mark.parametrize("body", [b"", b"paid"])
def test_written_claims_are_evicted_regardless_of_their_answers(body):
    """Guards against an entry that runs out of memory after some weeks.

    Claims with an empty answer or an unknown outcome counted as zero bytes of
    the records kept for replays, so they were never evicted.
    """
    harness = claim_harness.ClaimHarness(("a",))
    records = harness.entries["a"].components.records
    records._limits = claim_records.Limits(max_recent_bytes=4096)
    for number in range(64):
        attempt = harness.claim_request("a", harness.request(f"k{number}"))
        if number % 2:
            attempt.entry.claims.mark_unknown(attempt.claim_id)
        else:
            attempt.entry.claims.complete(attempt.claim_id, make_answer(body))
        attempt.entry.write_all()
    harness.close()
    assert records.unwritten_count == 0
    assert records.known_count <= 16


def make_answer(body):
    return requests.Answer(200, (), body)
