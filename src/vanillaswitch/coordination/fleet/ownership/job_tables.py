"""Passes submitted jobs and cancellations from their tables to the owner.

A new owner restores the jobs of earlier owners first, and then follows the
changes of the tables.
"""

from collections.abc import Callable
from collections.abc import Iterable

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import spec_table
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import time_slices
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable


class JobTables:
    """Adds jobs and cancellations to the scheduler during one term."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        feed: change_feeds.ChangeFeed,
        clock: clocks.Clock,
        shared_clock: reference_clock.ReferenceClock,
        emit: Callable[[object], None],
        on_change: Callable[[], None],
        specs: spec_table.SpecTable,
    ):
        """Creates the tables' state before the first read.

        Args:
            scheduler: receives jobs and cancellations.
            feed: reads tables and their changes.
            clock: times the reads.
            shared_clock: returns the age of jobs, and estimates the time of
                day from the timestamps that jobs bring.
            emit: receives events.
            on_change: called when the owner has to plan again.
            specs: receives the ids of added jobs.
        """
        self._scheduler = scheduler
        self._specs = specs
        self._clock = clock
        self._shared_clock = shared_clock
        self._on_change = on_change
        self._progress_without_job: dict[str, change_feeds.RowChange] = {}
        self._quarantined: set[str] = set()
        self._emit = emit
        self._orphan_entries: list[job_tracker.JobEntry] = []
        # Jobs that were removed since the current read of the table began, with
        # the version of their end; None while the table is not being read.
        self._removed_during_read: dict[str, int] | None = None
        self._jobs = table_follower.Follower(
            feed,
            fenced_writer.JOB_TABLE,
            clock,
            lambda snapshot: self._on_jobs(snapshot.rows),
            self._on_jobs,
            emit,
            on_read_begins=self._on_read_begins,
        )
        self._cancel_follower = table_follower.Follower(
            feed,
            fenced_writer.CANCEL_TABLE,
            clock,
            lambda snapshot: self._on_cancels(snapshot.rows),
            self._on_cancels,
            emit,
        )

    def restore_and_resume(
        self,
        job_snapshot: change_feeds.Snapshot,
        progress_snapshot: change_feeds.Snapshot,
        cancel_snapshot: change_feeds.Snapshot,
        now: float,
    ) -> None:
        """Restores all jobs, and follows changes from the snapshots on.

        Args:
            job_snapshot: table of jobs, with a row per submitted job.
            progress_snapshot: table of progress, with a row per job that an
                earlier owner has started.
            cancel_snapshot: table of cancellations.
            now: monotonic seconds.
        """
        rows = {
            row.key: row
            for row in progress_snapshot.rows
            if row.value is not None or row.read_error
        }
        slices = time_slices.TimeSlices(self._clock)
        for row in job_snapshot.rows:
            self._restore(row, rows.pop(row.key, None), now)
            # The lease is renewed meanwhile.
            slices.pause()
        self._progress_without_job = rows
        self._jobs.resume_from(job_snapshot)
        self._specs.resume_from(job_snapshot.version)
        self._update_unreadable_jobs()
        self._scheduler.recover_runs(
            now, lease_times.inherited_lease_expiry(now)
        )
        self._on_cancels(cancel_snapshot.rows)
        self._cancel_follower.resume_from(cancel_snapshot)

    def follow_jobs(self) -> None:
        """Adds new jobs to the scheduler; does not return."""
        self._jobs.run()

    def follow_cancels(self) -> None:
        """Cancels jobs as requested by clients; does not return."""
        self._cancel_follower.run()

    def on_job_removed(self, entry: job_tracker.JobEntry) -> None:
        """Handles the confirmed removal of the row of an ended job.

        A read of the table that began before the removal may still return the
        row. It must not be taken for a new job: the job would run again.
        """
        if self._removed_during_read is not None:
            # The job's end was written with this version, so its own row is
            # older, and the row of a later submission with its id is newer.
            self._removed_during_read[entry.job.job_id] = entry.version

    def _is_removed(self, change: change_feeds.RowChange) -> bool:
        """Whether a row was read before its job was removed."""
        removed = self._removed_during_read or {}
        return change.version <= removed.get(change.key, platform.ABSENT)

    def _on_read_begins(self) -> None:
        self._removed_during_read = {}

    def take_orphan_entries(self) -> list[job_tracker.JobEntry]:
        """Returns entries for progress rows whose jobs were removed.

        The owner removes these rows. Each entry is returned only once.
        """
        entries, self._orphan_entries = self._orphan_entries, []
        return entries

    def _restore(
        self,
        row: change_feeds.RowChange,
        progress: change_feeds.RowChange | None,
        now: float,
    ) -> None:
        """Restores one job at the start of the term."""
        if row.value is None and not row.read_error:
            return
        job = self._decode_job(row)
        if job is None:
            return
        if progress is None:
            self._scheduler.add_job(job, now, self._job_age_s(job))
            return
        if progress.value is None:
            self._quarantine_unusable_progress(progress, progress.read_error)
            return
        problem = self._scheduler.restore(
            job, progress.value, progress.version, now, self._job_age_s(job)
        )
        if problem is not None:
            self._quarantine_unusable_progress(progress, problem.reason)

    def _decode_job(self, row: change_feeds.RowChange) -> jobs.Job | None:
        """Decodes a job's row; returns None if the row is unusable.

        A job that the scheduler has already continues unchanged. Any other is
        quarantined: a client's job was accepted under this key, but its row may
        have been overwritten since.
        """
        decoded = (
            unusable.Unusable(row.read_error)
            if row.value is None
            else job_rows.row_to_job(row.value)
        )
        if isinstance(decoded, jobs.Job):
            return decoded
        self._report_unusable(fenced_writer.JOB_TABLE, row, decoded.reason)
        if self._scheduler.tracker.get(row.key) is None:
            self._quarantine(row.key)
        return None

    def _quarantine(self, job_id: str) -> None:
        """Excludes a job from starts and stops of its tasks."""
        self._progress_without_job.pop(job_id, None)
        self._quarantined.add(job_id)
        self._scheduler.unreadable_jobs = set(
            self._scheduler.unreadable_jobs
        ) | {job_id}

    def _quarantine_unusable_progress(
        self, row: change_feeds.RowChange, reason: str
    ) -> None:
        """Quarantines a job whose progress can't be decoded.

        It is unknown which of its tasks are done, and restarting the job would
        run some of them twice. Its current runs continue, and no other task of
        it starts.
        """
        self._report_unusable(fenced_writer.PROGRESS_TABLE, row, reason)
        self._quarantine(row.key)

    def _report_unusable(
        self, table: str, row: change_feeds.RowChange, reason: str
    ) -> None:
        self._emit(events.RowUnusable(table, row.key, row.version, reason))

    def _job_age_s(self, job: jobs.Job) -> float:
        self._shared_clock.add_wall_sample(
            job.submitted_ms, job.submitted_wall_ms
        )
        return self._shared_clock.age_s(job.submitted_ms)

    def _update_unreadable_jobs(self) -> None:
        """Updates which jobs count as unreadable and which as removed.

        While a part of the table of jobs is unavailable, a progress row without
        a job may belong to either. Unless the row says that the job has ended,
        its runs must not be stopped or started again: that would break the
        guarantees that the previous owner gave to the client.
        """
        if self._jobs.is_complete:
            self._orphan_entries.extend(
                map(_orphan_entry, self._progress_without_job.values())
            )
            self._progress_without_job = {}
        self._scheduler.unreadable_jobs = self._quarantined | {
            key
            for key, row in self._progress_without_job.items()
            if row.value is None or not job_tracker.has_ended(row.value)
        }

    def _on_jobs(self, changes: Iterable[change_feeds.RowChange]) -> None:
        slices = time_slices.TimeSlices(self._clock)
        for change in changes:
            slices.pause()
            now = self._clock.monotonic()
            if change.value is None and not change.read_error:
                continue
            if self._is_removed(change):
                self._emit(events.RemovedJobRead(change.key, change.version))
                continue
            job = self._decode_job(change)
            if job is None or change.key in self._quarantined:
                continue
            progress = self._progress_without_job.pop(change.key, None)
            if progress is not None:
                self._restore_deferred(job, progress, now)
            else:
                self._scheduler.add_job(job, now, self._job_age_s(job))
            self._specs.on_job_added(job.job_id)
        self._removed_during_read = None
        if self._progress_without_job:
            self._update_unreadable_jobs()
        self._on_change()

    def _restore_deferred(
        self, job: jobs.Job, progress: change_feeds.RowChange, now: float
    ) -> None:
        """Restores a job whose row became readable during the term."""
        if progress.value is None:
            self._quarantine_unusable_progress(progress, progress.read_error)
            return
        self._scheduler.unreadable_jobs = set(
            self._scheduler.unreadable_jobs
        ) - {job.job_id}
        problem = self._scheduler.restore_deferred(
            job,
            progress.value,
            progress.version,
            now,
            lease_times.inherited_lease_expiry(now),
            self._job_age_s(job),
        )
        if problem is not None:
            self._quarantine_unusable_progress(progress, problem.reason)

    def _on_cancels(self, changes: Iterable[change_feeds.RowChange]) -> None:
        slices = time_slices.TimeSlices(self._clock)
        for change in changes:
            slices.pause()
            now = self._clock.monotonic()
            # The content is not needed. Even if it was overwritten, the
            # cancellation was confirmed to the client.
            if change.value is not None or change.read_error:
                self._scheduler.cancel_job(change.key, now)
        self._on_change()


def _orphan_entry(row: change_feeds.RowChange) -> job_tracker.JobEntry:
    """Returns an entry with the key and version of a progress row.

    Its job was removed, so the other fields are placeholders.
    """
    job = jobs.Job(row.key, "", "", "", (jobs.Step(count=1),), 0)
    entry = job_tracker.JobEntry(job, 0.0)
    entry.version = row.version
    return entry
