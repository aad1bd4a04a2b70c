"""Change of owner on machines with slow network links."""

import json

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.protocol import change_feeds
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
        return change_feeds.Snapshot(rows, 1)

    def changes(self, table, after, wait_s):
        del table, wait_s
        return change_feeds.ChangeBatch((), after)


def test_ended_jobs_do_not_delay_a_change_of_owner():
    """Otherwise accepted jobs never run since no owner completes its start.

    If a new owner reads all jobs of the last minutes with their specs, ended
    ones too, this takes longer on a link of 2 Mbit/s than a term may last
    without a renewal.
    """
    rows = {"job": [], "progress": []}
    for number in range(ENDED_JOBS):
        job = fleet_builders.job(number, spec="x" * SPEC_BYTES)
        ended = {"ended": jobs.JobState.COMPLETED.value, "started": True}
        rows["job"].append(
            change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), number)
        )
        rows["progress"].append(
            change_feeds.RowChange(job.job_id, ended, number)
        )
    feed = _Feed(rows)
    owner = ownership_terms.begin_term(
        tables.MemoryTable(), feed, manual.ManualClock()
    )
    assert owner._load_tables()
    assert feed.read_s < owner_monitor.TERM_TIMEOUT_S
