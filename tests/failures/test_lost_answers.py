"""What a caller gets when an answer was lost on the way."""

import pytest

from tests.common import claim_harness
from vanillaswitch import errors
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import requests


@pytest.fixture
def harness():
    made = claim_harness.ClaimHarness()
    yield made
    made.close()


def test_a_lost_table_answer_does_not_refuse_the_request(harness):
    """Guards against a request that is refused because of its own claim.

    The insert takes effect and its answer is lost. The retry conflicts with the
    first copy. The row's token shows that the claim is ours.
    """
    harness.entries["a"].link.faults.lose_answers = 1
    attempt = harness.claim_request("a")
    harness.run_and_complete(attempt)
    assert harness.begin("a") == claims.Replay(attempt.answer)


@pytest.mark.parametrize("size", [10, 200_000])
@pytest.mark.parametrize("written", [False, True])
def test_a_retry_gets_the_complete_first_answer(harness, size, written):
    """A caller's connection breaks after the request ran, and it retries.

    It retries at the same entry or another, before or after the answer is in
    the table. It must get the complete answer or a report that the request ran.
    A large answer is available to other entries only through the object store.
    """
    attempt = harness.claim_request("a")
    answer = harness.run_and_complete(attempt, b"x" * size)
    if written:
        attempt.entry.write_all()
    assert harness.begin("a") == claims.Replay(answer)
    if written or size < 1000:
        assert harness.begin("b") == claims.Replay(answer)
    else:
        assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE


def test_a_large_answer_waits_for_the_object_store(harness):
    """The object store is down when a large answer has to be stored.

    The claim must not become DONE without its answer, so it stays with its
    entry until the store is back. After that, any entry replays the answer.
    """
    harness.objects.faults.down = True
    attempt = harness.claim_request("a")
    answer = harness.run_and_complete(attempt, b"x" * 200_000)
    assert attempt.entry.claims.flush(1.0) == 1
    assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE
    harness.objects.faults.down = False
    assert attempt.entry.claims.flush(1.0) == 0
    harness.restart("a")
    assert harness.begin("b") == claims.Replay(answer)


def test_an_unresponsive_minion_leaves_the_outcome_unknown_everywhere(harness):
    """A minion runs the request, but its connection stops responding.

    The entry can't know that the request ran. It never sends it again and
    reports the outcome as unknown for good. The other entries report the same,
    from a query or from the table.
    """
    attempt = harness.claim_request("a")
    harness.run(attempt)
    attempt.entry.claims.mark_unknown(attempt.claim_id)
    for _ in range(2):
        for name in ("a", "b"):
            reply = harness.begin(name)
            assert reply.outcome is requests.Outcome.UNKNOWN
        attempt.entry.write_all()
    assert harness.begin("b") == claim_rules.OUTCOME_UNKNOWN


def test_a_holder_cut_off_from_its_peers_keeps_its_claim(harness):
    """A holder is paused or cut off for much longer than every deadline.

    Claims don't expire, so each entry reports an unknown outcome. Once the
    holder resumes and finishes, its answer is replayed.
    """
    attempt = harness.claim_request("a")
    for name in ("a", "b"):
        assert harness.begin(name) == claim_rules.IN_PROGRESS
    attempt.entry.cut_from_peers = True
    harness.clock.advance(3600)
    assert harness.begin("b") == claim_rules.HOLDER_UNREACHABLE
    harness.run_and_complete(attempt)
    attempt.entry.write_all()
    assert harness.begin("b") == claims.Replay(attempt.answer)


def test_an_answer_written_during_the_query_is_replayed(harness):
    """A caller retries while the first answer is being written to the table.

    The other entry reads an open claim and queries the holder, which is
    shutting down and does not reply, but has written the answer meanwhile.
    """
    attempt = harness.claim_request("a")
    harness.run_and_complete(attempt)
    attempt.entry.cut_from_peers = True
    harness.before_reply = attempt.entry.write_all
    assert harness.begin("b") == claims.Replay(attempt.answer)


def test_an_outage_refuses_new_requests_and_replays_finished_ones(harness):
    """The table fails while a request runs, and stays unavailable for long.

    The entry replays the finished request's answer during the outage and
    refuses a new request as not run at once. After the outage, the answer is
    written.
    """
    attempt = harness.claim_request("a")
    attempt.entry.link.faults.down = True
    harness.run_and_complete(attempt)
    assert attempt.entry.claims.flush(60.0) == 1
    assert harness.begin("a") == claims.Replay(attempt.answer)
    harness.advance_in_contact(2 * claim_harness.CONTACT_S)
    harness.issued_ms = int(harness.clock.wall() * 1000)
    assert (
        harness.begin("a", harness.request("new"))
        == claim_rules.CLAIMS_UNAVAILABLE
    )
    harness.issued_ms = attempt.request.issued_ms
    attempt.entry.link.faults.down = False
    assert attempt.entry.claims.flush(60.0) == 0
    harness.restart("a")
    assert harness.begin("b") == claims.Replay(attempt.answer)


def test_a_claim_is_settled_only_once(harness):
    """Releasing a claim after its request was sent would allow a second run."""
    attempt = harness.claim_request("a")
    attempt.entry.claims.mark_unknown(attempt.claim_id)
    with pytest.raises(errors.InvariantError):
        attempt.entry.claims.release(attempt.claim_id)
