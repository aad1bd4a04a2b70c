"""Specs that a new owner reads singly before jobs can start."""

import pytest

from standins import table as tables
from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.ownership import spec_table

_LONG_SPEC = "x" * (job_rows.INLINE_SPEC_BYTES + 1)
_JOBS = 40


class _NothingLeftError(Exception):
    """Ends the loop that reads, once there is nothing to read."""


class _PauseCounter(clocks.ManualClock):
    """Counts the pauses during which specs are waiting to be read."""

    def __init__(self, scheduler):
        super().__init__()
        self._scheduler = scheduler
        self.pauses = 0

    def sleep(self, seconds):
        super().sleep(seconds)
        missing = [
            job_id
            for job_id in self._scheduler.jobs_without_spec
            if self._scheduler.tracker.get(job_id).spec is None
        ]
        if not missing:
            raise _NothingLeftError
        self.pauses += 1


def test_a_new_owner_reads_the_specs_of_waiting_jobs_without_pauses():
    """Guards against jobs that start late after a change of owner.

    The new owner read the specs of startable jobs four at a time and paused for
    50 ms after each four. It sent 155 starts in its first second, where 240 had
    been decided, and a quarter of the jobs were late.
    """
    table, scheduler = tables.MemoryTable(), fleet_builders.new_scheduler()
    job_store = job_stores.JobStore(
        table, clocks.ManualClock(), "boot-1", lambda: 0.0
    )
    fleet_builders.add_instances(scheduler, "i-1", cpu=4000 * _JOBS)
    for number in range(1, _JOBS + 1):
        job = fleet_builders.job(number, spec=_LONG_SPEC)
        job_store.submit(job, 10.0)
        row = table.read([f"job/{job.job_id}"]).rows[0]
        scheduler.add_job(job_rows.row_to_job(row.value), 0.0)
    fleet_builders.plan_batch(scheduler)
    assert len(scheduler.jobs_without_spec) == _JOBS
    clock = _PauseCounter(scheduler)
    specs = spec_table.SpecTable(
        scheduler, table, None, clock, lambda: 1, lambda _: None, lambda: None
    )
    with pytest.raises(_NothingLeftError):
        specs.read_missing()
    # At most one pause, before the first search.
    assert clock.pauses <= 1
    assert len(fleet_builders.plan_batch(scheduler).starts) == 2 * _JOBS
