"""A table whose calls return soon, also while answers get lost.

A call without an answer holds its task until its time limit, which has to
allow for a slow store. Guarded against here: a store that carries writes out
and loses their answers. It shows as an owner that cannot renew its lease
within a term, though it lives and its writes take effect, and as clients that
wait for seconds for the outcome of a hand-in that is stored.

So a call returns as "not known" once an answer is overdue, and goes on behind.
The caller settles it as any lost answer, by the same transaction again: that
is a copy beside the first one, and whichever is answered first counts. A copy
that comes late finds its rows changed and has no effect (see ``commits``).
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses

import gevent

from vanillaswitch.coordination import answer_times
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

MAX_COPIES = 6
"""Copies of one transaction under way at once. The waits between them grow to
0.3 s, so that a silent store is sent no more than these within the 1.5 s
after which the first one is given up."""

READ_AGAIN_S = 0.3
"""Longest pause between copies of a reading, as between those of a write."""

FORGET_S = 10.0
"""A transaction that was not tried for so long was given up by its caller:
pauses between copies are 0.5 s at most."""


@dataclasses.dataclass
class _Copies:
    """What is under way for one transaction.

    Attributes:
        in_doubt: a copy was sent whose outcome nobody learnt.
        tried_at: monotonic seconds of the newest copy.
    """

    tried_at: float

    calls: list[gevent.Greenlet] = dataclasses.field(default_factory=list)
    in_doubt: bool = False


class PromptTable:
    """Implements ``platform.Table`` on top of one that may answer late."""

    def __init__(self, table: platform.Table, clock: clocks.Clock):
        self._table = table
        self._clock = clock
        self._reads = answer_times.AnswerTimes()
        self._writes = answer_times.AnswerTimes()
        self._open: dict[str, _Copies] = {}

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows by name, again where the answer is overdue."""
        return self._read(lambda: self._table.read(keys))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads each row whose key starts with ``prefix``."""
        return self._table.scan(prefix, after, limit)

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Tries a transaction; copies of the same one go on side by side.

        Returns:
            ``Committed`` or ``Conflict`` as one copy was answered; a conflict
            may be with another copy. ``Unavailable`` only if no copy can have
            had an effect.
        """
        now = self._clock.monotonic()
        self._forget(now)
        copies = self._open.setdefault(transaction.token, _Copies(now))
        copies.tried_at = now
        if len(copies.calls) < MAX_COPIES:
            copies.calls.append(gevent.spawn(self._write, transaction))
        outcome = self._first_answer(copies, now + self._writes.wait_s)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            self._open.pop(transaction.token, None)
        elif isinstance(outcome, platform.OutcomeUnknown):
            copies.in_doubt = True
        elif copies.in_doubt:
            return platform.OutcomeUnknown(outcome.reason)
        return outcome

    def _first_answer(
        self, copies: _Copies, until: float
    ) -> platform.CommitOutcome:
        """Waits for a copy that was answered; for the last one at worst.

        A copy that ended without an answer says nothing of the others. Taken
        one at a time, those of an outage hid for a second the copy that the
        store had answered at once when it was back.
        """
        while True:
            left_s = max(0.0, until - self._clock.monotonic())
            ended = gevent.wait(copies.calls, left_s, count=1)
            if not ended:
                return platform.OutcomeUnknown("no answer yet")
            copies.calls.remove(ended[0])
            outcome: platform.CommitOutcome = ended[0].get()
            if isinstance(outcome, platform.Committed | platform.Conflict):
                return outcome
            if isinstance(outcome, platform.OutcomeUnknown):
                copies.in_doubt = True
            if not copies.calls:
                return outcome

    def _forget(self, now: float) -> None:
        """Forgets transactions that nobody tries any more."""
        for token, copies in list(self._open.items()):
            if now - copies.tried_at > FORGET_S:
                del self._open[token]

    def _write(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        began = self._clock.monotonic()
        outcome = self._table.commit(transaction)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            self._writes.observe(self._clock.monotonic() - began)
        return outcome

    def _read(
        self, call: Callable[[], platform.ReadOutcome]
    ) -> platform.ReadOutcome:
        """Reads, with further copies as long as none was answered.

        A store that comes back answers new calls at once, and those that it
        met while it was away not at all.
        """
        copies: list[gevent.Greenlet] = []
        wait_s = self._reads.wait_s
        for _ in range(MAX_COPIES):
            copies.append(gevent.spawn(self._timed, call))
            outcome = _first_rows(copies, wait_s)
            if outcome is not None:
                return outcome
            wait_s = max(wait_s, min(2 * wait_s, READ_AGAIN_S))
        return platform.Unavailable("no answer yet")

    def _timed(
        self, call: Callable[[], platform.ReadOutcome]
    ) -> platform.ReadOutcome:
        began = self._clock.monotonic()
        outcome = call()
        if isinstance(outcome, platform.Rows):
            self._reads.observe(self._clock.monotonic() - began)
        return outcome


def _first_rows(
    copies: list[gevent.Greenlet], wait_s: float
) -> platform.ReadOutcome | None:
    """Waits for rows; returns why there are none once all copies ended.

    Returns:
        None while copies are left.
    """
    with gevent.Timeout(wait_s, False):
        while copies:
            ended = gevent.wait(copies, count=1)[0]
            copies.remove(ended)
            outcome: platform.ReadOutcome = ended.get()
            if isinstance(outcome, platform.Rows) or not copies:
                return outcome
    return None
