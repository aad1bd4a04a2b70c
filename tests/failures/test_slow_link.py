"""A change of owner on machines with slow links."""

import json

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import jobs

ENDED = 400
LINK_BYTES_PER_S = 2e6 / 8
SPEC_BYTES = 3_500
"""With its steps a job's row takes about 4 KB."""


class _Feed:
    """Tables whose rows come over one slow link; counts the time."""

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


def test_jobs_that_have_ended_do_not_hold_up_a_change_of_owner():
    """What was accepted never runs: one owner follows the other.

    A new owner reads each job of the last minutes as a whole, ended ones too.
    On a link of 2 Mbit/s that takes longer than a term may be silent.
    """
    rows = {"job": [], "progress": []}
    for number in range(ENDED):
        job = fleets.job(number, spec="x" * SPEC_BYTES)
        ended = {"ended": jobs.JobState.COMPLETED.value, "started": True}
        rows["job"].append(feeds.Change(job.job_id, job_rows.pack(job), number))
        rows["progress"].append(feeds.Change(job.job_id, ended, number))
    feed = _Feed(rows)
    owner = terms.begin(tables.MemoryTable(), feed, manual.ManualClock())
    assert owner._read_all()
    assert feed.read_s < succession.TERM_S
