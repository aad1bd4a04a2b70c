"""Specs that lie in rows of their own."""

import itertools

from hypothesis import given
from hypothesis import strategies as st
import pytest

from standins import table as tables
from tests.common import clocks
from tests.common import fleets
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import follow
from vanillaswitch.coordination.fleet.intake import intake as intakes
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.ownership import spec_table
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_LONG_SPEC = "x" * (job_rows.INLINE_SPEC_BYTES + 1)


_boots = itertools.count()


def _submit(table, job):
    boot = f"boot-{next(_boots)}"
    intake = intakes.Intake(table, clocks.ManualClock(), boot, lambda: 0.0)
    return intake.submit(job, 10.0)


def _stored_job(table, job):
    """Returns a job as a new owner reads it from its row."""
    row = table.read([f"job/{job.job_id}"]).rows[0]
    return job_rows.unpack(row.value)


def _spec_table(core, table, emitted=None):
    return spec_table.SpecTable(
        core,
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
def test_a_spec_is_in_one_row_and_comes_back_as_it_was(spec):
    job = fleets.job(spec=spec)
    document, apart = job_rows.pack(job), job_rows.pack_spec(job)
    stored = job_rows.unpack(document)
    if apart is None:
        assert stored == job
    else:
        assert stored.spec == ""
        assert job_rows.unpack_spec(apart) == spec
        assert stored.spec_digest == jobs.digest(spec)


def test_a_job_restored_by_a_new_owner_starts_with_its_spec():
    table, core = tables.MemoryTable(), fleets.new_core()
    job = fleets.job(spec=_LONG_SPEC)
    assert _submit(table, job) is intakes.Verdict.ACCEPTED
    fleets.adopt(core, "i-1")
    core.job_added(_stored_job(table, job), 0.0)
    assert not fleets.plan(core).starts
    _read_next(_spec_table(core, table))
    starts = fleets.plan(core).starts
    assert [start.spec for start in starts] == [_LONG_SPEC, _LONG_SPEC]


def test_a_job_handed_in_twice_is_one_and_another_under_its_id_is_refused():
    table = tables.MemoryTable()
    job = fleets.job(spec=_LONG_SPEC)
    assert _submit(table, job) is intakes.Verdict.ACCEPTED
    assert _submit(table, job) is intakes.Verdict.ACCEPTED
    other = fleets.job(spec=_LONG_SPEC + "y")
    assert _submit(table, other) is intakes.Verdict.DIFFERENT


def test_a_spec_written_over_by_another_writer_starts_nothing():
    """An instance is told to do what no client asked for.

    Another writer puts a text of its own over the spec of a waiting job, and
    the next owner reads that one.
    """
    table, core, emitted = tables.MemoryTable(), fleets.new_core(), []
    job = fleets.job(spec=_LONG_SPEC)
    _submit(table, job)
    fleets.adopt(core, "i-1")
    core.job_added(_stored_job(table, job), 0.0)
    fleets.plan(core)
    specs = _spec_table(core, table, emitted)
    for value in ({"spec": _LONG_SPEC + "y"}, {"spec": 7}, {}):
        specs._on_spec_change(feeds.Change(job.job_id, value, 2))
    assert not fleets.plan(core).starts
    assert [type(event) for event in emitted] == [events.RowUnusable] * 3
    assert not specs._next_to_read()


def test_a_spec_that_is_heard_of_before_its_job_is_kept_for_it():
    table, core = tables.MemoryTable(), fleets.new_core()
    job = fleets.job(spec=_LONG_SPEC)
    _submit(table, job)
    fleets.adopt(core, "i-1")
    specs = _spec_table(core, table)
    specs._on_spec_change(feeds.Change(job.job_id, job_rows.pack_spec(job), 1))
    core.job_added(_stored_job(table, job), 0.0)
    specs.on_job_added(job.job_id)
    assert fleets.plan(core).starts


def test_few_specs_are_read_at_once():
    """Renewals wait behind the specs of all jobs that wait.

    A new owner on a slow link that read them all would lose the fleet again.
    """
    table, core = tables.MemoryTable(), fleets.new_core()
    for number in range(100):
        job = fleets.job(number, spec=_LONG_SPEC)
        _submit(table, job)
        core.job_added(_stored_job(table, job), 0.0)
    fleets.plan(core)
    assert (
        len(_spec_table(core, table)._next_to_read())
        == spec_table.MAX_CONCURRENT_READS
    )


def test_specs_in_a_part_that_is_away_are_asked_for_at_intervals(monkeypatch):
    """A part of the store that is away gets 80 calls a second more.

    Each job whose spec lies there was asked for again after 50 ms, and each
    time two lines told that the table was lost and back.
    """
    table, core, emitted = tables.MemoryTable(), fleets.new_core(), []
    job = fleets.job(spec=_LONG_SPEC)
    _submit(table, job)
    core.job_added(_stored_job(table, job), 0.0)
    fleets.plan(core)
    specs = _spec_table(core, table, emitted)
    away = platform.Unavailable("status 503")
    monkeypatch.setattr(table, "read", lambda _: away)
    _read_next(specs)
    assert not specs._next_to_read()
    specs._clock.advance(follow.RETRY_S)
    assert specs._next_to_read() == [job.job_id]
    _read_next(specs)
    assert [event.state for event in emitted] == ["lost"]


def test_jobs_of_all_pools_get_their_specs_by_turns():
    table, core = tables.MemoryTable(), fleets.new_core()
    for number, service in enumerate(["one"] * 9 + ["two"] * 9):
        job = fleets.job(
            number, spec=_LONG_SPEC, queue=service, service=service
        )
        _submit(table, job)
        core.job_added(_stored_job(table, job), 0.0)
    fleets.plan(core)
    wanted = _spec_table(core, table)._next_to_read()
    queues = [core.book.get(job_id).job.queue for job_id in wanted]
    assert sorted(queues) == ["one", "one", "two", "two"]


def test_lost_history_goes_on_from_the_newest_write():
    """The owner asks the store without a pause while its history is short."""
    core = fleets.new_core()
    clock = clocks.ManualClock()
    asked = []

    class _Stop(Exception):  # noqa: N818
        pass

    class _Feed:
        def changes(self, table, after, wait_s):
            del table, wait_s
            asked.append((after, clock.monotonic()))
            if len(asked) == 3:
                raise _Stop
            return feeds.HistoryLost()

    specs = spec_table.SpecTable(
        core, None, _Feed(), clock, lambda: 77, lambda _: None, lambda: None
    )
    specs.start_from(5)
    with pytest.raises(_Stop):
        specs.follow()
    assert [after for after, _ in asked] == [5, 77, 77]
    assert asked[2][1] - asked[1][1] >= follow.RETRY_S
