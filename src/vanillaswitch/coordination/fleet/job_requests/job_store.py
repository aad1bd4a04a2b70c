"""Submits, cancels and looks up jobs in the table, on any process.

A job is accepted as soon as its row is in the table. The process that owns the
fleet, which plans the tasks, finds the row there, even if it became the owner
later. So clients are served during a change of owner, and an accepted job
survives the loss of any process.

A job runs if and only if its row exists. A client is told that its job does
not run only when no copy of the write of that row can take effect any more.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import itertools
from typing import Any

from vanillaswitch import errors
from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.fleet.admission import refusals
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

STORE_UNRESPONSIVE_S = 0.9
"""A store that has answered no call for this long is considered unresponsive.
This is twice the time in which a store that is 60 times slower than usual
answers. Requests are then refused before anything is written, because a request
can't be refused any more after its write was sent and got no answer. Without
this, each submission during an outage would hang until its client times
out."""

MAX_INSERTS = 3
"""Inserts of a job whose refusals change meanwhile. A client waits for the
answer to one submission before it sends the next, so one change is usual."""

COMMIT_TIMEOUT_S = 2.0
"""Longest wait for the outcome of a write. The client is then told that the
outcome is unknown, early enough for a retry with the same id."""


_FINAL_STATES = [state.value for state in jobs.JobState if state.is_final]
"""Valid values of the ``ended`` field of a job's progress row."""


class RequestResult(enum.StrEnum):
    """Result of a submission or a cancellation.

    Attributes:
        ACCEPTED: the request is recorded in the table.
        ID_CONFLICT: another job with this id exists.
        NOT_FOUND: there is no such job.
        NOT_APPLIED: the request has no effect and will have none.
        UNKNOWN: the request may have taken effect or may still do so.
        REFUSED_BEFORE: the job was refused before and was not inserted, as
            the caller decided.
    """

    ACCEPTED = "accepted"
    ID_CONFLICT = "different"
    NOT_FOUND = "missing"
    NOT_APPLIED = "not-done"
    UNKNOWN = "unknown"
    REFUSED_BEFORE = "refused-before"


@dataclasses.dataclass(frozen=True)
class StateUnknown:
    """The state of a job is unknown: the store could not be read."""


