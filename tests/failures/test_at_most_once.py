"""A charge runs at most once, whichever entry is asked and whatever fails."""

import functools

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.common import claim_world
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
    """An order is asked for again and again while all around it fails.

    A bride's veil is ordered under one key. The desk asks whichever entry
    answers; entries are killed or paused at each step, cut off from the table
    or from each other, answers are lost and writes take effect late. She must
    never pay for two veils, nor hear "not run" of one that is being cut.
    """

    names = ("a", "b")

    def __init__(self):
        super().__init__()
        self.harness = claim_world.World(self.names)
        self.open: list[claim_world.Attempt] = []
        self.answers: dict[str, requests.Answer] = {}
        self.sent: set[str] = set()
        self.finished: dict[str, str] = {}

    def teardown(self):
        """Heals everything; then only the truth may be told."""
        try:
            self._heal_all()
            self._check_table()
            for name in self.harness.entries:
                for caller in list(self.sent):
                    self._check_final(name, caller)
        finally:
            self.harness.close()

    def _check_final(self, name, caller):
        reply = self._check_reply(name, caller)
        if self.finished.get(caller) in self._living():
            assert isinstance(reply, claims.Replay)
        elif not isinstance(reply, claims.Replay):
            assert reply.outcome is requests.Outcome.UNKNOWN

    def _living(self):
        return {entry.boot for entry in self.harness.entries.values()}

    def _check_reply(self, name, caller):
        request = self.harness.request(caller=caller)
        reply = self.harness.begin(name, request)
        ran = caller in self.sent
        if isinstance(reply, claims.Proceed):
            assert not ran
            entry = self.harness.entries[name]
            self.open.append(claim_world.Attempt(entry, request, reply.ticket))
        elif isinstance(reply, claims.Replay):
            assert reply.answer == self.answers[caller]
        elif reply.outcome is requests.Outcome.RAN:
            assert ran
        elif reply.outcome is requests.Outcome.NOT_RUN:
            # It speaks of the key: no attempt at any entry ran, or may yet.
            assert reply == claim_rules.CLAIMS_UNAVAILABLE
            assert not ran
            assert caller not in {a.request.caller for a in self.open}
        return reply

    @stateful.rule(name=NAMES, caller=CALLERS)
    def ask(self, name, caller):
        self._check_reply(name, caller)

    @stateful.rule(data=st.data())
    @stateful.precondition(lambda self: self.open)
    def go_on(self, data):
        """A holder, paused until now, takes its next step."""
        attempt = data.draw(st.sampled_from(self.open))
        caller = attempt.request.caller
        if attempt.answer is None:
            if data.draw(st.booleans()):
                self.sent.add(caller)
                self.harness.run(attempt)
                return
            self.open.remove(attempt)
            attempt.entry.claims.release(attempt.ticket)
            return
        self.open.remove(attempt)
        if data.draw(st.booleans()):
            self.answers[caller] = attempt.answer
            self.finished[caller] = attempt.entry.boot
            attempt.entry.claims.finish(attempt.ticket, attempt.answer)
        else:
            attempt.entry.claims.lost(attempt.ticket)

    @stateful.rule(name=NAMES)
    def kill(self, name):
        old = self.harness.entries[name]
        self.harness.restart(name)
        # What the dead boot had under way in the network stays under way.
        self.harness.entries[name].link.faults = old.link.faults
        self.open = [a for a in self.open if a.entry is not old]

    @stateful.rule(
        name=NAMES,
        fault=st.sampled_from(("down", "lose_answers", "delay_effect")),
        calls=st.sampled_from((0, 1, 99)),
    )
    def fail_the_table(self, name, fault, calls):
        """Commits have no effect, or one that is not answered or is late."""
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
        """Far past every deadline and lease, still within the retention."""
        if self.harness.clock.wall() * 1000 < self.harness.issued_ms + 4e7:
            self.harness.clock.advance(seconds)

    @stateful.rule()
    def advance_in_contact(self):
        """Every process watches its peers, long enough to vouch again."""
        self.harness.advance_in_contact(claim_world.CONTACT_S)

    def _heal_all(self):
        for entry in self.harness.entries.values():
            faults = entry.link.faults
            faults.down = entry.cut_from_peers = False
            faults.lose_answers = faults.delay_effect = 0
            faults.release_delayed()
        for entry in self.harness.entries.values():
            assert entry.parts.ledger.flush(10.0) == 0

    def _check_table(self):
        """No claim of a living boot stands without a request under way."""
        under_way = {(a.entry.boot, a.request.caller) for a in self.open}
        living = self._living()
        for row in self.harness.table.scan(keys.CLAIMS).rows:
            claim = rows.load(rows.Claim, row.value)
            if claim.state is peers.ClaimState.CLAIMED and claim.boot in living:
                assert (claim.boot, row.key.split("/")[1]) in under_way


TestAtMostOnce = _AtMostOnce.TestCase
TestAtMostOnce.settings = settings(
    max_examples=250, stateful_step_count=25, derandomize=True, deadline=None
)


