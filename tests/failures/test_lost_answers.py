"""What a caller hears when an answer was lost on the way."""

import pytest

from tests.common import claim_world
from vanillaswitch import errors
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import requests


@pytest.fixture
def harness():
    made = claim_world.World()
    yield made
    made.close()


def test_a_lost_answer_of_the_table_does_not_refuse_the_charge(harness):
    """A charge is refused since its own claim is in the way.

    The insert takes effect and its answer is lost. Sent again, it conflicts
    with its first copy; the row's token shows that the claim is ours.
    """
    harness.entries["a"].link.faults.lose_answers = 1
    attempt = harness.attempt("a")
    harness.finish(attempt)
    assert harness.begin("a") == claims.Replay(attempt.answer)


@pytest.mark.parametrize("size", [10, 200_000])
@pytest.mark.parametrize("written", [False, True])
def test_the_whole_first_answer_is_given_again(harness, size, written):
    """The clerk's connection breaks after the charge; she asks again.

    The run is over, its answer never reached her. She asks the same entry or
    another, before or after the answer is in the table, and must get it whole
    or hear that it ran; a large answer travels by the object store only.
    """
    attempt = harness.attempt("a")
    answer = harness.finish(attempt, b"x" * size)
    if written:
        attempt.entry.write_all()
    assert harness.begin("a") == claims.Replay(answer)
    if written or size < 1000:
        assert harness.begin("b") == claims.Replay(answer)
    else:
        assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE


def test_a_large_answer_waits_for_the_object_store(harness):
    """The object store is down when a long answer is to be kept.

    The charge must not be marked as done without its answer, so the claim
    stays with its entry until the store is back; then any entry replays it.
    """
    harness.objects.faults.down = True
    attempt = harness.attempt("a")
    answer = harness.finish(attempt, b"x" * 200_000)
    assert attempt.entry.claims.flush(1.0) == 1
    assert harness.begin("b") == claim_rules.ANSWER_UNAVAILABLE
    harness.objects.faults.down = False
    assert attempt.entry.claims.flush(1.0) == 0
    harness.restart("a")
    assert harness.begin("b") == claims.Replay(answer)


def test_a_silent_minion_leaves_the_outcome_unknown_everywhere(harness):
    """The minion ran the charge and its connection went silent.

    The entry can't know that it ran. It never sends again, says so for good,
    and so does each other entry, whether by asking it or by the table.
    """
    attempt = harness.attempt("a")
    harness.run(attempt)
    attempt.entry.claims.lost(attempt.ticket)
    for _ in range(2):
        for name in ("a", "b"):
            reply = harness.begin(name)
            assert reply.outcome is requests.Outcome.UNKNOWN
        attempt.entry.write_all()
    assert harness.begin("b") == claim_rules.OUTCOME_UNKNOWN


def test_a_holder_cut_off_from_its_peers_is_not_overruled(harness):
    """The holder is paused or cut off, far past every deadline.

    Its claim has no term: whoever is asked says that the outcome is unknown.
    When the holder wakes and finishes, its answer is the one that is given.
    """
    attempt = harness.attempt("a")
    for name in ("a", "b"):
        assert harness.begin(name) == claim_rules.IN_PROGRESS
    attempt.entry.cut_from_peers = True
    harness.clock.advance(3600)
    assert harness.begin("b") == claim_rules.HOLDER_UNREACHABLE
    harness.finish(attempt)
    attempt.entry.write_all()
    assert harness.begin("b") == claims.Replay(attempt.answer)


def test_an_answer_written_while_its_holder_was_asked_is_given(harness):
    """The clerk asks just as the first answer is on its way to the table.

    The other entry reads the claim as running and asks the holder, which is
    stopping and does not reply, but has written the answer meanwhile.
    """
    attempt = harness.attempt("a")
    harness.finish(attempt)
    attempt.entry.cut_from_peers = True
    harness.before_reply = attempt.entry.write_all
    assert harness.begin("b") == claims.Replay(attempt.answer)


def test_an_outage_refuses_new_charges_and_keeps_finished_ones(harness):
    """The table goes down while a charge runs, and stays down for long.

    The finished charge is given again by its entry all along; a new one is
    refused as not run at once. After the outage the answer gets written.
    """
    attempt = harness.attempt("a")
    attempt.entry.link.faults.down = True
    harness.finish(attempt)
    assert attempt.entry.claims.flush(60.0) == 1
    assert harness.begin("a") == claims.Replay(attempt.answer)
    harness.advance_in_contact(2 * claim_world.CONTACT_S)
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


def test_a_ticket_is_settled_once(harness):
    """A path that released what it had sent would let it run twice."""
    attempt = harness.attempt("a")
    attempt.entry.claims.lost(attempt.ticket)
    with pytest.raises(errors.InvariantError):
        attempt.entry.claims.release(attempt.ticket)
