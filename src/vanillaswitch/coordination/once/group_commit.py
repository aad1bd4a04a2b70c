"""Combines single puts of many tasks into few transactions.

The table accepts several hundred writes a second from the whole fleet. Puts
that arrive during a transaction are collected and sent together in the next
one. A single put is sent at once.
"""

import collections
import dataclasses
import random

import gevent
from gevent import event
from gevent import queue

from vanillaswitch import errors
from vanillaswitch.coordination import commit_retries
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of a group committer.

    Attributes:
        max_rows: number of puts in one transaction.
        max_text: characters of text in one transaction; a single larger put is
            sent alone.
        max_waiting: number of waiting puts; further ones are refused at once.
        commit_timeout_s: how long to retry a transaction whose answer was lost,
            before its puts are reported as unknown and the next ones are sent.
    """

    max_rows: int = 64
    max_text: int = 1_048_576
    max_waiting: int = 4096
    commit_timeout_s: float = 1.0


class Submission:
    """A submitted put; its outcome is set once."""

    def __init__(self, put: platform.Put, deadline: float):
        """Creates a submission without an outcome."""
        self.put = put
        self.deadline = deadline
        self._result = event.AsyncResult()

    def set_outcome(self, outcome: platform.CommitOutcome) -> None:
        """Sets the outcome and wakes the waiting tasks."""
        self._result.set(outcome)

    def wait(self, timeout_s: float) -> platform.CommitOutcome:
        """Waits for the outcome; ``OutcomeUnknown`` after a timeout."""
        try:
            outcome: platform.CommitOutcome = self._result.get(
                timeout=max(0.0, timeout_s)
            )
        except gevent.Timeout:
            return platform.OutcomeUnknown("the outcome was not known in time")
        return outcome


class GroupCommitter:
    """A single task that commits independent puts.

    The submitter of a put has to be the only writer of the row from when the
    put takes effect until the submitter gets the outcome (``exclusive_writer``
    in ``commit_retries``).
    """

    def __init__(
        self,
        table: platform.Table,
        clock: clocks.Clock,
        rng: random.Random,
        limits: Limits | None = None,
    ):
        """Creates a committer; the caller has to spawn ``run``.

        Args:
            table: the table to commit to.
            clock: measures deadlines and paces retries.
            rng: random source for the transactions' tokens.
            limits: limits to use instead of the defaults.
        """
        self._table = table
        self._clock = clock
        self._rng = rng
        self._limits = limits or Limits()
        self._inbox = queue.Queue()
        self._deferred: collections.deque[Submission] = collections.deque()
        self._transaction_count = 0
        self._row_count = 0
        self._is_unresponsive = False

    @property
    def is_unresponsive(self) -> bool:
        """Whether the last transaction ended without a known outcome.

        Callers with optional writes should not submit them while this is true.
        The required writes detect when the table answers again.
        """
        return self._is_unresponsive

    @property
    def transaction_count(self) -> int:
        """Number of transactions sent so far; retries are not counted."""
        return self._transaction_count

    @property
    def row_count(self) -> int:
        """Number of rows that certainly took effect so far."""
        return self._row_count

    def submit(self, put: platform.Put, deadline: float) -> Submission:
        """Submits a put.

        Args:
            put: goes into the next transaction.
            deadline: monotonic seconds; a put that waits longer is not sent.
        """
        submission = Submission(put, deadline)
        if self._inbox.qsize() >= self._limits.max_waiting:
            submission.set_outcome(
                platform.Unavailable("too many writes are waiting")
            )
        else:
            self._inbox.put(submission)
        return submission

    def wait(self, submission: Submission) -> platform.CommitOutcome:
        """Waits for a put's outcome until its deadline.

        Returns:
            The outcome. ``Conflict`` contains the row as found; ``Unavailable``
            means that the put certainly has no effect.
        """
        return submission.wait(submission.deadline - self._clock.monotonic())

    def commit(
        self, put: platform.Put, deadline: float
    ) -> platform.CommitOutcome:
        """Submits a put and waits for its outcome."""
        return self.wait(self.submit(put, deadline))

    def run(self) -> None:
        """Commits submitted puts forever."""
        while True:
            self._send(self._collect())

    def _collect(self) -> list[Submission]:
        """Waits for a put and returns it with the others that have arrived."""
        waiting, self._deferred = self._deferred, collections.deque()
        if not waiting:
            waiting.append(self._inbox.get())
        while not self._inbox.empty():
            waiting.append(self._inbox.get())
        batch: dict[str, Submission] = {}
        text_size = 0
        for submission in waiting:
            if submission.deadline <= self._clock.monotonic():
                submission.set_outcome(
                    platform.Unavailable("the write waited past its deadline")
                )
                continue
            text_size += _text_size(submission.put)
            is_full = len(batch) >= self._limits.max_rows or (
                bool(batch) and text_size > self._limits.max_text
            )
            # A transaction may put a row only once, and the puts of one row
            # keep their order. The second one waits for the next transaction.
            if is_full or submission.put.key in batch:
                self._deferred.append(submission)
            else:
                batch[submission.put.key] = submission
        return list(batch.values())

    def _send(self, batch: list[Submission]) -> None:
        while batch:
            self._transaction_count += 1
            outcome = commit_retries.commit_with_retries(
                self._table,
                platform.Transaction(
                    ids.new_id(self._rng),
                    tuple(submission.put for submission in batch),
                ),
                self._clock,
                self._clock.monotonic() + self._limits.commit_timeout_s,
                exclusive_writer=True,
            )
            if isinstance(outcome, platform.Conflict):
                self._is_unresponsive = False
                batch = _report_conflicts(batch, outcome)
                continue
            if isinstance(outcome, platform.Committed):
                self._row_count += len(batch)
            for submission in batch:
                submission.set_outcome(outcome)
            self._is_unresponsive = isinstance(outcome, platform.OutcomeUnknown)
            if self._is_unresponsive:
                self._refuse_waiting()
            return

    def _refuse_waiting(self) -> None:
        """Reports to the waiting puts that they have no effect.

        This guards against the following failure: the table accepts calls and
        answers none. Each transaction then takes its full time limit, and a
        waiting put would only learn near its deadline that it was never sent.
        """
        waiting, self._deferred = self._deferred, collections.deque()
        while not self._inbox.empty():
            waiting.append(self._inbox.get())
        for submission in waiting:
            submission.set_outcome(
                platform.Unavailable("the table does not answer")
            )


def _report_conflicts(
    batch: list[Submission], conflict: platform.Conflict
) -> list[Submission]:
    """Sets the outcome of puts whose rows differ; returns the other puts.

    Raises:
        errors.InvariantError: the table names no row of the transaction.
    """
    found = {row.key: row for row in conflict.found}
    remaining = []
    for submission in batch:
        row = found.get(submission.put.key)
        if row is None:
            remaining.append(submission)
        else:
            submission.set_outcome(platform.Conflict((row,)))
    if len(remaining) == len(batch):
        raise errors.InvariantError(
            "the table reported a conflict without any row of the transaction"
        )
    return remaining


def _text_size(put: platform.Put) -> int:
    values = (put.value or {}).values()
    return sum(len(value) for value in values if isinstance(value, str))
