"""A store that executes writes but loses their answers."""

import random

import gevent

from tests.common import fleet_builders
from vanillaswitch.coordination import hedged_table
from vanillaswitch.coordination import hedging_delay
from vanillaswitch.coordination.fleet.job_requests import job_store
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

_CALL_TIMEOUT_S = 1.5
_LATENCY_S = 0.007


class _Store:
    """Keeps rows; delays the answers of some writes, or exceeds the timeout."""

    def __init__(self, rng, loss_rate=0.0, slowdown=1.0):
        self.loss_rate = loss_rate
        self.slowdown = slowdown
        self.writes = 0
        self.rows = {}
        self._rng = rng
        self._version = 0

    def read(self, keys):
        gevent.sleep(_LATENCY_S * self.slowdown)
        return platform.Rows(
            tuple(self.rows[key] for key in keys if key in self.rows)
        )

    def commit(self, transaction):
        self.writes += 1
        gevent.sleep(_LATENCY_S * self.slowdown)
        stale = [
            put.key
            for put in transaction.puts
            if self._version_of(put.key) != put.version
        ]
        if stale:
            return platform.Conflict(
                tuple(self.rows[key] for key in stale if key in self.rows)
            )
        self._version += 1
        for put in transaction.puts:
            self.rows[put.key] = platform.Row(
                put.key, self._version, put.value, transaction.token
            )
        if self._rng.random() < self.loss_rate:
            gevent.sleep(_CALL_TIMEOUT_S)
            return platform.OutcomeUnknown("silent")
        return platform.Committed(self._version)

    def _version_of(self, key):
        row = self.rows.get(key)
        return row.version if row else platform.ABSENT


def _writer(table, clock):
    writer = fenced_writer.FencedWriter(
        table, clock, fenced_writer.OwnerRow("edge-1", "a:1", "boot-1")
    )
    assert writer.take_over(platform.ABSENT, 0.0)
    return writer


def _longest_write_s(writer, clock, writes):
    longest = 0.0
    for _ in range(writes):
        before = writer.last_write_sent_at
        writer.write([])
        longest = max(longest, clock.monotonic() - before)
    return longest


def test_an_owner_whose_answers_get_lost_keeps_the_fleet():
    """Guards against idle seconds while a store loses a third of its answers.

    The owner's writes took effect, but each lost answer blocked it for the
    whole timeout of a call. The others saw no write within a term and asked it,
    and it stepped down. The next ones did so too: four owners within six
    seconds.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(5), loss_rate=0.35)
    table = hedged_table.HedgedTable(store, clock)
    writer = _writer(table, clock)
    longest_s = _longest_write_s(writer, clock, 60)
    assert longest_s < owner_monitor.SUSPECT_AFTER_S
    assert not writer.is_term_over


def test_writes_to_a_slow_store_are_rarely_sent_again():
    """Guards against copies that slow down a store that is 60 times slower.

    Each write is sent again after the time that an idle store takes. After the
    first answers, that wait follows the measured times.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(1), slowdown=60.0)
    writer = _writer(hedged_table.HedgedTable(store, clock), clock)
    _longest_write_s(writer, clock, 2)
    before = store.writes
    _longest_write_s(writer, clock, 4)
    assert store.writes - before <= 5
    assert not writer.is_term_over


def test_a_client_soon_learns_that_its_job_was_accepted():
    """Guards against a client that waits two seconds for an unknown outcome.

    Its job was stored within milliseconds and only the answer was lost. The row
    itself shows that it was stored.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(1), loss_rate=1.0)
    job_store_ = job_store.JobStore(
        hedged_table.HedgedTable(store, clock), clock, "boot", lambda: 0.0
    )
    started_at = clock.monotonic()
    verdict = job_store_.submit(fleet_builders.job(), started_at + 3.0)
    assert verdict is job_store.RequestResult.ACCEPTED
    assert clock.monotonic() - started_at < 2 * hedging_delay.INITIAL_DELAY_S


class _RejectingCopies:
    """Holds the first copy of a write, and rejects all others as not done."""

    def __init__(self):
        self.calls = 0

    def commit(self, transaction):
        del transaction
        self.calls += 1
        if self.calls == 1:
            gevent.sleep(_CALL_TIMEOUT_S)
            return platform.OutcomeUnknown("silent")
        return platform.Unavailable("busy")


def test_a_rejected_copy_does_not_settle_one_that_is_under_way():
    """Guards against a client that is told "not run" while its job runs.

    The first copy of the write is still under way and may take effect; the
    second is rejected. Only the first could show that nothing was done.
    """
    clock = clocks.SystemClock()
    table = hedged_table.HedgedTable(_RejectingCopies(), clock)
    put = platform.Put("job/a", platform.ABSENT, {})
    transaction = platform.Transaction("t-1", (put,))
    outcomes = [table.commit(transaction) for _ in range(3)]
    assert all(
        isinstance(outcome, platform.OutcomeUnknown) for outcome in outcomes
    )
