"""Commits to the platform's table and resolves lost answers.

A commit can take effect although its answer is lost, and a delayed copy can
take effect long after its caller has given up. Two properties of the table
make it possible to find the outcome:

* Every put also checks the version of its row, and versions are never reused.
  Once one copy of a transaction took effect, every other copy conflicts with
  it. Once a row has moved past an expected version, no copy can take effect
  any more. So sending the *same* transaction again is safe.
* A row contains the token of the transaction that wrote it, and transactions
  are atomic. So one put row with the transaction's token proves that all of
  it took effect.

``ABSENT`` is the only version that recurs, when a row is deleted. A delayed
insert can therefore take effect after another writer wrote the row and deleted
it again. Callers that insert rows which may be deleted have to make such an
insert harmless; claims do so by a retention period (see ``claim_expiry``).

A deleted row has no token. A transaction that only deletes is resolved if a
copy is answered ``Committed``. After a lost answer, a conflict on deleted rows
is reported as ``OutcomeUnknown``.
"""

from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 0.5


def commit_with_retries(
    table: platform.Table,
    transaction: platform.Transaction,
    clock: clocks.Clock,
    deadline: float,
    exclusive_writer: bool = False,
) -> platform.CommitOutcome:
    """Commits a transaction, and retries it while its outcome is unknown.

    Args:
        table: the table to commit to.
        transaction: must have a unique token.
        clock: paces the retries.
        deadline: monotonic seconds at which to give up; at least one attempt
            is made, and an attempt under way is completed.
        exclusive_writer: the caller guarantees that nobody else overwrites or
            deletes the rows of this transaction before its outcome is known.

    Returns:
        ``Committed`` or ``Conflict`` if that is certain. ``Unavailable`` if the
        only attempt had no effect. Otherwise ``OutcomeUnknown``: a copy may
        have taken effect or may do so later.
    """
    in_doubt = False
    backoff_s = INITIAL_BACKOFF_S
    while True:
        outcome = table.commit(transaction)
        if isinstance(outcome, platform.Committed):
            return outcome
        if isinstance(outcome, platform.Conflict):
            return (
                _resolve_conflict(outcome, transaction, exclusive_writer)
                if in_doubt
                else outcome
            )
        if isinstance(outcome, platform.Unavailable) and not in_doubt:
            return outcome
        in_doubt = True
        resolved = _read_back(table, transaction, exclusive_writer)
        if resolved is not None:
            return resolved
        if clock.monotonic() + backoff_s >= deadline:
            return platform.OutcomeUnknown(outcome.reason)
        clock.sleep(backoff_s)
        backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)


def _read_back(
    table: platform.Table, transaction: platform.Transaction, exclusive: bool
) -> platform.Committed | platform.Conflict | None:
    """Reads the put rows; returns the outcome if they prove it.

    The transaction's token on one of them proves the commit. For an exclusive
    writer, rows with a newer version and another token prove that no copy took
    effect or ever will: the lost answer was a conflict. Waiting for another
    answer would only delay the caller while answers are lost.
    """
    read = table.read([put.key for put in transaction.puts])
    if isinstance(read, platform.Unavailable):
        return None
    written = _own_commit(read.rows, transaction)
    if written is not None or not exclusive:
        return written
    found = {row.key: row for row in read.rows}
    moved = tuple(
        found[put.key]
        for put in transaction.puts
        if put.key in found and found[put.key].version != put.version
    )
    return platform.Conflict(moved) if moved else None


def _own_commit(
    rows: tuple[platform.Row, ...], transaction: platform.Transaction
) -> platform.Committed | None:
    for row in rows:
        if row.token == transaction.token and row.version != platform.ABSENT:
            return platform.Committed(row.version)
    return None


def _resolve_conflict(
    conflict: platform.Conflict,
    transaction: platform.Transaction,
    exclusive: bool,
) -> platform.CommitOutcome:
    """Returns the outcome of a conflict while earlier copies are unanswered.

    This guards against the following failure: the first copy took effect, its
    answer was lost, and the second copy conflicts with the first. That
    conflict must not be reported, because the write happened. A put row that
    still has its expected version shows that no copy took effect, since each
    copy changes it. If every put row has a newer version and none has the
    transaction's token, an earlier copy may have been overwritten since, and
    the outcome is unknown.
    """
    written = _own_commit(conflict.found, transaction)
    if written is not None:
        return written
    moved = {row.key for row in conflict.found}
    is_any_unchanged = any(
        put.key not in moved and put.version != platform.ABSENT
        for put in transaction.puts
    )
    if exclusive or is_any_unchanged:
        return conflict
    return platform.OutcomeUnknown("rows were overwritten since")