class _AtThreeEntries(_AtMostOnce):
    """The same with three: faults meet less often, and more can disagree."""

    names = ("a", "b", "c")


TestAtThreeEntries = _AtThreeEntries.TestCase
TestAtThreeEntries.settings = TestAtMostOnce.settings


@pytest.fixture
def harness():
    made = claim_world.World()
    yield made
    made.close()


@pytest.mark.parametrize("step", ["claimed", "sent", "finished", "written"])
def test_a_killed_entry_leaves_the_truth(harness, step):
    """The desk's order vanishes with the entry that had it, and asks another.

    The entry is killed after it claimed, sent, had the answer, or wrote it.
    Nobody else can tell the first three apart, so the desk hears that the
    outcome is unknown; after the last it gets the first answer.
    """
    attempt = harness.attempt("a")
    if step != "claimed":
        harness.run(attempt)
    if step in ("finished", "written"):
        attempt.entry.claims.finish(attempt.ticket, attempt.answer)
    if step == "written":
        attempt.entry.write_all()
    harness.restart("a")
    for name in ("a", "b"):
        reply = harness.begin(name)
        if step == "written":
            assert reply == claims.Replay(attempt.answer)
        else:
            assert reply.outcome is requests.Outcome.UNKNOWN


def test_a_reused_address_does_not_free_the_claim_of_another(harness):
    """A second veil would be cut by asking the wrong process.

    Entry a sends the order and is replaced by a new boot at its address. The
    new boot gave up a claim of its own under the key while the table was cut
    off. Its "released" is no word on the old boot's claim.
    """
    attempt = harness.attempt("a")
    harness.run(attempt)
    reborn = harness.restart("a")
    reborn.link.faults.drop_calls = 10**6
    reborn.link.read = lambda _: platform.Unavailable("cut off")
    assert harness.begin("a") == claim_rules.CLAIMS_UNAVAILABLE_UNKNOWN
    assert harness.begin("b").outcome is requests.Outcome.UNKNOWN


def test_a_released_claim_runs_elsewhere_while_its_holder_is_cut_off(harness):
    """A refused order can be placed elsewhere though the table missed that.

    Entry a claims, can't send, and loses the table before it can write its
    release; it says "not run". Asked by b, it says so again, b takes over,
    and a's write, when it comes, does not undo b's claim.
    """
    first = harness.attempt("a")
    first.entry.link.faults.down = True
    first.entry.claims.release(first.ticket)
    second = harness.attempt("b")
    first.entry.link.faults.down = False
    first.entry.write_all()
    assert harness.begin("a") == claim_rules.IN_PROGRESS
    harness.finish(second)
    assert harness.begin("a") == claims.Replay(second.answer)


@pytest.mark.parametrize("reclaims", [False, True])
@pytest.mark.parametrize("arrives_first", [False, True])
def test_a_late_claim_does_not_stand(harness, reclaims, arrives_first):
    """An order refused as not run must not block its key until it expires.

    The write of the claim, new or over a released one, is answered by
    nothing; the entry refuses, and writes that it gave up. The claim arrives
    before that or after. Until it is written, the entry claims nothing more.
    The desk comes back elsewhere when it was told to.
    """
    entry = harness.entries["a"]
    slow_down = functools.partial(
        setattr, entry.link.faults, "delay_effect", 99
    )
    if reclaims:
        first = harness.attempt("b")
        first.entry.link.faults.down = True
        first.entry.claims.release(first.ticket)
        harness.before_reply = slow_down
    else:
        slow_down()
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
    harness.attempt("b")


def test_the_same_key_of_another_caller_is_independent(harness):
    """Two shops that number their orders alike do not meet."""
    for caller in ("tacoma", "olympia"):
        attempt = harness.attempt("a", harness.request(caller=caller))
        harness.finish(attempt)
        reply = harness.begin("b", harness.request(caller=caller))
        assert reply == claims.Replay(attempt.answer)


def test_a_key_used_for_another_request_is_refused(harness):
    """A till that repeats a key for a second order hears so, and no more."""
    harness.attempt("a")
    other = harness.request(body=b"two veils")
    assert harness.begin("a", other) == claim_rules.KEY_REUSED
    assert harness.begin("b", other) == claim_rules.KEY_REUSED


def test_a_request_past_the_retention_is_refused_and_its_claim_expires(harness):
    """A till replays last week's orders after its claims were deleted.

    The row is gone, so nothing shows that the order ran; its time of issue
    does, and the request is refused rather than run again.
    """
    attempt = harness.attempt("a")
    harness.finish(attempt)
    attempt.entry.write_all()
    for seconds, left in ((claim_world.RETENTION_S + 1, 1), (3600, 0)):
        harness.clock.advance(seconds)
        now_ms = int(harness.clock.wall() * 1000)
        claim_expiry.delete_expired_page(harness.table, harness.rng, now_ms)
        assert len(harness.table.scan(keys.CLAIMS).rows) == left
        assert harness.begin("b") == claim_rules.TOO_OLD
