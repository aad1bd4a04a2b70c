"""Rows of jobs that ended long ago are removed, and no others."""

from standins import table as tables
from tests.common import fleets
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import retention
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

STATUS_S = 120.0
DAY_MS = 86_400_000.0


def _ended(number, at_ms, shown=jobs.JobState.COMPLETED):
    entry = books.Entry(fleets.job(number), 0.0)
    entry.end(jobs.JobState.COMPLETED)
    entry.pack(at_ms)
    entry.shown = shown
    return entry


def test_a_job_is_kept_while_clients_may_ask_for_it():
    entry = _ended(1, DAY_MS)
    just_before = DAY_MS + (STATUS_S + retention.RETENTION_MARGIN_S) * 1000
    assert not retention.expired_jobs([entry], STATUS_S, just_before)
    assert retention.expired_jobs([entry], STATUS_S, just_before + 1) == [entry]


def test_a_running_job_or_one_with_an_unrecorded_end_is_kept():
    unrecorded = _ended(1, DAY_MS, shown=jobs.JobState.RUNNING)
    running = books.Entry(fleets.job(2), 0.0)
    found = retention.expired_jobs([unrecorded, running], STATUS_S, 2 * DAY_MS)
    assert not found


def test_the_end_time_survives_a_change_of_owner():
    entry = _ended(1, DAY_MS)
    restored = books.Entry(entry.job, 0.0)
    restored.unpack(entry.pack(2 * DAY_MS))
    assert restored.ended_ms == DAY_MS


def test_a_job_and_its_cancel_are_removed_together():
    table = tables.MemoryTable()
    for name in (recorders.JOB_TABLE, recorders.CANCEL_TABLE):
        put = platform.Put(f"{name}/ab", platform.ABSENT, {})
        table.commit(platform.Transaction(name, (put,)))
    assert retention.remove_job(table, "ab")
    assert table.scan("").rows == ()
    assert retention.remove_job(table, "ab")


def test_a_removal_fails_while_the_store_is_unavailable():
    table = tables.MemoryTable()
    table.faults.down = True
    assert not retention.remove_job(table, "ab")
