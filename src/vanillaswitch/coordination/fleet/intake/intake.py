"""Taking in jobs, cancels and questions, on any process of the system.

A job is accepted once its row is in the table, whoever owns the fleet and
whether or not anyone does: the owner finds it there. So clients are served
through a change of owner, and no acceptance hangs on one process.

Whether a job ran is decided by its row alone. "Not run" is answered only when
no copy of the row's write can take effect any more.
"""

from collections.abc import Callable
from collections.abc import Mapping
import dataclasses
import enum
import itertools

from vanillaswitch import errors
from vanillaswitch.coordination import commits
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

SILENT_S = 0.9
"""A store that answered no call for so long is taken to be away: one that is
60 times slower answers in half of it. What would be written is refused at
once, since a write that was sent and not answered can't be refused any more;
without this each hand-in of an outage hung until its client gave up."""

ATTEMPT_S = 2.0
"""Longest wait for the outcome of a write that was sent. Then the client is
told that it is not known, in time to ask again under the same id."""


_ENDS = [state.value for state in jobs.JobState if state.ended]
"""What the row of a job's progress may name as its end."""


class Verdict(enum.StrEnum):
    """What became of a hand-in or a cancel."""

    ACCEPTED = "accepted"
    DIFFERENT = "different"
    MISSING = "missing"
    NOT_DONE = "not-done"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Unknown:
    """The store could not be asked."""


class Intake:
    """Writes and reads rows of jobs for clients."""

    def __init__(
        self,
        table: platform.Table,
        clock: clocks.Clock,
        boot: str,
        unanswered_s: Callable[[], float],
    ):
        """Makes an intake.

        Args:
            table: where jobs are written.
            clock: bounds the waits.
            boot: makes tokens of transactions unique.
            unanswered_s: returns for how long the store answered no call.
        """
        self._unanswered_s = unanswered_s
        self._table = table
        self._clock = clock
        self._boot = boot
        self._ids = itertools.count(1)

    def submit(self, job: jobs.Job, deadline: float) -> Verdict:
        """Accepts a job; the same job handed in again stays one job.

        Args:
            job: the job.
            deadline: monotonic seconds after which nobody waits any more.

        Raises:
            errors.InvariantError: the job comes without its spec; accepted, it
                could never run.
        """
        if job.spec_digest:
            raise errors.InvariantError("a job is handed in without its spec")
        if self._silent():
            return Verdict.NOT_DONE
        document = job_rows.pack(job)
        key = f"{recorders.JOB_TABLE}/{job.job_id}"
        rows = {key: document}
        spec = job_rows.pack_spec(job)
        if spec is not None:
            rows[f"{recorders.SPEC_TABLE}/{job.job_id}"] = spec
        outcome = self._insert(rows, deadline)
        if isinstance(outcome, platform.Committed):
            return Verdict.ACCEPTED
        if isinstance(outcome, platform.Conflict):
            same = any(
                job_rows.same(row.value, document)
                for row in outcome.found
                if row.key == key
            )
            return Verdict.ACCEPTED if same else Verdict.DIFFERENT
        return _open_verdict(outcome)

    def cancel(self, job_id: str, known: bool, deadline: float) -> Verdict:
        """Cancels a job.

        Args:
            job_id: the job.
            known: whether it is certain that it was accepted.
            deadline: monotonic seconds after which nobody waits any more.
        """
        if self._silent():
            return Verdict.NOT_DONE
        if not known:
            read = self._table.read([f"{recorders.JOB_TABLE}/{job_id}"])
            if isinstance(read, platform.Unavailable):
                return Verdict.NOT_DONE
            if not read.rows:
                return Verdict.MISSING
        key = f"{recorders.CANCEL_TABLE}/{job_id}"
        outcome = self._insert({key: {"cancelled": True}}, deadline)
        if isinstance(outcome, platform.Committed | platform.Conflict):
            return Verdict.ACCEPTED
        return _open_verdict(outcome)

    def state(self, job_id: str) -> jobs.JobState | None | Unknown:
        """Reads a job's recorded state; None when there is no such job."""
        if self._silent():
            return Unknown()
        read = self._table.read(
            [
                f"{recorders.PROGRESS_TABLE}/{job_id}",
                f"{recorders.JOB_TABLE}/{job_id}",
            ]
        )
        if isinstance(read, platform.Unavailable):
            return Unknown()
        rows = {row.key.partition("/")[0]: row.value for row in read.rows}
        if recorders.JOB_TABLE not in rows:
            return None
        progress = rows.get(recorders.PROGRESS_TABLE, {})
        ended = progress.get("ended")
        if ended and ended not in _ENDS:
            logs.error("job {}: its recorded end is not ours", job_id)
            return Unknown()
        if ended:
            return jobs.JobState(ended)
        if progress.get("started"):
            return jobs.JobState.RUNNING
        return jobs.JobState.QUEUED

    def _silent(self) -> bool:
        return self._unanswered_s() > SILENT_S

    def _insert(
        self, rows: Mapping[str, Mapping[str, object]], deadline: float
    ) -> platform.CommitOutcome:
        token = f"{self._boot}-in-{next(self._ids)}"
        puts = tuple(
            platform.Put(key, platform.ABSENT, document)
            for key, document in rows.items()
        )
        return commits.settle(
            self._table,
            platform.Transaction(token, puts),
            self._clock,
            min(deadline, self._clock.monotonic() + ATTEMPT_S),
        )


def _open_verdict(outcome: platform.CommitOutcome) -> Verdict:
    if isinstance(outcome, platform.Unavailable):
        return Verdict.NOT_DONE
    return Verdict.UNKNOWN
