"""Records refusals in the store, so that a refused job certainly does not run.

Several copies of a submission may be in flight: clients retry under the same id
after no answer, and a write may take effect up to 12 s late. So a refusal is
answered only after a row ``refusals/ID`` was written in a transaction that
checks that the job's row is absent. Each insert of a job's row checks in its
transaction that the refusal's row has the version that its process knew, absent
at first. Whichever transaction takes effect first makes the other one conflict.

A client that was refused returns under the same id, and its job may then be
inserted beside the refusal's row. That must not be done for an older copy of
the submission, whose process finds the row only now. The two are told apart by
time: a refused client returns a second later at the earliest. Each further
refusal writes the row again, because an insert beside the old version may be in
flight.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import itertools
from typing import Any

import gevent
import gevent.pool

from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

TABLE = "refusals"

RECORD_TIMEOUT_S = 0.5
"""Longest wait for a refusal to be recorded. After that the outcome is unknown
and the job is inserted, within the time that clients wait (3 s). A store that
is 60 times slower than usual answers in 0.42 s."""

PAUSE_S = 1.0
"""How long no refusals are recorded after one that took too long. Without the
pause each submission during an outage of the store would wait in vain before
its job is inserted."""

MAX_CONCURRENT = 8
"""Refusals that a process records at once; beyond that jobs are accepted. The
store takes 1,200 writing calls per second of all processes; at 7 ms for one,
36 processes could send it 41,000 refusals."""

OVERRIDE_AFTER_MS = 800.0
"""A submission that was received so long after a refusal began to be recorded
is a retry of the refused client and not an older copy. ``Retry-After`` is 1 s
or more and counts from the end of the recording. The rest is for the
differences between the processes' estimates of the store's clock."""

MAX_KNOWN = 1024
"""Refusals that a process remembers: those of its own last ten seconds, at more
than it takes of a turn's submissions."""

RETENTION_S = 60.0
"""How long the row of a refusal is kept. Clients retry up to 4 times within
some ten seconds, and an earlier write takes effect up to 12 s late."""

REMOVAL_INTERVAL_S = 2.0
"""Pause between two removals of expired rows."""

_AT = "at_ms"
_FIRST = "first_ms"
_ACCOUNT = "account"


def key_of(job_id: str) -> str:
    """Returns the key of a job's refusal."""
    return f"{TABLE}/{job_id}"


