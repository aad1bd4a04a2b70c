"""Settles commits to the platform's table whose answer was lost.

A commit can take effect although its answer is lost, and a copy that was
delayed can take effect long after we gave up waiting for it. Both are settled
by two properties of the table:

* Every put is also a check of its row's version, and versions never come
  back. Once one copy of a transaction took effect, each other copy conflicts
  with it; once a row moved past an expected version, no copy can take effect
  any more. So sending the *same* transaction again is safe.
* A row shows the token of the transaction that wrote it, and a transaction
  takes effect as a whole. So one put row with our token proves all of them.

``ABSENT`` is the one version that can come back, when a row is deleted. A
delayed insert can therefore take effect after its row was written by another
and deleted again. Whoever inserts rows that are deleted has to make such an
insert harmless; claims do it by a retention (see ``claim_expiry``).

A deleted row shows no token. A transaction that only deletes can be settled
as long as a copy is answered ``Committed``; after a lost answer, a conflict
on rows that are gone is reported as ``OutcomeUnknown``.
"""

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

FIRST_WAIT_S = 0.02
LONGEST_WAIT_S = 0.5


def settle(
    table: platform.Table,
    transaction: platform.Transaction,
    clock: clocks.Clock,
    deadline: float,
    exclusive: bool = False,
) -> platform.CommitOutcome:
    """Commits a transaction and settles a lost answer.

    Args:
        table: where to commit.
        transaction: has a token of its own.
        clock: paces the tries.
        deadline: monotonic seconds at which to give up; one try is always
            made, and a try under way is waited for.
        exclusive: the caller vouches that nobody else overwrites or deletes
            what this transaction writes before it is settled.

    Returns:
        ``Committed`` or ``Conflict`` when that is certain, ``Unavailable``
        when the only try surely had no effect, otherwise ``OutcomeUnknown``:
        a copy may have taken effect or may yet do so.
    """
    in_doubt = False
    wait = FIRST_WAIT_S
    while True:
        outcome = table.commit(transaction)
        if isinstance(outcome, platform.Committed):
            return outcome
        if isinstance(outcome, platform.Conflict):
            return (
                _judge(outcome, transaction, exclusive)
                if in_doubt
                else (outcome)
            )
        if isinstance(outcome, platform.Unavailable) and not in_doubt:
            return outcome
        in_doubt = True
        settled = _read_back(table, transaction, exclusive)
        if settled is not None:
            return settled
        if clock.monotonic() + wait >= deadline:
            return platform.OutcomeUnknown(outcome.reason)
        clock.sleep(wait)
        wait = min(2 * wait, LONGEST_WAIT_S)


def _read_back(
    table: platform.Table, transaction: platform.Transaction, exclusive: bool
) -> platform.Committed | platform.Conflict | None:
    """Reads the put rows; returns the outcome where they prove it.

    Our token on one of them proves the commit. Rows that moved on without it
    prove, for an exclusive writer, that no copy took effect or ever can: the
    answer that was lost was a conflict, and to wait for another one would
    keep the truth from the caller for as long as answers are lost.
    """
    read = table.read([put.key for put in transaction.puts])
    if isinstance(read, platform.Unavailable):
        return None
    written = _ours(read.rows, transaction)
    if written is not None or not exclusive:
        return written
    found = {row.key: row for row in read.rows}
    moved = tuple(
        found[put.key]
        for put in transaction.puts
        if put.key in found and found[put.key].version != put.version
    )
    return platform.Conflict(moved) if moved else None


def _ours(
    rows: tuple[platform.Row, ...], transaction: platform.Transaction
) -> platform.Committed | None:
    for row in rows:
        if row.token == transaction.token and row.version != platform.ABSENT:
            return platform.Committed(row.version)
    return None


def _judge(
    conflict: platform.Conflict,
    transaction: platform.Transaction,
    exclusive: bool,
) -> platform.CommitOutcome:
    """Tells what a conflict means while earlier copies are unanswered.

    The failure guarded against: the first copy took effect, its answer was
    lost, the second copy conflicts with the first. Taken at its word, that
    conflict would deny a write that happened. A put row that still has its
    expected version shows that no copy took effect, for each of them would
    have moved it. Where every put row has moved on and none shows our token,
    an earlier copy may have been overwritten since, and nobody can tell.
    """
    written = _ours(conflict.found, transaction)
    if written is not None:
        return written
    moved = {row.key for row in conflict.found}
    untouched = any(
        put.key not in moved and put.version != platform.ABSENT
        for put in transaction.puts
    )
    if exclusive or untouched:
        return conflict
    return platform.OutcomeUnknown("rows were overwritten since")
