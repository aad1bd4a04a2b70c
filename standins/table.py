"""A transactional table in memory."""

from collections.abc import Iterator
from collections.abc import Sequence
import json

from standins import faults as faults_module
from vanillaswitch import errors
from vanillaswitch.protocol import platform


class MemoryTable:
    """Implements ``platform.Table``; commit numbers are never reused.

    Attributes:
        faults: the switches that make it fail.
    """

    def __init__(self, faults: faults_module.Faults | None = None):
        """Makes an empty table.

        Args:
            faults: switches, own ones when not given.
        """
        self.faults = faults or faults_module.Faults()
        self._rows: dict[str, platform.Row] = {}
        self._applied: dict[
            str, tuple[platform.Transaction, platform.Committed]
        ] = {}
        self._last_commit = platform.ABSENT
        self._commits = 0
        self._reads = 0
        self._rows_written = 0

    @property
    def commits(self) -> int:
        """Calls of ``commit`` so far, whatever came of them."""
        return self._commits

    @property
    def reads(self) -> int:
        """Calls of ``read`` and ``scan`` so far."""
        return self._reads

    @property
    def rows_written(self) -> int:
        """Rows put or deleted by transactions that took effect."""
        return self._rows_written

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows by name, all as of one commit."""
        self._reads += 1
        return self.faults.read(
            lambda: self._found(key for key in set(keys) if key in self._rows)
        )

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads each row whose key starts with ``prefix``, from ``after``."""
        self._reads += 1
        return self.faults.read(lambda: self._scan(prefix, after, limit))

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Tries a transaction once.

        Raises:
            errors.InvariantError: the token was applied with other content,
                or the transaction puts one row twice.
        """
        self._commits += 1
        _refuse_double_puts(transaction)
        return self.faults.write(lambda: self._apply(transaction))

    def _found(self, keys: Iterator[str]) -> platform.Rows:
        return platform.Rows(tuple(self._rows[key] for key in sorted(keys)))

    def _scan(self, prefix: str, after: str, limit: int) -> platform.Rows:
        found = sorted(
            key for key in self._rows if key.startswith(prefix) and key > after
        )
        return self._found(iter(found[:limit] if limit else found))

    def _apply(
        self, transaction: platform.Transaction
    ) -> platform.Committed | platform.Conflict:
        if transaction.token in self._applied:
            return self._answer_again(transaction)
        conditions = [(put.key, put.version) for put in transaction.puts]
        conditions += [(c.key, c.version) for c in transaction.checks]
        differing = {
            key for key, version in conditions if self._version(key) != version
        }
        if differing:
            return platform.Conflict(
                tuple(self._row_or_absent(key) for key in sorted(differing))
            )
        self._last_commit += 1
        for put in transaction.puts:
            self._put(put, transaction.token)
        committed = platform.Committed(self._last_commit)
        self._applied[transaction.token] = (transaction, committed)
        return committed

    def _answer_again(
        self, transaction: platform.Transaction
    ) -> platform.Committed:
        first, committed = self._applied[transaction.token]
        if first != transaction:
            raise errors.InvariantError(
                f"token {transaction.token!r} came with other content before"
            )
        return committed

    def _version(self, key: str) -> int:
        row = self._rows.get(key)
        return row.version if row else platform.ABSENT

    def _row_or_absent(self, key: str) -> platform.Row:
        return self._rows.get(key) or platform.Row(key, platform.ABSENT, {}, "")

    def _put(self, put: platform.Put, token: str) -> None:
        self._rows_written += 1
        if put.value is None:
            self._rows.pop(put.key, None)
            return
        # A row that still shared its mapping with the writer would change
        # without a commit; the JSON copy also refuses what JSON can't hold.
        value = json.loads(json.dumps(put.value))
        self._rows[put.key] = platform.Row(
            put.key, self._last_commit, value, token
        )


def _refuse_double_puts(transaction: platform.Transaction) -> None:
    keys = [put.key for put in transaction.puts]
    if len(set(keys)) != len(keys):
        raise errors.InvariantError(f"a row is put twice in one: {keys}")