class JobStore:
    """Writes and reads the rows of jobs for clients."""

    def __init__(
        self,
        table: platform.Table,
        clock: clocks.Clock,
        boot: str,
        unresponsive_s: Callable[[], float],
        refusal_log: refusals.RefusalLog | None = None,
    ):
        """Creates a job store.

        Args:
            table: the table of jobs.
            clock: source of time for timeouts.
            boot: id of this process's start; makes transaction tokens unique.
            unresponsive_s: returns for how many seconds the store has answered
                no call.
            refusal_log: refusals of jobs, which each insert of a job checks;
                None where jobs are not refused for load.
        """
        self._refusal_log = refusal_log
        self._unresponsive_s = unresponsive_s
        self._table = table
        self._clock = clock
        self._boot = boot
        self._transaction_ids = itertools.count(1)

    def submit(
        self,
        job: jobs.Job,
        deadline: float,
        may_insert: Callable[[platform.Row], bool] = lambda _: True,
    ) -> RequestResult:
        """Submits a job; a repeated submission of the same job has no effect.

        Args:
            job: the job.
            deadline: monotonic seconds after which the client stops waiting.
            may_insert: returns whether to insert the job although it was
                refused before; receives the row of the refusal.

        Raises:
            errors.InvariantError: the job has a digest instead of its spec, so
                it could never run.
        """
        if job.spec_digest:
            raise errors.InvariantError(
                "a submitted job must contain its spec, not only the digest"
            )
        if self._is_store_unresponsive():
            return RequestResult.NOT_APPLIED
        if self._refusal_log is None:
            result = self._insert_job(job, deadline, ())
            if isinstance(result, platform.Row):
                raise errors.InvariantError(
                    "an insert that checks no refusal found one"
                )
            return result
        for _ in range(MAX_INSERTS):
            check = self._refusal_log.check(job)
            known = self._refusal_log.known(job.job_id)
            if known is not None and check.version == known.version:
                submitted = refusals.with_first_submission(job, known)
            else:
                submitted = job
            result = self._insert_job(submitted, deadline, (check,))
            if not isinstance(result, platform.Row):
                return result
            self._refusal_log.observe(result)
            refusal = self._refusal_log.known(job.job_id)
            if refusal is None:
                continue
            if not self._refusal_log.may_override(job, refusal):
                # A newer copy of this submission was refused. If this one is a
                # retry that came too soon, its client asks again.
                return RequestResult.UNKNOWN
            if not may_insert(result):
                return RequestResult.REFUSED_BEFORE
        return RequestResult.UNKNOWN

    def _insert_job(
        self,
        job: jobs.Job,
        deadline: float,
        checks: tuple[platform.Check, ...],
    ) -> RequestResult | platform.Row:
        """Inserts a job's rows.

        Returns:
            The result, or the row of the refusal if only that one differs.
        """
        document = job_rows.job_to_row(job)
        key = f"{fenced_writer.JOB_TABLE}/{job.job_id}"
        rows = {key: document}
        spec = job_rows.pack_spec(job)
        if spec is not None:
            rows[f"{fenced_writer.SPEC_TABLE}/{job.job_id}"] = spec
        outcome = self._insert(rows, deadline, checks)
        if isinstance(outcome, platform.Committed):
            return RequestResult.ACCEPTED
        if isinstance(outcome, platform.Conflict):
            found = {row.key: row for row in outcome.found}
            if not found.keys() & rows.keys():
                for check in checks:
                    return found.get(check.key) or refusals.absent_row(job)
            is_same = any(
                job_rows.is_same_job(row.value, document)
                for row in outcome.found
                if row.key == key
            )
            return (
                RequestResult.ACCEPTED if is_same else RequestResult.ID_CONFLICT
            )
        return _uncommitted_result(outcome)

    def cancel(
        self,
        job_id: str,
        known_accepted: bool,
        deadline: float,
        account: str = "",
    ) -> RequestResult:
        """Cancels a job.

        Args:
            job_id: the job.
            known_accepted: True if the job is known to be accepted from the
                account; False if this is unknown.
            deadline: monotonic seconds after which the client stops waiting.
            account: client account of the caller. The job of another account
                is not found.
        """
        if self._is_store_unresponsive():
            return RequestResult.NOT_APPLIED
        if not known_accepted:
            read = self._table.read([f"{fenced_writer.JOB_TABLE}/{job_id}"])
            if isinstance(read, platform.Unavailable):
                return RequestResult.NOT_APPLIED
            if not any(_belongs_to(row.value, account) for row in read.rows):
                return RequestResult.NOT_FOUND
        key = f"{fenced_writer.CANCEL_TABLE}/{job_id}"
        outcome = self._insert({key: {"cancelled": True}}, deadline)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            return RequestResult.ACCEPTED
        return _uncommitted_result(outcome)

    def state(
        self, job_id: str, account: str = ""
    ) -> jobs.JobState | None | StateUnknown:
        """Reads a job's recorded state; None when there is no such job.

        Args:
            job_id: the job.
            account: client account of the caller. The job of another account
                is not found.
        """
        if self._is_store_unresponsive():
            return StateUnknown()
        read = self._table.read(
            [
                f"{fenced_writer.PROGRESS_TABLE}/{job_id}",
                f"{fenced_writer.JOB_TABLE}/{job_id}",
            ]
        )
        if isinstance(read, platform.Unavailable):
            return StateUnknown()
        rows = {row.key.partition("/")[0]: row.value for row in read.rows}
        job = rows.get(fenced_writer.JOB_TABLE)
        if job is None or not _belongs_to(job, account):
            return None
        progress = rows.get(fenced_writer.PROGRESS_TABLE, {})
        ended = progress.get("ended")
        if ended and ended not in _FINAL_STATES:
            logs.error(
                "job {}: its progress row contains no valid end state",
                job_id,
            )
            return StateUnknown()
        if ended:
            return jobs.JobState(ended)
        if progress.get("started"):
            return jobs.JobState.RUNNING
        return jobs.JobState.QUEUED

    def _is_store_unresponsive(self) -> bool:
        return self._unresponsive_s() > STORE_UNRESPONSIVE_S

    def _insert(
        self,
        rows: Mapping[str, Mapping[str, object]],
        deadline: float,
        checks: tuple[platform.Check, ...] = (),
    ) -> platform.CommitOutcome:
        token = f"{self._boot}-in-{next(self._transaction_ids)}"
        puts = tuple(
            platform.Put(key, platform.ABSENT, document)
            for key, document in rows.items()
        )
        return commit_retries.commit_with_retries(
            self._table,
            platform.Transaction(token, puts, checks),
            self._clock,
            min(deadline, self._clock.monotonic() + COMMIT_TIMEOUT_S),
        )


def _belongs_to(job_row: Mapping[str, Any], account: str) -> bool:
    return job_rows.account_of(job_row) == account


def _uncommitted_result(outcome: platform.CommitOutcome) -> RequestResult:
    if isinstance(outcome, platform.Unavailable):
        return RequestResult.NOT_APPLIED
    return RequestResult.UNKNOWN
