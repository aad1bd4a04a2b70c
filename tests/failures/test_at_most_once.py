"""A request runs at most once, whichever entry gets it and whatever fails."""

import functools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.common import claim_harness
from vanillaswitch.coordination.once import claim_expiry
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import claims
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import keys
from vanillaswitch.state import rows

NAMES = st.runner().flatmap(lambda machine: st.sampled_from(machine.names))
CALLERS = st.sampled_from(("tacoma", "olympia"))


class _AtMostOnce(stateful.RuleBasedStateMachine):
    """Retries one request per caller at all entries while faults are injected.

    Each caller sends its request under one key to any entry, again and again.
    Entries are killed or paused at each step or cut off from the table or from
    each other, answers are lost and commits take effect late. The request must
    never run twice, and "not run" must never be reported for one that runs.
    """

    names = ("a", "b")

    def __init__(self):
        super().__init__()
        self.harness = claim_harness.ClaimHarness(self.names)
        self.open_attempts: list[claim_harness.ClaimedRequest] = []
        self.answers: dict[str, requests.Answer] = {}
        self.sent: set[str] = set()
        self.finished: dict[str, str] = {}

    def teardown(self):
        """Removes all faults and checks the final result of each request."""
        try:
            self._heal_all()
            self._check_no_orphaned_claims()
            for name in self.harness.entries:
                for caller in list(self.sent):
                    self._check_final_result(name, caller)
        finally:
            self.harness.close()

    def _check_final_result(self, name, caller):
        reply = self._check_result(name, caller)
        if self.finished.get(caller) in self._live_boots():
            assert isinstance(reply, claims.Replay)
        elif not isinstance(reply, claims.Replay):
            assert reply.outcome is requests.Outcome.UNKNOWN

    def _live_boots(self):
        return {entry.boot for entry in self.harness.entries.values()}

    def _check_result(self, name, caller):
        request = self.harness.request(caller=caller)
        reply = self.harness.begin(name, request)
        ran = caller in self.sent
        if isinstance(reply, claims.ClaimGranted):
            assert not ran
            entry = self.harness.entries[name]
            self.open_attempts.append(
                claim_harness.ClaimedRequest(entry, request, reply.claim_id)
            )
        elif isinstance(reply, claims.Replay):
            assert reply.answer == self.answers[caller]
        elif reply.outcome is requests.Outcome.RAN:
            assert ran
        elif reply.outcome is requests.Outcome.NOT_RUN:
            # This refers to the key: no attempt at any entry ran or may still
            # run.
            assert reply == claim_rules.CLAIMS_UNAVAILABLE
            assert not ran
            assert caller not in {a.request.caller for a in self.open_attempts}
        return reply

    @stateful.rule(name=NAMES, caller=CALLERS)
    def send_request(self, name, caller):
        self._check_result(name, caller)

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.open_attempts)
    def continue_attempt(self, data):
        """A holder that was paused until now takes its next step."""
        attempt = data.draw(st.sampled_from(self.open_attempts))
        caller = attempt.request.caller
        if attempt.answer is None:
            if data.draw(st.booleans()):
                self.sent.add(caller)
                self.harness.run(attempt)
                return
            self.open_attempts.remove(attempt)
            attempt.entry.claims.release(attempt.claim_id)
            return
        self.open_attempts.remove(attempt)
        if data.draw(st.booleans()):
            self.answers[caller] = attempt.answer
            self.finished[caller] = attempt.entry.boot
            attempt.entry.claims.complete(attempt.claim_id, attempt.answer)
        else:
            attempt.entry.claims.mark_unknown(attempt.claim_id)

    @stateful.rule(name=NAMES)
    def kill(self, name):
        old = self.harness.entries[name]
        self.harness.restart(name)
        # Calls that the killed boot has already sent may still take effect.
        self.harness.entries[name].link.faults = old.link.faults
        self.open_attempts = [
            a for a in self.open_attempts if a.entry is not old
        ]

    @stateful.rule(
        name=NAMES,
        fault=st.sampled_from(("down", "lose_answers", "delay_effect")),
        calls=st.sampled_from((0, 1, 99)),
    )
    def inject_table_fault(self, name, fault, calls):
        """Commits have no effect, lose their answers or take effect late."""
        setattr(self.harness.entries[name].link.faults, fault, calls)

    @stateful.rule(name=NAMES, cut=st.booleans(), late=st.booleans())
    def write_in_background(self, name, cut, late):
        entry = self.harness.entries[name]
        entry.cut_from_peers = cut
        if late:
            entry.link.faults.release_delayed()
        entry.write_all()

    @stateful.rule(seconds=st.sampled_from((1.0, 3600.0)))
    def pass_time(self, seconds):
        """Time passes all deadlines and leases, but not the retention."""
        if self.harness.clock.wall() * 1000 < self.harness.issued_ms + 4e7:
            self.harness.clock.advance(seconds)

    @stateful.rule()
    def advance_in_contact(self):
        """Entries keep contact for long enough to report "not run" again."""
        self.harness.advance_in_contact(claim_harness.CONTACT_S)

    def _heal_all(self):
        for entry in self.harness.entries.values():
            faults = entry.link.faults
            faults.down = entry.cut_from_peers = False
            faults.lose_answers = faults.delay_effect = 0
            faults.release_delayed()
        for entry in self.harness.entries.values():
            assert entry.components.records.flush(10.0) == 0

    def _check_no_orphaned_claims(self):
        """Each open claim of a live boot belongs to a request in progress."""
        in_progress = {
            (a.entry.boot, a.request.caller) for a in self.open_attempts
        }
        live_boots = self._live_boots()
        for row in self.harness.table.scan(keys.CLAIMS).rows:
            claim = rows.load(rows.Claim, row.value)
            if (
                claim.state is peers.ClaimState.CLAIMED
                and claim.boot in live_boots
            ):
                assert (claim.boot, row.key.split("/")[1]) in in_progress


