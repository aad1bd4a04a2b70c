"""Removes the rows of jobs that ended long ago.

Load pattern: a dozen jobs a second, each with rows of 3 to 5 KB; kept for good
they would fill the store and lengthen each change of owner. A job's state can
be asked for ``status_s``, and a hand-in that was delayed comes again within
seconds, so rows are removed after ``status_s`` and a margin.

The job's own row goes first: a row of progress without a job is found at the
next change of owner, while a job without its progress would run again.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.protocol import platform

MARGIN_S = 30.0
"""Kept longer than clients may ask, for copies of a hand-in that are still
under way; they come within 12 s."""

PAUSE_S = 2.0
"""How often old jobs are looked for."""

BATCH = 30
"""Jobs that are removed at once: fifteen a second, more than come in."""


def expired(
    entries: Iterable[books.Entry], status_s: float, store_ms: float
) -> list[books.Entry]:
    """Returns jobs whose rows may go, at most ``BATCH``.

    Args:
        entries: all jobs.
        status_s: for how long clients may ask for a job that has ended.
        store_ms: the store's steady clock, by which ends were written. By the
            time of day, an owner whose clock was an hour ahead removed jobs
            that had ended a moment before.
    """
    before_ms = store_ms - (status_s + MARGIN_S) * 1000
    found = []
    for entry in entries:
        if entry.shown.ended and 0 < entry.ended_ms < before_ms:
            found.append(entry)
            if len(found) == BATCH:
                break
    return found


def remove_job(table: platform.Table, job_id: str) -> bool:
    """Removes a job's rows and its cancel; False when that is not certain."""
    tables = recorders.JOB_TABLE, recorders.SPEC_TABLE, recorders.CANCEL_TABLE
    keys = [f"{table}/{job_id}" for table in tables]
    read = table.read(keys)
    if isinstance(read, platform.Unavailable):
        return False
    puts = tuple(platform.Put(row.key, row.version, None) for row in read.rows)
    if not puts:
        return True
    transaction = platform.Transaction(f"remove-{job_id}", puts)
    return isinstance(table.commit(transaction), platform.Committed)


def progress_removal(entries: Sequence[books.Entry]) -> list[platform.Put]:
    """Returns the writes that remove the rows of progress."""
    return [
        platform.Put(
            f"{recorders.PROGRESS_TABLE}/{entry.job.job_id}",
            entry.version,
            None,
        )
        for entry in entries
        if entry.version
    ]