def absent_row(job: jobs.Job) -> platform.Row:
    """Returns the row of a job that is not refused.

    A store may leave absent rows out of a conflict.
    """
    return platform.Row(key_of(job.job_id), platform.ABSENT, {}, "")


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The row of a refusal as a process last saw it.

    Attributes:
        at_ms: when its recording began, on the store's clock.
        first_ms: when the job was first submitted, on the store's clock.
    """

    version: int
    token: str
    at_ms: float
    first_ms: float
    account: str


def decode(row: platform.Row) -> Refusal:
    """Decodes a row; numbers that are missing or invalid become 0."""
    at_ms, first_ms = (
        float(value) if isinstance(value, int | float) else 0.0
        for value in (row.value.get(_AT), row.value.get(_FIRST))
    )
    account = str(row.value.get(_ACCOUNT, ""))
    return Refusal(row.version, row.token, at_ms, first_ms, account)


def with_first_submission(job: jobs.Job, refusal: Refusal) -> jobs.Job:
    """Returns a job as submitted at its first submission.

    Its objective counts from then. Its own and the store's clock are shifted
    alike, since other processes derive the offset of the two from them.
    """
    delay_ms = job.submitted_ms - refusal.first_ms
    if not refusal.first_ms or delay_ms <= 0 or refusal.account != job.account:
        return job
    return dataclasses.replace(
        job,
        submitted_ms=int(refusal.first_ms),
        submitted_wall_ms=job.submitted_wall_ms - delay_ms,
    )


class RefusalLog:
    """Records the refusals of one process and remembers rows that it saw."""

    def __init__(
        self,
        table: platform.Table,
        clock: clocks.Clock,
        store_now_ms: Callable[[], float | None],
        boot: str,
    ):
        """Creates a log without known refusals.

        Args:
            table: the table of jobs.
            clock: source of time for timeouts.
            store_now_ms: returns the store's clock; None if unknown.
            boot: id of this process's start; makes transaction tokens unique.
        """
        self._store_now_ms = store_now_ms
        self._table = table
        self._clock = clock
        self._boot = boot
        self._numbers = itertools.count(1)
        self._pool = gevent.pool.Pool(MAX_CONCURRENT)
        self._paused_until = float("-inf")
        self._known: collections.OrderedDict[str, Refusal] = (
            collections.OrderedDict()
        )
        self._abandoned: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )

    def known(self, job_id: str) -> Refusal | None:
        """Returns the refusal of a job as this process last saw it."""
        return self._known.get(job_id)

    def observe(self, row: platform.Row) -> None:
        """Stores the row of a refusal that was found in the table."""
        job_id = row.key.removeprefix(f"{TABLE}/")
        self._known.pop(job_id, None)
        if row.version != platform.ABSENT:
            self._known[job_id] = decode(row)
            _trim(self._known)

    def may_override(self, job: jobs.Job, refusal: Refusal) -> bool:
        """Whether a submission may be inserted beside its refusal.

        It may if its client returned after the refusal, or if the refusal was
        never answered.
        """
        if refusal.token in self._abandoned:
            return True
        received_ms = job.submitted_ms
        return received_ms > 0 and (
            received_ms >= refusal.at_ms + OVERRIDE_AFTER_MS
        )

    def check(self, job: jobs.Job) -> platform.Check:
        """Returns the precondition of an insert of a job's row."""
        known = self._known.get(job.job_id)
        version = platform.ABSENT
        if known is not None and self.may_override(job, known):
            version = known.version
        return platform.Check(key_of(job.job_id), version)

    def record(self, job: jobs.Job) -> bool:
        """Records the refusal of a job.

        Returns:
            Whether the job certainly does not run. If not, it may have been
            accepted, or the outcome is unknown; the caller has to insert it.
        """
        now_ms = self._store_now_ms()
        if now_ms is None or not job.submitted_ms or self._pool.full():
            return False
        if self._clock.monotonic() < self._paused_until:
            return False
        tokens: list[str] = []
        recording = self._pool.spawn(self._record, job, now_ms, tokens)
        try:
            is_recorded: bool = recording.get(timeout=RECORD_TIMEOUT_S)
        except gevent.Timeout:
            is_recorded = False
            self._paused_until = self._clock.monotonic() + PAUSE_S
        if not is_recorded:
            self._abandoned.update(dict.fromkeys(tokens))
            _trim(self._abandoned)
        return is_recorded

    def _record(self, job: jobs.Job, now_ms: float, tokens: list[str]) -> bool:
        deadline = self._clock.monotonic() + RECORD_TIMEOUT_S
        absent_job = platform.Check(
            f"{fenced_writer.JOB_TABLE}/{job.job_id}", platform.ABSENT
        )
        key = key_of(job.job_id)
        # The row that the process knows may have changed once.
        for _ in range(2):
            known = self._known.get(job.job_id)
            if known is not None and not self.may_override(job, known):
                # This is an older copy of a submission that was refused. A new
                # row would let its insert go past that refusal.
                return False
            token = f"{self._boot}-no-{next(self._numbers)}"
            tokens.append(token)
            first = job if known is None else with_first_submission(job, known)
            value = {
                _AT: now_ms,
                _FIRST: first.submitted_ms,
                _ACCOUNT: job.account,
            }
            version = known.version if known else platform.ABSENT
            put = platform.Put(key, version, value)
            outcome = commit_retries.commit_with_retries(
                self._table,
                platform.Transaction(token, (put,), (absent_job,)),
                self._clock,
                deadline,
            )
            if isinstance(outcome, platform.Committed):
                self.observe(platform.Row(key, outcome.version, value, token))
                return True
            if not isinstance(outcome, platform.Conflict):
                return False
            found = {row.key: row for row in outcome.found}
            if absent_job.key in found:
                return False
            self.observe(found.get(key) or absent_row(job))
            if self._clock.monotonic() >= deadline:
                return False
        return False


