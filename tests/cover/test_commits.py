"""Commits with lost answers, and group commits of many puts."""

import random

import gevent
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.common import claim_harness
from tests.common import clocks
from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.once import group_commit
from vanillaswitch.protocol import platform

STEPS = st.lists(
    st.sampled_from(
        ("lose", "blind", "drop", "delay", "arrive", "down", "answer")
        + ("others", "overtake")
    ),
    max_size=8,
)


class _ScriptedTable(claim_harness.NonDeduplicatingTable):
    """Runs one step of a script before each commit; counts effects."""

    def __init__(self, steps=(), others=None):
        super().__init__()
        self.effects = 0
        self.steps = list(steps)
        self._write_of_others = others
        self._blind = False

    def commit(self, transaction):
        step = self.steps.pop(0) if self.steps else "answer"
        self.faults.lose_answers = int(step in ("lose", "blind"))
        self.faults.drop_calls = int(step == "drop")
        self.faults.delay_effect = int(step == "delay")
        self.faults.down = step == "down"
        if step in ("arrive", "overtake"):
            self.faults.release_delayed()
        if step in ("others", "overtake"):
            self._write_of_others(self)
        self._blind = step == "blind"
        return super().commit(transaction)

    def read(self, keys):
        """Fails after a commit with the step "blind"."""
        self.faults.down |= self._blind
        return super().read(keys)

    def _apply(self, transaction):
        outcome = super()._apply(transaction)
        if transaction.token == "ours":
            self.effects += isinstance(outcome, platform.Committed)
        return outcome


def overwrite(table, except_token=""):
    """Overwrites both rows as another writer, unless one has this token."""
    versions = dict.fromkeys(("x", "y"), platform.ABSENT)
    for row in table._rows.values():
        versions[row.key] = row.version
        if row.token == except_token:
            return
    puts = [platform.Put(k, v, {"by": "other"}) for k, v in versions.items()]
    table._apply(platform.Transaction(f"other {versions}", tuple(puts)))


@given(steps=STEPS, inserts=st.booleans(), exclusive=st.booleans())
@settings(max_examples=500, derandomize=True, deadline=None)
def test_a_certain_outcome_stays_true(steps, inserts, exclusive):
    """Guards against a conflict reported for a lease that was written.

    Answers are lost, calls are lost or arrive late, the table goes down, and
    another writer overwrites the rows in between. An outcome that is reported
    as certain still holds after the last late copy has arrived, and at most
    one copy takes effect.
    """
    kept_token = "ours" if exclusive else ""
    table = _ScriptedTable(steps, lambda table: overwrite(table, kept_token))
    if not inserts:
        overwrite(table)
    found = {row.key: row.version for row in table.read(["x", "y"]).rows}
    puts = [platform.Put(k, found.get(k, platform.ABSENT), {}) for k in "xy"]
    transaction = platform.Transaction("ours", tuple(puts))
    clock = clocks.ManualClock()
    deadline = clock.monotonic() + 2.0
    outcome = commit_retries.commit_with_retries(
        table, transaction, clock, deadline, exclusive
    )
    effects_at_return = table.effects
    table.faults.release_delayed()
    assert table.effects <= 1
    if isinstance(outcome, platform.Committed):
        assert effects_at_return == 1
    elif not isinstance(outcome, platform.OutcomeUnknown):
        assert table.effects == 0


def test_a_commit_without_answers_gives_up_by_the_deadline():
    clock = clocks.ManualClock()
    table = _ScriptedTable(["drop"] * 99)
    put = platform.Put("x", platform.ABSENT, {})
    started = clock.monotonic()
    outcome = commit_retries.commit_with_retries(
        table, platform.Transaction("ours", (put,)), clock, started + 2.0
    )
    assert isinstance(outcome, platform.OutcomeUnknown)
    assert clock.monotonic() <= started + 2.0


@given(
    conflicting=st.sets(st.integers(0, 9)),
    steps=st.lists(st.sampled_from(("lose", "blind", "down")), max_size=4)
    | st.permutations(("delay", "arrive", "drop", "answer")),
)
@settings(max_examples=200, derandomize=True, deadline=None)
def test_each_put_of_a_group_gets_its_own_outcome(conflicting, steps):
    """A conflict on one caller's key must not fail the other callers' puts.

    Up to four calls without an answer are resolved within the time limit.
    """
    clock = clocks.ManualClock()
    table = _ScriptedTable()
    puts = [platform.Put(f"row/{n}", platform.ABSENT, {}) for n in range(10)]
    others = tuple(puts[number] for number in conflicting)
    table.commit(platform.Transaction("other", others))
    table.steps = list(steps)
    committer = group_commit.GroupCommitter(table, clock, random.Random(1))
    task = gevent.spawn(committer.run)
    deadline = clock.monotonic() + 60.0
    submissions = [committer.submit(put, deadline) for put in puts]
    outcomes = [committer.wait(submission) for submission in submissions]
    task.kill()
    assert committer.transaction_count <= 2
    for put, outcome in zip(puts, outcomes, strict=True):
        row = table._row_or_absent(put.key)
        if put in others:
            expected = platform.Conflict((row,))
        else:
            expected = platform.Committed(row.version)
        is_unsent = (
            isinstance(outcome, platform.Unavailable) and "down" in steps
        )
        assert outcome == expected or (is_unsent and row.token in ("", "other"))


def test_puts_of_one_row_keep_their_order():
    clock = clocks.ManualClock()
    table = _ScriptedTable()
    committer = group_commit.GroupCommitter(table, clock, random.Random(1))
    deadline = clock.monotonic() + 60.0
    first, second = (
        committer.submit(platform.Put("x", version, {"n": version}), deadline)
        for version in (0, 1)
    )
    task = gevent.spawn(committer.run)
    assert committer.wait(first) == platform.Committed(1)
    assert committer.wait(second) == platform.Committed(2)
    task.kill()


def test_a_put_that_is_queued_past_its_deadline_is_not_sent():
    clock = clocks.ManualClock()
    table = _ScriptedTable()
    committer = group_commit.GroupCommitter(table, clock, random.Random(1))
    late = committer.submit(platform.Put("x", 0, {}), clock.monotonic() + 1.0)
    clock.advance(2.0)
    task = gevent.spawn(committer.run)
    assert isinstance(late.wait(60.0), platform.Unavailable)
    task.kill()
    assert table.commits == 0


def test_a_charge_costs_two_rows_and_few_transactions():
    """Counts the writes for 40 concurrent charges at one entry."""
    world = claim_harness.ClaimHarness(("a",))
    orders = [world.request(f"k{number}") for number in range(40)]
    tasks = [gevent.spawn(world.claim_request, "a", order) for order in orders]
    for attempt in [task.get() for task in tasks]:
        world.run_and_complete(attempt)
    world.entries["a"].write_all()
    world.close()
    assert world.table.rows_written == 80
    assert world.entries["a"].components.committer.transaction_count == 2
