"""Change of owner on machines with slow network links."""

import json

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import jobs

ENDED_JOBS = 400
LINK_BYTES_PER_S = 2e6 / 8
SPEC_BYTES = 3_500
"""Including its steps, a job takes about 4 KB."""


class _Feed:
    """Feed over a slow link; adds up the transfer time in ``read_s``."""

    def __init__(self, rows):
        self._rows = rows
        self.read_s = 0.0

    def snapshot(self, table, parts=()):
        del parts
        rows = tuple(self._rows.get(table, ()))
        size = sum(len(json.dumps(row.value)) for row in rows)
        self.read_s += size / LINK_BYTES_PER_S
        return feeds.Snapshot(rows, 1)

    def changes(self, table, after, wait_s):
        del table, wait_s
        return feeds.Changes((), after)


def test_ended_jobs_do_not_delay_a_change_of_owner():
    """Otherwise accepted jobs never run since no owner completes its start.

    If a new owner reads all jobs of the last minutes with their specs, ended
    ones too, this takes longer on a link of 2 Mbit/s than a term may last
    without a renewal.
    """
    rows = {"job": [], "progress": []}
    for number in range(ENDED_JOBS):
        job = fleets.job(number, spec="x" * SPEC_BYTES)
        ended = {"ended": jobs.JobState.COMPLETED.value, "started": True}
        rows["job"].append(feeds.Change(job.job_id, job_rows.pack(job), number))
        rows["progress"].append(feeds.Change(job.job_id, ended, number))
    feed = _Feed(rows)
    owner = terms.begin(tables.MemoryTable(), feed, manual.ManualClock())
    assert owner._read_all()
    assert feed.read_s < succession.TERM_S
