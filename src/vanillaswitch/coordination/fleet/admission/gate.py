"""Refuses submissions on the process that receives them.

What is decided comes from ``admission_control``, the load from
``load_reports``; ``refusals`` makes each refusal true. Whenever one of them has
no certain answer, the submission goes on as without admission control.
"""

from collections.abc import Callable
import dataclasses

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.admission import admission_control
from vanillaswitch.coordination.fleet.admission import load_reports
from vanillaswitch.coordination.fleet.admission import refusals
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform


@dataclasses.dataclass(frozen=True)
class Refused:
    """A job was refused and certainly does not run.

    Attributes:
        retry_after_s: when its client should return.
    """

    retry_after_s: int


@dataclasses.dataclass(frozen=True)
class _Finding:
    """A job that can't be of use, and what shows that."""

    need: admission_control.Need
    overload: admission_control.Overload
    backlog: peers.PoolBacklog
    report: load_reports.Report


class AdmissionGate:
    """Decides on submissions and records refusals."""

    def __init__(
        self,
        reports: load_reports.LoadReports,
        refusal_log: refusals.RefusalLog,
        config: Callable[[], fleet.FleetConfig | None],
        store_now_ms: Callable[[], float | None],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        """Creates a gate.

        Args:
            reports: the owner's reports on the load.
            refusal_log: records refusals.
            config: returns the configuration in force; None before there is
                one.
            store_now_ms: returns the store's clock; None if unknown.
            clock: source of time.
            emit: receives events.
        """
        self._reports = reports
        self._refusal_log = refusal_log
        self._config = config
        self._store_now_ms = store_now_ms
        self._clock = clock
        self._emit = emit
        self._retries = admission_control.RetrySchedule()

    def refuse(self, job: jobs.Job) -> Refused | None:
        """Refuses a job that can't be of use, and records that.

        Returns:
            The refusal; None if the job has to be inserted.
        """
        finding = self._find(job, self._refusal_log.known(job.job_id))
        if finding is None or not self._refusal_log.record(job):
            return None
        now = self._clock.monotonic()
        answer = finding.report.answer
        retry_after_s = self._retries.assign(
            finding.need,
            finding.overload,
            finding.backlog.rate,
            answer.askers,
            now,
        )
        self._emit(
            events.SubmissionRefused(
                job.job_id,
                job.queue,
                job.account,
                int(finding.overload.wait_ms),
                int(finding.need.allowed_ms),
                retry_after_s,
                int((now - finding.report.requested_at) * 1000),
            )
        )
        return Refused(retry_after_s)

    def may_insert(self, job: jobs.Job, row: platform.Row) -> bool:
        """Whether a job that was refused before may be of use now.

        Args:
            job: the job.
            row: the row of its refusal; tells when it was first submitted.
        """
        return self._find(job, refusals.decode(row)) is None

    def _find(
        self, job: jobs.Job, refusal: refusals.Refusal | None
    ) -> _Finding | None:
        """Returns why a job can't be of use; None if it may be."""
        report = self._reports.current()
        config = self._config()
        now_ms = self._store_now_ms()
        if report is None or config is None or now_ms is None:
            return None
        queue = next((q for q in config.queues if q.name == job.queue), None)
        backlog = report.backlog_of(queue.service) if queue else None
        if queue is None or backlog is None or not job.submitted_ms:
            return None
        first = job
        if refusal is not None:
            first = refusals.with_first_submission(job, refusal)
        need = admission_control.need_of(
            job,
            queue,
            max(0.0, now_ms - first.submitted_ms),
            report.answer.accounts,
        )
        if need is None:
            return None
        overload = admission_control.find_overload(need, backlog)
        if overload is None:
            return None
        return _Finding(need, overload, backlog, report)
