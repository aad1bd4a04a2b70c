"""Owners whose time of day jumps, ahead or back."""

import types

import gevent
import pytest

from standins import table as tables
from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import retention
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

HOUR_S = 3600.0
STEPS_S = (2.4, -2.4, HOUR_S, -HOUR_S)


class _SteppedClock(clocks.SystemClock):
    """A machine's clocks whose time of day is off by some seconds."""

    def __init__(self, offset_s=0.0):
        self.offset_s = offset_s

    def wall(self):
        return super().wall() + self.offset_s


class _Feed:
    """Reads the rows of a table once; reports no changes."""

    def __init__(self, table):
        self._table = table

    def snapshot(self, name, parts=()):
        del parts
        rows = self._table.scan(f"{name}/").rows
        return change_feeds.Snapshot(
            tuple(
                change_feeds.RowChange(
                    row.key.partition("/")[2], row.value, row.version
                )
                for row in rows
            ),
            1,
        )

    def changes(self, table, after, wait_s):
        del table
        gevent.sleep(wait_s)
        return change_feeds.ChangeBatch((), after)


def _owner(table, clock, version=platform.ABSENT):
    return ownership_terms.begin_term(table, _Feed(table), clock, version)


def _store_job(table, job):
    put = fleet_builders.insertion(
        f"{fenced_writer.JOB_TABLE}/{job.job_id}", job_rows.job_to_row(job)
    )
    table.commit(put)


def _store_cancelled_job(table, job):
    _store_job(table, job)
    key = f"{fenced_writer.CANCEL_TABLE}/{job.job_id}"
    table.commit(fleet_builders.insertion(key, {"cancelled": True}))


def _serve(owner, seconds=0.5):
    assert owner.load()
    with owner.serving():
        gevent.sleep(seconds)


def _version_of_owner(table):
    return table.read([fenced_writer.OWNER_KEY]).rows[0].version


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_job_that_has_just_ended_is_kept_when_the_clock_jumps(
    monkeypatch, step_s
):
    """Guards against a job that its client can't find after it ended.

    After the end of the job, the owner's time of day jumps an hour ahead. The
    owner took the job for one that ended an hour ago and removed its rows.
    """
    monkeypatch.setattr(retention, "SCAN_INTERVAL_S", 0.02)
    table = tables.MemoryTable()
    job = fleet_builders.job(1)
    _store_cancelled_job(table, job)
    clock = _SteppedClock()
    owner = _owner(table, clock)
    assert owner.load()
    with owner.serving():
        gevent.sleep(0.3)
        assert owner.recorded_state(job.job_id) is jobs.JobState.CANCELLED
        clock.offset_s = step_s
        gevent.sleep(0.3)
    assert table.read([f"{fenced_writer.JOB_TABLE}/{job.job_id}"]).rows


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_job_that_has_just_ended_is_kept_by_an_owner_with_another_clock(
    monkeypatch, step_s
):
    """Guards against the same after a change of owner.

    The first owner records when the job ended. The clock of the next owner is
    an hour ahead, so that the end seems to be long ago.
    """
    monkeypatch.setattr(retention, "SCAN_INTERVAL_S", 0.02)
    table = tables.MemoryTable()
    job = fleet_builders.job(1)
    _store_cancelled_job(table, job)
    _serve(_owner(table, _SteppedClock()))
    _serve(_owner(table, _SteppedClock(step_s), _version_of_owner(table)))
    assert table.read([f"{fenced_writer.JOB_TABLE}/{job.job_id}"]).rows


def test_a_job_that_ended_long_ago_is_removed(monkeypatch):
    monkeypatch.setattr(retention, "SCAN_INTERVAL_S", 0.02)
    table = tables.MemoryTable()
    job = fleet_builders.job(1)
    _store_cancelled_job(table, job)
    _serve(_owner(table, _SteppedClock()))
    later = _owner(table, _SteppedClock(), _version_of_owner(table))
    later._dependencies.time.observe_store_clock(
        ownership_terms.STORE_MS + HOUR_S * 1000
    )
    _serve(later)
    assert not table.read([f"{fenced_writer.JOB_TABLE}/{job.job_id}"]).rows


