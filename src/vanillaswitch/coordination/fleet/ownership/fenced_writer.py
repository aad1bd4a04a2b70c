"""Writes rows for the owner, each time renewing its lease.

Every transaction also rewrites the owner's row, on condition that the row has
not changed since the last write. So a process that no longer owns the fleet
can't write, even if it does not know that yet, and every write shows the other
processes that the owner is alive.

When an answer is lost, the same transaction is sent again. If the first attempt
was committed, the second one conflicts, and the owner's row that it finds has
this transaction's token. That proves the write. If the second attempt was
committed, a delayed first attempt conflicts and changes nothing.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any

from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform

OWNER_KEY = "owner/fleet"
JOB_TABLE = "job"
SPEC_TABLE = "spec"
PROGRESS_TABLE = "progress"
CANCEL_TABLE = "cancel"

MAX_ROWS_PER_WRITE = 45
"""Rows in one transaction besides the owner's. The platform accepts 100
conditions and writes per transaction, and each row counts as both."""

TAKE_OVER_TIMEOUT_S = 3.0
"""Timeout for becoming the owner. If the write is committed after that, the row
names an owner that does not run. Other processes take over when the row has not
changed for ``owner_monitor.TERM_TIMEOUT_S``."""

MACHINE_OPERATION_LEASE_S = 1.2
"""The owner operates on machines (moves them or starts their maintenance) only
this long after it sent its last successful write. It is shorter than the time
after which another process may own the fleet."""

FIRST_BACKOFF_S = 0.03
MAX_BACKOFF_S = 0.3
"""Backoff between attempts of a transaction: short enough to resume soon after
an outage, long enough not to overload a failing store."""


@dataclasses.dataclass(frozen=True)
class OwnerRow:
    """The row that names the fleet's owner.

    Attributes:
        holder: name of the owner's process; empty after the owner released the
            fleet.
        address: "ip:port" where it listens for other processes.
        boot: random id that the process chose when it started.
        weakness: share of the needed resources that was missing on the best
            machine that has owned the fleet so far; 0 if unknown. See
            ``owner_candidate.machine_weakness``.
    """

    holder: str
    address: str
    boot: str
    weakness: float = 0.0

    def document(self) -> dict[str, Any]:
        """Returns the row's content."""
        return dataclasses.asdict(self)


UNKNOWN_OWNER = OwnerRow("(unknown)", "", "")
"""Used as the owner when its row can't be decoded. It counts as a process that
may have just operated on a machine. If it counted as no owner, the new
owner would operate on machines without waiting for ``lease_s``."""


def decode_owner_row(document: Mapping[str, Any]) -> OwnerRow:
    """Decodes the owner's row."""
    fields = [document.get(name) for name in ("holder", "address", "boot")]
    texts = [field for field in fields if isinstance(field, str)]
    if len(texts) < len(fields):
        return UNKNOWN_OWNER
    holder, address, boot = texts
    weakness = document.get("weakness")
    if not isinstance(weakness, float) or not 0.0 <= weakness <= 1.0:
        # Earlier versions write rows without this field.
        weakness = 0.0
    return OwnerRow(holder, address, boot, weakness)


@dataclasses.dataclass(frozen=True)
class Written:
    """The transaction was committed with this version."""

    version: int


@dataclasses.dataclass(frozen=True)
class TermOver:
    """The term is over; whether the transaction was committed is unknown."""


