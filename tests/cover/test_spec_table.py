"""Specs that are stored in rows of their own."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import table as tables
from tests.common import clocks
from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.job_requests import (
    job_store as job_stores,
)
from vanillaswitch.coordination.fleet.ownership import spec_table
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_LONG_SPEC = "x" * (job_rows.INLINE_SPEC_BYTES + 1)


_boots = itertools.count()


def _submit(table, job):
    boot = f"boot-{next(_boots)}"
    job_store = job_stores.JobStore(
        table, clocks.ManualClock(), boot, lambda: 0.0
    )
    return job_store.submit(job, 10.0)


def _stored_job(table, job):
    """Returns a job as a new owner decodes its row."""
    row = table.read([f"job/{job.job_id}"]).rows[0]
    return job_rows.row_to_job(row.value)


def _spec_table(scheduler, table, emitted=None):
    return spec_table.SpecTable(
        scheduler,
        table,
        None,
        clocks.ManualClock(),
        lambda: 1,
        (emitted if emitted is not None else []).append,
        lambda: None,
    )


def _read_next(specs):
    for job_id in specs._next_to_read():
        specs._read_spec(job_id)


@given(st.text(st.characters(exclude_categories=["Cs"]), max_size=400))
def test_a_spec_is_stored_in_one_row_and_read_back_unchanged(spec):
    job = fleet_builders.job(spec=spec)
    document, spec_row = job_rows.job_to_row(job), job_rows.pack_spec(job)
    stored = job_rows.row_to_job(document)
    if spec_row is None:
        assert stored == job
    else:
        assert stored.spec == ""
        assert job_rows.unpack_spec(spec_row) == spec
        assert stored.spec_digest == jobs.hash_spec(spec)


def test_a_job_restored_by_a_new_owner_starts_with_its_spec():
    table, scheduler = tables.MemoryTable(), fleet_builders.new_scheduler()
    job = fleet_builders.job(spec=_LONG_SPEC)
    assert _submit(table, job) is job_stores.RequestResult.ACCEPTED
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(_stored_job(table, job), 0.0)
    assert not fleet_builders.plan_batch(scheduler).starts
    _read_next(_spec_table(scheduler, table))
    starts = fleet_builders.plan_batch(scheduler).starts
    assert [start.spec for start in starts] == [_LONG_SPEC, _LONG_SPEC]


def test_a_job_may_be_submitted_twice_but_its_id_not_reused():
    table = tables.MemoryTable()
    job = fleet_builders.job(spec=_LONG_SPEC)
    assert _submit(table, job) is job_stores.RequestResult.ACCEPTED
    assert _submit(table, job) is job_stores.RequestResult.ACCEPTED
    other = fleet_builders.job(spec=_LONG_SPEC + "y")
    assert _submit(table, other) is job_stores.RequestResult.ID_CONFLICT


def test_an_overwritten_spec_starts_nothing():
    """Guards against running a spec that no client submitted.

    Another writer overwrites the spec of a waiting job, and the next owner
    reads the new text.
    """
    table, scheduler, emitted = (
        tables.MemoryTable(),
        fleet_builders.new_scheduler(),
        [],
    )
    job = fleet_builders.job(spec=_LONG_SPEC)
    _submit(table, job)
    fleet_builders.add_instances(scheduler, "i-1")
    scheduler.add_job(_stored_job(table, job), 0.0)
    fleet_builders.plan_batch(scheduler)
    specs = _spec_table(scheduler, table, emitted)
    for value in ({"spec": _LONG_SPEC + "y"}, {"spec": 7}, {}):
        specs._on_spec_change(change_feeds.RowChange(job.job_id, value, 2))
    assert not fleet_builders.plan_batch(scheduler).starts
    assert [type(event) for event in emitted] == [events.RowUnusable] * 3
    assert not specs._next_to_read()


def test_a_spec_that_arrives_before_its_job_is_kept():
    table, scheduler = tables.MemoryTable(), fleet_builders.new_scheduler()
    job = fleet_builders.job(spec=_LONG_SPEC)
    _submit(table, job)
    fleet_builders.add_instances(scheduler, "i-1")
    specs = _spec_table(scheduler, table)
    specs._on_spec_change(
        change_feeds.RowChange(job.job_id, job_rows.pack_spec(job), 1)
    )
    scheduler.add_job(_stored_job(table, job), 0.0)
    specs.on_job_added(job.job_id)
    assert fleet_builders.plan_batch(scheduler).starts


def test_only_a_few_specs_are_read_at_once():
    """Guards against renewals that queue behind the specs of all waiting jobs.

    A new owner on a slow link that reads all specs at once loses the fleet.
    """
    table, scheduler = tables.MemoryTable(), fleet_builders.new_scheduler()
    for number in range(100):
        job = fleet_builders.job(number, spec=_LONG_SPEC)
        _submit(table, job)
        scheduler.add_job(_stored_job(table, job), 0.0)
    fleet_builders.plan_batch(scheduler)
    assert (
        len(_spec_table(scheduler, table)._next_to_read())
        == spec_table.MAX_CONCURRENT_READS
    )


def test_specs_in_an_unavailable_part_are_retried_at_intervals(monkeypatch):
    """Guards against overloading the store and the log.

    Each job whose spec is in an unavailable part was read again every 50 ms,
    80 calls per second in total, and every read logged that the table was lost
    and back.
    """
    table, scheduler, emitted = (
        tables.MemoryTable(),
        fleet_builders.new_scheduler(),
        [],
    )
    job = fleet_builders.job(spec=_LONG_SPEC)
    _submit(table, job)
    scheduler.add_job(_stored_job(table, job), 0.0)
    fleet_builders.plan_batch(scheduler)
    specs = _spec_table(scheduler, table, emitted)
    unavailable = platform.Unavailable("status 503")
    monkeypatch.setattr(table, "read", lambda _: unavailable)
    _read_next(specs)
    assert not specs._next_to_read()
    specs._clock.advance(table_follower.RETRY_S)
    assert specs._next_to_read() == [job.job_id]
    _read_next(specs)
    assert [event.state for event in emitted] == ["lost"]


def test_specs_are_read_for_the_pools_in_turn():
    table, scheduler = tables.MemoryTable(), fleet_builders.new_scheduler()
    for number, service in enumerate(["one"] * 9 + ["two"] * 9):
        job = fleet_builders.job(
            number, spec=_LONG_SPEC, queue=service, service=service
        )
        _submit(table, job)
        scheduler.add_job(_stored_job(table, job), 0.0)
    fleet_builders.plan_batch(scheduler)
    job_ids = _spec_table(scheduler, table)._next_to_read()
    queues = [scheduler.tracker.get(job_id).job.queue for job_id in job_ids]
    assert sorted(queues) == ["one", "one", "two", "two"]


def test_lost_history_resumes_from_the_newest_write():
    """Guards against calls without pauses after the history was lost."""
    scheduler = fleet_builders.new_scheduler()
    clock = clocks.ManualClock()
    calls = []

    class _Stop(Exception):  # noqa: N818
        pass

    class _Feed:
        def changes(self, table, after, wait_s):
            del table, wait_s
            calls.append((after, clock.monotonic()))
            if len(calls) == 3:
                raise _Stop
            return change_feeds.HistoryTruncated()

    specs = spec_table.SpecTable(
        scheduler,
        None,
        _Feed(),
        clock,
        lambda: 77,
        lambda _: None,
        lambda: None,
    )
    specs.resume_from(5)
    with pytest.raises(_Stop):
        specs.follow()
    assert [after for after, _ in calls] == [5, 77, 77]
    assert calls[2][1] - calls[1][1] >= table_follower.RETRY_S
