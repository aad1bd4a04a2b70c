"""Specs that a new owner reads singly before jobs can start."""

import pytest

from standins import table as tables
from tests.common import clocks
from tests.common import fleets
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.ownership import spec_table

_LONG_SPEC = "x" * (job_rows.INLINE_SPEC_BYTES + 1)
_JOBS = 40


class _NothingLeftError(Exception):
    """Ends the loop that reads, once there is nothing to read."""


class _PauseCounter(clocks.ManualClock):
    """Counts the pauses during which specs are waiting to be read."""

    def __init__(self, core):
        super().__init__()
        self._core = core
        self.pauses = 0

    def sleep(self, seconds):
        super().sleep(seconds)
        missing = [
            job_id
            for job_id in self._core.without_spec
            if self._core.book.get(job_id).spec is None
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
    table, core = tables.MemoryTable(), fleets.new_core()
    intake = intakes.Intake(table, clocks.ManualClock(), "boot-1", lambda: 0.0)
    fleets.adopt(core, "i-1", cpu=4000 * _JOBS)
    for number in range(1, _JOBS + 1):
        job = fleets.job(number, spec=_LONG_SPEC)
        intake.submit(job, 10.0)
        row = table.read([f"job/{job.job_id}"]).rows[0]
        core.job_added(job_rows.unpack(row.value), 0.0)
    fleets.plan(core)
    assert len(core.without_spec) == _JOBS
    clock = _PauseCounter(core)
    specs = spec_table.SpecTable(
        core, table, None, clock, lambda: 1, lambda _: None, lambda: None
    )
    with pytest.raises(_NothingLeftError):
        specs.read_missing()
    # At most one pause, before the first search.
    assert clock.pauses <= 1
    assert len(fleets.plan(core).starts) == 2 * _JOBS
