"""Removes the rows of jobs that ended long ago.

Load pattern: a dozen jobs per second, each with rows of 3 to 5 KB. If they were
never removed, they would fill the store and slow down each change of owner.
Clients may ask for a job's state until ``status_s`` after its end, and delayed
duplicates of a submission arrive within seconds. So rows are removed after
``status_s`` plus a margin.

The job's own row is removed before its progress row. A new owner finds and
removes progress rows without a job, but it would run a job without a progress
row again.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import platform

RETENTION_MARGIN_S = 30.0
"""Time added to ``status_s`` for delayed duplicates of a submission, which
arrive within 12 s."""

SCAN_INTERVAL_S = 2.0
"""Pause between two scans for expired jobs."""

MAX_JOBS_PER_SCAN = 30
"""Maximum number of jobs removed after one scan. Fifteen per second is more
than are submitted."""


def expired_jobs(
    entries: Iterable[job_tracker.JobEntry], status_s: float, store_ms: float
) -> list[job_tracker.JobEntry]:
    """Returns jobs whose rows may be removed, at most ``MAX_JOBS_PER_SCAN``.

    Args:
        entries: all jobs.
        status_s: how long clients may ask for the state of a job after its end.
        store_ms: current time on the store's monotonic clock, by which the ends
            of jobs were recorded as well. With wall clocks, an owner whose
            clock was an hour ahead would remove jobs that have just ended.
    """
    cutoff_ms = store_ms - (status_s + RETENTION_MARGIN_S) * 1000
    expired = []
    for entry in entries:
        if (
            entry.recorded_state.is_final
            and 0 < entry.ended_store_ms < cutoff_ms
        ):
            expired.append(entry)
            if len(expired) == MAX_JOBS_PER_SCAN:
                break
    return expired


def remove_job(table: platform.Table, job_id: str) -> bool:
    """Removes a job's own row, its spec and its cancellation.

    Returns:
        Whether the rows are known to be removed.
    """
    tables = (
        fenced_writer.JOB_TABLE,
        fenced_writer.SPEC_TABLE,
        fenced_writer.CANCEL_TABLE,
    )
    keys = [f"{table}/{job_id}" for table in tables]
    read = table.read(keys)
    if isinstance(read, platform.Unavailable):
        return False
    puts = tuple(platform.Put(row.key, row.version, None) for row in read.rows)
    if not puts:
        return True
    transaction = platform.Transaction(f"remove-{job_id}", puts)
    return isinstance(table.commit(transaction), platform.Committed)


def progress_removals(
    entries: Sequence[job_tracker.JobEntry],
) -> list[platform.Put]:
    """Returns the writes that remove the progress rows of jobs."""
    return [
        platform.Put(
            f"{fenced_writer.PROGRESS_TABLE}/{entry.job.job_id}",
            entry.version,
            None,
        )
        for entry in entries
        if entry.version
    ]
