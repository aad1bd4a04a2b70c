"""Rows of jobs that ended long ago are removed while their table is read."""

import pytest

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_OLD = fleet_builders.job(1)
_NEW = fleet_builders.job(2)
_END_VERSION = 20


def _row(job, version):
    return change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), version)


class _Feed:
    """Reads a table of two jobs; something may happen during a read."""

    def __init__(self):
        self.during_read = lambda: None
        self.rows = (_row(_OLD, 10), _row(_NEW, 30))
        self.missing = ()
        self.has_history = False

    def snapshot(self, table, parts=()):
        del table, parts
        rows = self.rows
        self.during_read()
        missing, self.missing = self.missing, ()
        return change_feeds.Snapshot(rows, 40, missing)

    def changes(self, table, after, wait_s, max_bytes=None):
        del table, wait_s, max_bytes
        if self.has_history:
            return change_feeds.ChangeBatch((), after)
        return change_feeds.HistoryTruncated()


class _Fleet:
    """An owner, a job that ended long ago and one that it does not know."""

    def __init__(self):
        self.feed = _Feed()
        self.clock = manual.ManualClock()
        self.table = tables.MemoryTable()
        self.owner = ownership_terms.begin_term(
            self.table, self.feed, self.clock
        )
        key = f"{fenced_writer.JOB_TABLE}/{_OLD.job_id}"
        put = platform.Put(key, platform.ABSENT, {})
        self.table.commit(platform.Transaction("submit", (put,)))
        tracker = self.owner.scheduler.tracker
        self.owner.scheduler.add_job(_OLD, 0.0)
        entry = tracker.get(_OLD.job_id)
        entry.end_early(jobs.JobState.COMPLETED)
        entry.recorded_state = entry.state
        entry.ended_store_ms, entry.version = 1.0, _END_VERSION
        tracker.mark_dirty(entry)
        self.follower = self.owner._job_tables._jobs
        first = change_feeds.Snapshot((), 20)
        self.follower.resume_from(first)

    def remove_old_jobs(self):
        """Removes the rows of jobs that ended long ago, once."""
        owner = self.owner

        def stop(seconds):
            owner._is_finishing = bool(seconds)

        self.clock.sleep = stop
        owner._is_finishing = False
        owner._run_retention()
        del self.clock.sleep
        assert owner.scheduler.tracker.get(_OLD.job_id) is None

    @property
    def known(self):
        return {entry.job.job_id for entry in self.owner.scheduler.tracker}


def _poll_all(fleet):
    """Polls until the table has been read after its history was lost."""
    fleet.follower._poll()
    fleet.feed.has_history = True
    fleet.follower._poll()


def test_a_job_that_is_removed_during_a_read_does_not_run_again():
    """Guards against completed jobs that run twice after a lost history."""
    fleet = _Fleet()
    fleet.feed.during_read = fleet.remove_old_jobs
    _poll_all(fleet)
    assert fleet.known == {_NEW.job_id}


def test_a_job_that_is_removed_while_a_part_is_read_does_not_run_again():
    """Guards against the same where a part of the table was unavailable."""
    fleet = _Fleet()
    fleet.feed.rows = ()
    fleet.feed.missing = ("p1",)
    _poll_all(fleet)
    fleet.feed.rows = (_row(_OLD, 10), _row(_NEW, 30))
    fleet.feed.during_read = fleet.remove_old_jobs
    fleet.follower._poll()
    assert fleet.known == {_NEW.job_id}


def test_a_job_with_the_id_of_a_removed_one_is_taken_in():
    """Guards against a job that is lost since its id was used before."""
    fleet = _Fleet()

    def remove_and_submit():
        fleet.remove_old_jobs()
        fleet.feed.rows = (_row(_OLD, 35),)

    fleet.feed.during_read = remove_and_submit
    _poll_all(fleet)
    fleet.feed.during_read = lambda: None
    fleet.feed.has_history = False
    _poll_all(fleet)
    assert _OLD.job_id in fleet.known


@pytest.mark.parametrize("version", [21, 35])
def test_a_newer_row_of_a_removed_job_counts_even_in_the_same_read(version):
    fleet = _Fleet()
    fleet.feed.rows = (_row(_OLD, version),)
    fleet.feed.during_read = fleet.remove_old_jobs
    _poll_all(fleet)
    assert fleet.known == {_OLD.job_id}


def test_removals_are_not_kept_while_nothing_is_read():
    """Guards against an owner whose memory grows with the jobs it removes."""
    fleet = _Fleet()
    fleet.remove_old_jobs()
    assert fleet.owner._job_tables._removed_during_read is None
    fleet.feed.rows = ()
    _poll_all(fleet)
    assert fleet.owner._job_tables._removed_during_read is None