class FencedWriter:
    """Writes rows during one term of ownership."""

    def __init__(
        self, table: platform.Table, clock: clocks.Clock, own_row: OwnerRow
    ):
        self._table = table
        self._clock = clock
        self._own_row = own_row
        self._version = platform.ABSENT
        self._transaction_numbers = itertools.count(1)
        self._token = 0
        self._last_write_sent_at = -1e9
        self._last_write_answered_at = -1e9
        self._is_term_over = False
        self._operations_allowed_from = 0.0

    @property
    def token(self) -> int:
        """Fencing token of this term: the version of its first write.

        It is sent with orders, so that orders of an earlier owner can be told
        from those of a later one. One counter supplies the versions of the
        whole store, so every later term has a higher token.
        """
        return self._token

    @property
    def last_written_version(self) -> int:
        """Version of the last successful write; increases within a term."""
        return self._version

    @property
    def last_write_sent_at(self) -> float:
        """Monotonic seconds when the last successful write was first sent.

        The lease counts from this time.
        """
        return self._last_write_sent_at

    @property
    def last_write_answered_at(self) -> float:
        """Monotonic seconds when the last successful write was answered.

        Use it to tell whether the store still answers. ``last_write_sent_at``
        can't tell: if each write takes a second, the last successful one was
        sent up to two seconds ago.
        """
        return self._last_write_answered_at

    @property
    def is_term_over(self) -> bool:
        """Whether this term is over."""
        return self._is_term_over

    def end_term(self) -> None:
        """Ends the term, for example after an answer with a higher token."""
        self._is_term_over = True

    def may_operate_machines(self) -> bool:
        """Returns whether the owner may operate on machines now.

        Its last successful write must be recent, and the time from which
        ``take_over`` allowed operations must have come. Until then, a previous
        owner that is slow but alive may have operations under way.
        """
        now = self._clock.monotonic()
        is_lease_fresh = (
            now - self._last_write_sent_at <= MACHINE_OPERATION_LEASE_S
        )
        return (
            is_lease_fresh
            and not self._is_term_over
            and now >= self._operations_allowed_from
        )

    def take_over(self, version: int, operations_allowed_from: float) -> bool:
        """Tries to become the owner.

        Args:
            version: of the owner's row as last read.
            operations_allowed_from: monotonic seconds from which this owner may
                operate on machines.

        Returns:
            Whether this process now owns the fleet.
        """
        self._operations_allowed_from = operations_allowed_from
        self._version = version
        outcome = self._write(self._own_row, (), TAKE_OVER_TIMEOUT_S)
        if isinstance(outcome, Written):
            self._token = outcome.version
        return isinstance(outcome, Written)

    def write(self, puts: Sequence[platform.Put]) -> Written | TermOver:
        """Writes rows and renews the lease.

        Retries until the outcome is known or the term is over.
        """
        return self._write(self._own_row, puts, None)

    def release(self, timeout_s: float) -> None:
        """Ends the term and lets another process take over immediately."""
        released_row = dataclasses.replace(self._own_row, holder="", address="")
        self._write(released_row, (), timeout_s)
        self._is_term_over = True

    def _write(
        self,
        row: OwnerRow,
        puts: Sequence[platform.Put],
        timeout_s: float | None,
    ) -> Written | TermOver:
        transaction_token = (
            f"{self._own_row.boot}-{next(self._transaction_numbers)}"
        )
        owner_put = platform.Put(OWNER_KEY, self._version, row.document())
        transaction = platform.Transaction(
            transaction_token, (owner_put, *puts)
        )
        first_sent_at = self._clock.monotonic()
        backoff_s = FIRST_BACKOFF_S
        while not self._is_term_over:
            outcome = self._table.commit(transaction)
            version = _applied_version(outcome, transaction_token)
            if version is not None:
                self._version = version
                # Any attempt may have been committed, so the lease counts from
                # the earliest one.
                self._last_write_sent_at = first_sent_at
                self._last_write_answered_at = self._clock.monotonic()
                return Written(version)
            if isinstance(outcome, platform.Conflict):
                break
            elapsed_s = self._clock.monotonic() - first_sent_at
            if timeout_s is not None and elapsed_s >= timeout_s:
                break
            self._clock.sleep(backoff_s)
            backoff_s = min(2 * backoff_s, MAX_BACKOFF_S)
        self._is_term_over = True
        return TermOver()


def _applied_version(
    outcome: platform.CommitOutcome, transaction_token: str
) -> int | None:
    """Returns a transaction's version; None if not known to be committed."""
    if isinstance(outcome, platform.Committed):
        return outcome.version
    if isinstance(outcome, platform.Conflict):
        for row in outcome.found:
            if row.key == OWNER_KEY and row.token == transaction_token:
                return row.version
        logs.warning(
            "write rejected: another process has changed the owner's row;"
            " this process no longer owns the fleet"
        )
    return None
