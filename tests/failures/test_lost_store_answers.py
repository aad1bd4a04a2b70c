"""A store that carries writes out and loses the answers."""

import random

import gevent

from tests.common import fleets
from vanillaswitch.coordination import answer_times
from vanillaswitch.coordination import prompt_table
from vanillaswitch.coordination.fleet.intake import intake
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform

_CALL_LIMIT_S = 1.5
_IDLE_S = 0.007


class _Store:
    """Keeps rows; answers some writes late, or not within the limit."""

    def __init__(self, rng, lost=0.0, slow=1.0):
        self.lost = lost
        self.slow = slow
        self.writes = 0
        self.rows = {}
        self._rng = rng
        self._version = 0

    def read(self, keys):
        gevent.sleep(_IDLE_S * self.slow)
        return platform.Rows(
            tuple(self.rows[key] for key in keys if key in self.rows)
        )

    def commit(self, transaction):
        self.writes += 1
        gevent.sleep(_IDLE_S * self.slow)
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
        if self._rng.random() < self.lost:
            gevent.sleep(_CALL_LIMIT_S)
            return platform.OutcomeUnknown("silent")
        return platform.Committed(self._version)

    def _version_of(self, key):
        row = self.rows.get(key)
        return row.version if row else platform.ABSENT


def _recorder(table, clock):
    recorder = recorders.Recorder(
        table, clock, recorders.OwnerRow("edge-1", "a:1", "boot-1")
    )
    assert recorder.take_over(platform.ABSENT, 0.0)
    return recorder


def _longest_silence_s(recorder, clock, writes):
    longest = 0.0
    for _ in range(writes):
        before = recorder.confirmed_at
        recorder.write([])
        longest = max(longest, clock.monotonic() - before)
    return longest


def test_an_owner_whose_answers_get_lost_goes_on_to_own_the_fleet():
    """Nothing starts for seconds while a store loses a third of its answers.

    The owner's writes take effect, but each lost answer held it for the whole
    limit of a call. The others saw no write within a term, asked it, and it
    gave way; its successor met the same: four owners within six seconds.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(5), lost=0.35)
    table = prompt_table.PromptTable(store, clock)
    recorder = _recorder(table, clock)
    silence_s = _longest_silence_s(recorder, clock, 60)
    assert silence_s < succession.SUSPECT_AFTER_S
    assert not recorder.deposed


def test_a_slow_store_is_not_sent_every_write_several_times():
    """A store sixty times slower gets slower still under copies.

    Each write is sent again after the time that an idle store takes. Once the
    first answers have come, the wait follows them.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(1), slow=60.0)
    recorder = _recorder(prompt_table.PromptTable(store, clock), clock)
    _longest_silence_s(recorder, clock, 2)
    before = store.writes
    _longest_silence_s(recorder, clock, 4)
    assert store.writes - before <= 5
    assert not recorder.deposed


def test_a_client_is_told_soon_that_its_job_was_taken():
    """A client waits for two seconds, is told "not known", and asks again.

    Its job was stored within milliseconds; only the answer was lost. The row
    itself says so.
    """
    clock = clocks.SystemClock()
    store = _Store(random.Random(1), lost=1.0)
    taken = intake.Intake(
        prompt_table.PromptTable(store, clock), clock, "boot", lambda: 0.0
    )
    began = clock.monotonic()
    verdict = taken.submit(fleets.job(), began + 3.0)
    assert verdict is intake.Verdict.ACCEPTED
    assert clock.monotonic() - began < 2 * answer_times.FIRST_S


class _Refusing:
    """Holds the first copy of a write, and refuses all others as not done."""

    def __init__(self):
        self.calls = 0

    def commit(self, transaction):
        del transaction
        self.calls += 1
        if self.calls == 1:
            gevent.sleep(_CALL_LIMIT_S)
            return platform.OutcomeUnknown("silent")
        return platform.Unavailable("busy")


def test_a_refused_copy_does_not_speak_for_one_that_is_under_way():
    """A client is told "not run" and its job runs.

    The first copy of its write is still under way and may take effect; the
    second is refused. Only the first one could say that nothing was done.
    """
    clock = clocks.SystemClock()
    table = prompt_table.PromptTable(_Refusing(), clock)
    put = platform.Put("job/a", platform.ABSENT, {})
    transaction = platform.Transaction("t-1", (put,))
    outcomes = [table.commit(transaction) for _ in range(3)]
    assert all(
        isinstance(outcome, platform.OutcomeUnknown) for outcome in outcomes
    )
