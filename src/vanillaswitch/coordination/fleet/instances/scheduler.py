"""The owner's scheduling decisions, without input or output.

Callers report events as method calls with the current time. The resulting
actions are queued until the caller takes them: rows to write, starts to send
after their rows are written, stops to send at once, and ends of runs to
acknowledge after they are written.

Three rules ensure that no failure makes a task run twice:

* A start is sent only after the row that names its run and its instance was
  written on the condition that this process is still the owner. A later owner
  therefore knows every run that may exist, and an earlier owner can't start
  anything new.
* An instance may forget the end of a run only after that end was written.
* While a run may exist, its task does not start elsewhere. It may start again
  once its instance reports the end, or once the run certainly can't start any
  more: the instance refused it and no copy of the start is pending, the
  instance is gone, or its lease has expired even if its clock is slow.
"""

from collections.abc import Mapping
import json

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.queue import arrival_rate
from vanillaswitch.coordination.fleet.queue import duration_estimates
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import planning
from vanillaswitch.coordination.fleet.queue import wide_progress
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable


class Scheduler(planning.Planning):
    """The owner's state and decisions; accepts jobs and cancellations."""

    def add_job(self, job: jobs.Job, now: float, age_s: float = 0.0) -> None:
        """Adds a job; does nothing if the job is already known.

        Args:
            job: the job.
            now: monotonic seconds.
            age_s: seconds since the job was submitted.
        """
        if self.tracker.get(job.job_id) is not None:
            return
        entry = job_tracker.JobEntry(job, now, age_s)
        self._judge_share(entry)
        self._estimate_durations(entry)
        self.tracker.add(entry)
        self._needs_plan = True
        self._record_arrival(entry, now)
        self._emit(
            events.JobTakenIn(
                job.job_id,
                job.queue,
                int(age_s * 1000),
                self.tracker.count_pending(job.queue),
            )
        )
        if job.job_id in self._cancels_before_job:
            self._cancels_before_job.remove(job.job_id)
            self._cancel(entry, now)

    def _judge_share(self, entry: job_tracker.JobEntry) -> None:
        """Decides whether a job is beyond the share of its client account.

        Where the order is fair, the next plan decides it, in the order of
        submission. A new owner reads the jobs in any order, and which of them
        are beyond the share must not depend on it.
        """
        if self._overload.fair_order:
            self._unjudged.append(entry)
        else:
            self._judge_share_now(entry)

    def plan(
        self,
        now: float,
        wall_ms: float,
        pause: planning.Pause = planning.no_pause,
    ) -> None:
        """Assigns waiting tasks; see ``Planning.plan``."""
        for entry in sorted(
            self._unjudged,
            key=lambda entry: (entry.job.submitted_ms, entry.job.job_id),
        ):
            self._judge_share_now(entry)
        self._unjudged.clear()
        super().plan(now, wall_ms, pause)

    def _judge_share_now(self, entry: job_tracker.JobEntry) -> None:
        account = self.accounts.by_name.get(entry.job.account)
        if account is not None:
            entry.is_over_share = self._shares.is_over_share(
                account.name, account.weight, entry.submitted_at
            )

    def _estimate_durations(self, entry: job_tracker.JobEntry) -> None:
        """Makes a job use learned durations where they are in force."""
        if self._durations is not None and entry.ended is None:
            entry.durations = duration_estimates.JobDurations(
                self._durations, entry.job
            )

    def _record_arrival(self, entry: job_tracker.JobEntry, now: float) -> None:
        cpu = sum(
            open_steps.task_demand(step).cpu * step.count
            for step in entry.job.steps
            if not step.after and not step.long_running
        )
        if cpu and not entry.job.repeat_count:
            pool = self.pool_name_of(entry)
            arrival_history = self.arrivals.setdefault(
                pool, arrival_rate.ArrivalRate()
            )
            arrival_history.record_job(cpu, now)

    def restore(
        self,
        job: jobs.Job,
        document: Mapping[str, object],
        version: int,
        now: float,
        age_s: float = 0.0,
    ) -> unusable.Unusable | None:
        """Adds a job with the progress that an earlier owner recorded.

        Returns:
            Why the progress row is unusable, or None. A job with an unusable
            row is not added.
        """
        entry = job_tracker.JobEntry(job, now, age_s)
        problem = entry.load_document(document)
        if problem is not None:
            return problem
        entry.version = version
        self._judge_share(entry)
        self._estimate_durations(entry)
        self.tracker.add(entry)
        return None

    def restore_deferred(
        self,
        job: jobs.Job,
        document: Mapping[str, object],
        version: int,
        now: float,
        lease_expires_at: float,
        age_s: float = 0.0,
    ) -> unusable.Unusable | None:
        """Adds a job whose job row could not be read at takeover.

        Args:
            job: the job, which the caller removed from ``unreadable_jobs``.
            document: progress that an earlier owner recorded.
            version: version of the progress row.
            now: monotonic seconds.
            lease_expires_at: monotonic seconds by which the lease of every run
                on an unreachable instance has expired.
            age_s: seconds since the job was submitted.

        Returns:
            Why the progress row is unusable, or None. A job with an unusable
            row is not added.
        """
        problem = self.restore(job, document, version, now, age_s)
        entry = self.tracker.get(job.job_id)
        if entry is None or entry.ended is not None:
            return problem
        self.recover_late_job(entry, now, lease_expires_at)
        self._needs_plan = True
        if job.job_id in self._cancels_before_job:
            self._cancels_before_job.remove(job.job_id)
            self._cancel(entry, now)
        return None

    def set_spec(self, job_id: str, spec: str) -> unusable.Unusable | None:
        """Sets the spec of a job, so that its tasks may start.

        Returns:
            Why the spec is unusable, or None. Without a usable spec the job
            keeps waiting.
        """
        entry = self.tracker.get(job_id)
        if entry is None or entry.spec is not None:
            return None
        if jobs.hash_spec(spec) != entry.job.spec_digest:
            return unusable.Unusable("digest differs from the submitted spec")
        entry.spec = spec
        self._needs_plan = True
        return None

    def fail_if_too_large(
        self,
        entry: job_tracker.JobEntry,
        document: Mapping[str, object],
        now: float,
    ) -> bool:
        """Fails a job whose document does not fit into a row.

        The store would reject the row with the renewal of the ownership, and
        no job would start any more. Planning keeps documents within the limit;
        this catches those that grow afterwards, by long checkpoints or by
        crashes.

        Returns:
            Whether the job failed. Its document is small then.
        """
        limit = self._max_document_bytes
        if entry.ended is not None or entry.max_document_bytes <= limit // 2:
            return False
        size = len(json.dumps(document, separators=(",", ":")))
        if size <= limit - wide_progress.PLAIN_FIXED_BYTES:
            return False
        self._emit(
            events.RowTooLarge(
                entry.job.job_id,
                entry.job.queue,
                size,
                limit,
            )
        )
        cause = f"its progress takes {size} bytes, and a row {limit}"
        self._finish_job(entry, jobs.JobState.FAILED, cause, now)
        return True

    def cancel_job(self, job_id: str, now: float) -> None:
        """Cancels a job, or remembers the cancellation until the job arrives.

        Jobs and cancellations are read from different tables, so a
        cancellation may arrive before its job, for example after the change
        history of one table was lost. If it were dropped, the job would run
        although the client's cancellation was confirmed.
        """
        entry = self.tracker.get(job_id)
        if entry is None:
            self._cancels_before_job.add(job_id)
        elif entry.ended is None:
            self._cancel(entry, now)

    def _cancel(self, entry: job_tracker.JobEntry, now: float) -> None:
        cause = "cancelled by its client"
        self._finish_job(entry, jobs.JobState.CANCELLED, cause, now)