@pytest.mark.parametrize("step_s", STEPS_S)
def test_a_job_has_the_same_age_for_its_owner_and_its_client(step_s):
    """Guards against jobs of some machines that start last, or never.

    The time of day at the machine that accepted them is behind by more than the
    jobs' objective, so the owner took them for too late to be of use.
    """
    clock = manual.ManualClock()
    time = ownership_terms.synced_time(clock)
    job = fleet_builders.job(
        1,
        submitted_ms=int(ownership_terms.STORE_MS),
        submitted_wall_ms=(clock.wall() + step_s) * 1000,
    )
    clock.advance(0.2)
    time.add_wall_sample(job.submitted_ms, job.submitted_wall_ms)
    entry = job_tracker.JobEntry(job, 10.0, time.age_s(job.submitted_ms))
    rank = queue_order.ORDERS.get(queue_order.DEFAULT_ORDER)
    moment = queue_order.PlanTime(10.0, time.wall_now_ms)
    step = next(iter(entry.open_due_steps(moment.wall_ms)))
    fresh = job_tracker.JobEntry(fleet_builders.job(2), 9.8)
    other = next(iter(fresh.open_due_steps(moment.wall_ms)))
    queue = fleet_builders.config().queues[0]
    assert rank(step, queue, moment) == pytest.approx(
        rank(other, queue, moment)
    )


@pytest.mark.parametrize("step_s", STEPS_S)
def test_due_jobs_start_by_the_clocks_of_most_machines(step_s):
    """Guards against a job with a start time that starts an hour early or late.

    The owner's time of day has jumped, and so have the clocks of a quarter of
    the machines that accept jobs.
    """
    clock = manual.ManualClock()
    time = ownership_terms.synced_time(clock)
    true_ms = clock.wall() * 1000
    for number in range(20):
        offset_ms = step_s * 1000 if number % 4 == 0 else number * 10.0
        time.add_wall_sample(ownership_terms.STORE_MS, true_ms + offset_ms)
    clock._wall += step_s
    assert abs(time.wall_now_ms - true_ms) <= 250.0


@pytest.mark.parametrize("step_s", STEPS_S)
def test_the_remaining_time_of_a_wave_ignores_the_time_of_day(step_s):
    """Guards against waves that drain machines too fast, or end late.

    The clocks of the owner that first saw the wave and of the next one differ.
    To the second one the wave seemed to have begun an hour ago.
    """
    table = tables.MemoryTable()
    form = types.SimpleNamespace()
    first, second = manual.ManualClock(), manual.ManualClock()
    second._wall += step_s
    wave_stores = [
        operator_table.OperatorTable(
            table, form, ownership_terms.synced_time(clock), lambda _: None
        )
        for clock in (first, second)
    ]
    assert wave_stores[0].start_wave("wave/1").age_s == 0.0
    second.advance(4.0)
    assert wave_stores[1].start_wave("wave/1").age_s == pytest.approx(4.0)


def test_a_slow_answer_does_not_set_the_store_clock_back():
    clock = manual.ManualClock()
    time = ownership_terms.synced_time(clock)
    clock.advance(1.0)
    time.observe_store_clock(ownership_terms.STORE_MS + 400.0)
    assert time.store_now_ms == pytest.approx(ownership_terms.STORE_MS + 1000.0)
    time.observe_store_clock(ownership_terms.STORE_MS + 1500.0)
    assert time.store_now_ms == pytest.approx(ownership_terms.STORE_MS + 1500.0)
    clock.advance(reference_clock.MAX_EXTRAPOLATION_S)
    time.observe_store_clock(ownership_terms.STORE_MS)
    assert time.store_now_ms == pytest.approx(ownership_terms.STORE_MS)


def test_ages_are_unknown_before_the_first_answer_of_the_store():
    clock = manual.ManualClock()
    time = reference_clock.ReferenceClock(clock)
    assert time.store_now_ms is None
    assert time.age_s(ownership_terms.STORE_MS) == 0.0
    assert time.wall_now_ms == clock.wall() * 1000
