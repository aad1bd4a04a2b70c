"""Rows of jobs that ended long ago are removed, and no others."""

from standins import table as tables
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import retention
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

STATUS_S = 120.0
DAY_MS = 86_400_000.0


def _ended(number, at_ms, shown=jobs.JobState.COMPLETED):
    entry = job_tracker.JobEntry(fleet_builders.job(number), 0.0)
    entry.end_early(jobs.JobState.COMPLETED)
    entry.to_document(at_ms)
    entry.recorded_state = shown
    return entry


def test_a_job_is_kept_while_clients_may_ask_for_it():
    entry = _ended(1, DAY_MS)
    just_before = DAY_MS + (STATUS_S + retention.RETENTION_MARGIN_S) * 1000
    assert not retention.expired_jobs([entry], STATUS_S, just_before)
    assert retention.expired_jobs([entry], STATUS_S, just_before + 1) == [entry]


def test_a_running_job_or_one_with_an_unrecorded_end_is_kept():
    unrecorded = _ended(1, DAY_MS, shown=jobs.JobState.RUNNING)
    running = job_tracker.JobEntry(fleet_builders.job(2), 0.0)
    found = retention.expired_jobs([unrecorded, running], STATUS_S, 2 * DAY_MS)
    assert not found


def test_the_end_time_survives_a_change_of_owner():
    entry = _ended(1, DAY_MS)
    restored = job_tracker.JobEntry(entry.job, 0.0)
    restored.load_document(entry.to_document(2 * DAY_MS))
    assert restored.ended_store_ms == DAY_MS


def test_a_job_and_its_cancel_are_removed_together():
    table = tables.MemoryTable()
    for name in (fenced_writer.JOB_TABLE, fenced_writer.CANCEL_TABLE):
        put = platform.Put(f"{name}/ab", platform.ABSENT, {})
        table.commit(platform.Transaction(name, (put,)))
    assert retention.remove_job(table, "ab")
    assert table.scan("").rows == ()
    assert retention.remove_job(table, "ab")


def test_a_removal_fails_while_the_store_is_unavailable():
    table = tables.MemoryTable()
    table.faults.down = True
    assert not retention.remove_job(table, "ab")