TestAtMostOnce = _AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=250, stateful_step_count=25, derandomize=True, deadline=None
)


class _AtMostOnceWithThreeEntries(_AtMostOnce):
    """Three entries: faults coincide less often, more entries can disagree."""

    names = ("a", "b", "c")


TestAtMostOnceWithThreeEntries = _AtMostOnceWithThreeEntries.TestCase
TestAtMostOnceWithThreeEntries.settings = TestAtMostOnce.settings


@pytest.fixture
def harness():
    made = claim_harness.ClaimHarness()
    yield made
    made.close()


@pytest.mark.parametrize(
    "killed_after", ["claimed", "sent", "finished", "written"]
)
def test_outcome_after_an_entry_is_killed(harness, killed_after):
    """An entry is killed after it claimed, sent, got the answer or wrote it.

    The other entries can't distinguish the first three cases, so they report an
    unknown outcome. Once the answer is written, a retry gets it.
    """
    attempt = harness.claim_request("a")
    if killed_after != "claimed":
        harness.run(attempt)
    if killed_after in ("finished", "written"):
        attempt.entry.claims.complete(attempt.claim_id, attempt.answer)
    if killed_after == "written":
        attempt.entry.write_all()
    harness.restart("a")
    for name in ("a", "b"):
        reply = harness.begin(name)
        if killed_after == "written":
            assert reply == claims.Replay(attempt.answer)
        else:
            assert reply.outcome is requests.Outcome.UNKNOWN


def test_a_reused_address_does_not_release_the_previous_claim(harness):
    """Guards against a second run caused by a reply of the wrong process.

    Entry a sends the request and is replaced by a new boot at its address. The
    new boot releases a claim of its own under the same key while it is cut off
    from the table. Its RELEASED does not refer to the old boot's claim.
    """
    attempt = harness.claim_request("a")
    harness.run(attempt)
    new_boot = harness.restart("a")
    new_boot.link.faults.drop_calls = 10**6
    new_boot.link.read = lambda _: platform.Unavailable("cut off")
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    assert harness.begin("b").outcome is requests.Outcome.UNKNOWN


def test_a_released_claim_runs_elsewhere_while_its_holder_is_cut_off(harness):
    """A refused request can run elsewhere although its release is not written.

    Entry a claims, can't send the request, and loses the table before it can
    write the release. It reports "not run". It replies the same to a query of
    b, which takes the claim over. The late write of a must not undo b's claim.
    """
    first = harness.claim_request("a")
    first.entry.link.faults.down = True
    first.entry.claims.release(first.claim_id)
    second = harness.claim_request("b")
    first.entry.link.faults.down = False
    first.entry.write_all()
    assert harness.begin("a") == claim_rules.IN_PROGRESS
    harness.run_and_complete(second)
    assert harness.begin("a") == claims.Replay(second.answer)


@pytest.mark.parametrize("reclaims", [False, True])
@pytest.mark.parametrize("arrives_first", [False, True])
def test_a_delayed_claim_does_not_block_its_key(
    harness, reclaims, arrives_first
):
    """A request refused as not run must not block its key until expiry.

    The insert of the claim, or the put over a released one, gets no answer. The
    entry refuses the request and writes the release, before or after the claim
    takes effect. Until the release is written, the entry doesn't claim the key
    again. After the given delay the caller retries at another entry.
    """
    entry = harness.entries["a"]
    delay_commits = functools.partial(
        setattr, entry.link.faults, "delay_effect", 99
    )
    if reclaims:
        first = harness.claim_request("b")
        first.entry.link.faults.down = True
        first.entry.claims.release(first.claim_id)
        harness.before_reply = delay_commits
    else:
        delay_commits()
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE
    entry.link.faults.delay_effect = 0
    harness.before_reply = lambda: None
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE
    if arrives_first:
        entry.link.faults.release_delayed()
    assert entry.claims.flush(1.0) == 0
    entry.link.faults.release_delayed()
    entry.cut_from_peers = True
    harness.entries["b"].link.faults.down = False
    harness.entries["b"].write_all()
    harness.clock.advance(claim_rules.RETRY_AFTER_S)
    harness.claim_request("b")


def test_the_same_key_of_another_caller_is_independent(harness):
    """Keys of different callers don't conflict."""
    for caller in ("tacoma", "olympia"):
        attempt = harness.claim_request("a", harness.request(caller=caller))
        harness.run_and_complete(attempt)
        reply = harness.begin("b", harness.request(caller=caller))
        assert reply == claims.Replay(attempt.answer)


def test_a_key_used_for_another_request_is_refused(harness):
    """A key that is reused for a different request gets "key-reused"."""
    harness.claim_request("a")
    other = harness.request(body=b"two veils")
    assert harness.begin("a", other) == claim_rules.KEY_REUSED
    assert harness.begin("b", other) == claim_rules.KEY_REUSED


def test_a_request_past_the_retention_is_refused_and_its_claim_expires(harness):
    """A caller retries a request after its claim was deleted.

    No row shows that the request ran. It is refused because of its time of
    issue, instead of being run again.
    """
    attempt = harness.claim_request("a")
    harness.run_and_complete(attempt)
    attempt.entry.write_all()
    for seconds, left in ((claim_harness.RETENTION_S + 1, 1), (3600, 0)):
        harness.clock.advance(seconds)
        now_ms = int(harness.clock.wall() * 1000)
        claim_expiry.delete_expired_page(harness.table, harness.rng, now_ms)
        assert len(harness.table.scan(keys.CLAIMS).rows) == left
        assert harness.begin("b") == claim_rules.TOO_OLD
