"""A table that hedges calls, so that lost answers cause little delay.

A call without an answer blocks its task until its time limit, which has to
allow for a slow store. This guards against a store that executes writes and
loses their answers. Otherwise an owner that is alive can't renew its lease
within a term although its writes take effect, and clients wait for seconds for
the outcome of a submission that is already stored.

So a commit returns ``OutcomeUnknown`` once its answer is overdue, while its
call continues in the background. The caller retries the same transaction as
after any lost answer. The retry runs as a copy beside the first call, and the
first answer counts. A late copy finds its rows changed and has no effect (see
``commit_retries``).
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import gevent

from vanillaswitch.coordination import hedging_delay
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

MAX_COPIES = 6
"""Most copies of one call in flight at once. The delays between them grow to
0.3 s, so a store that does not answer is sent no more than these within the
1.5 s after which the first one times out."""

MAX_READ_DELAY_S = 0.3
"""Longest delay between copies of a read, as between those of a write."""

FORGET_AFTER_S = 10.0
"""A transaction that was not retried for so long was abandoned by its caller:
retries are at most 0.5 s apart."""


@dataclasses.dataclass
class _PendingCommit:
    """The copies of one transaction.

    Attributes:
        last_tried_at: monotonic seconds of the newest attempt.
        calls: copies in flight.
        in_doubt: whether the outcome of an earlier copy is unknown.
    """

    last_tried_at: float

    calls: list[gevent.Greenlet] = dataclasses.field(default_factory=list)
    in_doubt: bool = False


class HedgedTable:
    """Implements ``platform.Table`` on top of one that may answer late."""

    def __init__(self, table: platform.Table, clock: clocks.Clock):
        self._table = table
        self._clock = clock
        self._read_delay = hedging_delay.HedgingDelay()
        self._write_delay = hedging_delay.HedgingDelay()
        self._pending: dict[str, _PendingCommit] = {}

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows by key; sends another read if the answer is overdue."""
        return self._hedged_read(lambda: self._table.read(keys))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads each row whose key starts with ``prefix``."""
        return self._table.scan(prefix, after, limit)

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Sends a copy of a transaction beside its earlier ones.

        Returns:
            ``Committed`` or ``Conflict`` if a copy was answered so; the
            conflict may be with another copy. ``Unavailable`` only if no copy
            can have had an effect. ``OutcomeUnknown`` otherwise.
        """
        now = self._clock.monotonic()
        self._forget_abandoned(now)
        pending = self._pending.setdefault(
            transaction.token, _PendingCommit(now)
        )
        pending.last_tried_at = now
        if len(pending.calls) < MAX_COPIES:
            pending.calls.append(gevent.spawn(self._timed_commit, transaction))
        outcome = self._first_answer(pending, now + self._write_delay.delay_s)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            self._pending.pop(transaction.token, None)
        elif isinstance(outcome, platform.OutcomeUnknown):
            pending.in_doubt = True
        elif pending.in_doubt:
            return platform.OutcomeUnknown(outcome.reason)
        return outcome

    def _first_answer(
        self, pending: _PendingCommit, deadline: float
    ) -> platform.CommitOutcome:
        """Waits for an answered copy, the end of all, or the deadline.

        A copy that ended without an answer says nothing about the others. If
        the copies were awaited one at a time, those sent during an outage
        would delay for a second the answer to the copy that the store
        answered as soon as it was back.
        """
        while True:
            remaining_s = max(0.0, deadline - self._clock.monotonic())
            ended = gevent.wait(pending.calls, remaining_s, count=1)
            if not ended:
                return platform.OutcomeUnknown("no answer yet")
            pending.calls.remove(ended[0])
            outcome: platform.CommitOutcome = ended[0].get()
            if isinstance(outcome, platform.Committed | platform.Conflict):
                return outcome
            if isinstance(outcome, platform.OutcomeUnknown):
                pending.in_doubt = True
            if not pending.calls:
                return outcome

    def _forget_abandoned(self, now: float) -> None:
        """Removes transactions that their callers no longer retry."""
        for token, pending in list(self._pending.items()):
            if now - pending.last_tried_at > FORGET_AFTER_S:
                del self._pending[token]

    def _timed_commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        started_at = self._clock.monotonic()
        outcome = self._table.commit(transaction)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            self._write_delay.record_response_time(
                self._clock.monotonic() - started_at
            )
        return outcome

    def _hedged_read(
        self, call: Callable[[], platform.ReadOutcome]
    ) -> platform.ReadOutcome:
        """Sends a read, and further copies while none was answered.

        A store that is back after an outage answers new calls at once, but
        never those that it received during the outage.
        """
        pending: list[gevent.Greenlet] = []
        delay_s = self._read_delay.delay_s
        for _ in range(MAX_COPIES):
            pending.append(gevent.spawn(self._timed_read, call))
            outcome = _first_rows(pending, delay_s)
            if outcome is not None:
                return outcome
            delay_s = max(delay_s, min(2 * delay_s, MAX_READ_DELAY_S))
        return platform.Unavailable("no answer yet")

    def _timed_read(
        self, call: Callable[[], platform.ReadOutcome]
    ) -> platform.ReadOutcome:
        started_at = self._clock.monotonic()
        outcome = call()
        if isinstance(outcome, platform.Rows):
            self._read_delay.record_response_time(
                self._clock.monotonic() - started_at
            )
        return outcome


def _first_rows(
    pending: list[gevent.Greenlet], delay_s: float
) -> platform.ReadOutcome | None:
    """Waits for the first copy that returns rows.

    Returns:
        Rows, or the error of the last copy if all have ended without rows.
        None if copies are still in flight after the delay.
    """
    with gevent.Timeout(delay_s, False):
        while pending:
            ended = gevent.wait(pending, count=1)[0]
            pending.remove(ended)
            outcome: platform.ReadOutcome = ended.get()
            if isinstance(outcome, platform.Rows) or not pending:
                return outcome
    return None