def _trim(known: collections.OrderedDict[str, Any]) -> None:
    while len(known) > MAX_KNOWN:
        known.popitem(last=False)


class RefusalRemover:
    """Removes the rows of old refusals during one owner's term."""

    def __init__(
        self,
        table: platform.Table,
        feed: change_feeds.ChangeFeed,
        partition_of: Callable[[str], str],
        time: reference_clock.ReferenceClock,
        clock: clocks.Clock,
        token_prefix: str,
        emit: Callable[[object], None],
    ):
        """Creates a remover that knows no rows.

        Args:
            table: the table of jobs.
            feed: reads the rows of refusals and their changes.
            partition_of: returns the partition of a key; a transaction can't
                span partitions.
            time: estimates the store's clock.
            clock: source of time for pauses.
            token_prefix: unique prefix of the tokens of its transactions.
            emit: receives events.
        """
        self._table = table
        self._partition_of = partition_of
        self._time = time
        self._clock = clock
        self._token = token_prefix
        self._numbers = itertools.count(1)
        self._rows: dict[str, tuple[int, float]] = {}
        self._follower = table_follower.Follower(
            feed,
            TABLE,
            clock,
            self._on_snapshot,
            self._on_changes,
            emit,
            pause_s=REMOVAL_INTERVAL_S,
        )

    def follow(self) -> None:
        """Follows the rows of refusals; does not return."""
        self._follower.run()

    def run(self) -> None:
        """Removes expired rows; does not return."""
        while True:
            self._clock.sleep(REMOVAL_INTERVAL_S)
            store_ms = self._time.store_now_ms
            if store_ms is not None:
                self.remove_expired(store_ms)

    def remove_expired(self, store_ms: float) -> None:
        """Removes the rows that expired, a partition at a time.

        Args:
            store_ms: current time on the store's clock.
        """
        cutoff_ms = store_ms - RETENTION_S * 1000
        by_partition: dict[str, list[platform.Put]] = {}
        for job_id, (version, at_ms) in self._rows.items():
            if at_ms < cutoff_ms:
                key = key_of(job_id)
                puts = by_partition.setdefault(self._partition_of(key), [])
                if len(puts) < fenced_writer.MAX_ROWS_PER_WRITE:
                    puts.append(platform.Put(key, version, None))
        for puts in by_partition.values():
            token = f"{self._token}-{next(self._numbers)}"
            outcome = self._table.commit(
                platform.Transaction(token, tuple(puts))
            )
            if isinstance(outcome, platform.Committed):
                for put in puts:
                    self._forget(put)
            elif isinstance(outcome, platform.Conflict):
                # A row that is gone was removed by a copy of an earlier
                # removal or by a previous owner.
                for row in outcome.found:
                    job_id = row.key.removeprefix(f"{TABLE}/")
                    self._rows.pop(job_id, None)
                    if row.version != platform.ABSENT:
                        at_ms = decode(row).at_ms
                        self._rows[job_id] = (row.version, at_ms)

    def _forget(self, put: platform.Put) -> None:
        job_id = put.key.removeprefix(f"{TABLE}/")
        if self._rows.get(job_id, (0, 0.0))[0] == put.version:
            del self._rows[job_id]

    def _on_snapshot(self, snapshot: change_feeds.Snapshot) -> None:
        self._rows.clear()
        self._on_changes(snapshot.rows)

    def _on_changes(self, changes: Iterable[change_feeds.RowChange]) -> None:
        for change in changes:
            known = self._rows.get(change.key)
            if known is not None and change.version < known[0]:
                continue
            if change.value is None and not change.read_error:
                self._rows.pop(change.key, None)
                continue
            row = platform.Row("", change.version, change.value or {}, "")
            # A row without a usable time is kept as long as a new one.
            at_ms = decode(row).at_ms or self._time.store_now_ms or 0.0
            self._rows[change.key] = (change.version, at_ms)
