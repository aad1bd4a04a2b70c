"""Removes the rows of jobs that ended long ago.

Load pattern: a dozen jobs per second, each with rows of 3 to 5 KB. Kept
forever, they would fill the store and slow down each change of owner. Clients
may ask for a job's state for ``status_s``, and delayed copies of a submission
arrive within seconds, so rows are removed after ``status_s`` plus a margin.

The job's own row is removed first. A progress row without a job is found at
the next change of owner, but a job without its progress row would run again.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import platform

RETENTION_MARGIN_S = 30.0
"""Time added to ``status_s`` for delayed copies of a submission, which arrive
within 12 s."""

SCAN_INTERVAL_S = 2.0
"""Pause between two searches for expired jobs."""

MAX_BATCH = 30
"""Jobs removed after one search: fifteen per second, more than are
submitted."""


def expired_jobs(
    entries: Iterable[job_tracker.JobEntry], status_s: float, store_ms: float
) -> list[job_tracker.JobEntry]:
    """Returns jobs whose rows may be removed, at most ``MAX_BATCH``.

    Args:
        entries: all jobs.
        status_s: how long clients may ask for a job that has ended.
        store_ms: the store's steady clock, which also stamped the ends of jobs.
            By the time of day, an owner whose clock was an hour ahead would
            remove jobs that have just ended.
    """
    cutoff_ms = store_ms - (status_s + RETENTION_MARGIN_S) * 1000
    found = []
    for entry in entries:
        if (
            entry.recorded_state.is_final
            and 0 < entry.ended_store_ms < cutoff_ms
        ):
            found.append(entry)
            if len(found) == MAX_BATCH:
                break
    return found


def remove_job(table: platform.Table, job_id: str) -> bool:
    """Removes a job's own row, its spec and its cancel.

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
