"""All processes are lost and start again."""

import dataclasses
import errno
import random
import types

import pytest

from tests.common import clocks
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import (
    owner_candidate as candidates,
)
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.protocol import platform


class _TableOfLostOwner:
    """Holds the row of a lost owner; ends the run at the first commit."""

    def __init__(self, clock, weakness=0.0):
        self._clock = clock
        self._weakness = weakness
        self.committed_at = None
        self.written = None

    def read(self, keys):
        row = fenced_writer.OwnerRow(
            "edge-2", "10.0.0.2:1", "old", self._weakness
        )
        return platform.Rows((platform.Row(keys[0], 7, row.document(), "t"),))

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        self.written = fenced_writer.decode_owner_row(transaction.puts[0].value)
        self.committed_at = self._clock.monotonic()
        raise _TakenOverError


class _TakenOverError(Exception):
    pass


def _take_over_time(probe, ended=False, closed=False, **limits):
    return _take_over(_TableOfLostOwner, probe, ended, closed, **limits)[0]


def _take_over(make_table, probe, ended=False, closed=False, **limits):
    """Returns the time until a process took over, and the row it wrote."""
    clock = clocks.ManualClock()
    table = make_table(clock)
    candidate = candidates.OwnerCandidate(
        types.SimpleNamespace(table=table),
        types.SimpleNamespace(config=object()),
        dataclasses.replace(fleet_builders.deployment(), **limits),
        "new",
        clock,
        random.Random(1),
        probe,
        lambda *_: ended,
        lambda address: closed and candidate.on_stream_closed(address),
        lambda _: None,
    )
    started_at = clock.monotonic()
    try:
        candidate.run()
    except _TakenOverError:
        return table.committed_at - started_at, table.written
    raise AssertionError("nobody took over")


def test_the_first_process_back_takes_over_at_once():
    """Guards against an idle second after all processes have restarted.

    The row still names an owner that ended with the others. Each process used
    to wait for that owner to write.
    """
    elapsed_s = _take_over_time(lambda _: errno.ECONNREFUSED)
    assert elapsed_s <= candidates.TAKE_OVER_JITTER_S


def test_an_unreachable_owner_keeps_its_term():
    """Guards against two owners that alternate.

    A new process can't connect to the owner, which is still alive.
    """
    elapsed_s = _take_over_time(lambda _: errno.ETIMEDOUT)
    assert elapsed_s >= 1.6


def test_an_owner_without_power_is_replaced_within_1_4_s():
    """Guards against two idle seconds after the owner's machine lost power.

    Nothing on that machine refuses connections, so the others waited for the
    owner to write. An owner that is alive and only can't write answers them.
    """
    elapsed_s = _take_over_time(lambda _: errno.ETIMEDOUT, ended=None)
    assert 1.0 <= elapsed_s <= 1.4


def test_a_killed_owner_is_replaced_at_once():
    """Guards against an idle second each time that the owner is killed.

    Its row had to stay unchanged for a while before any process checked the
    owner. Its streams end as soon as it is killed.
    """
    answers = iter([0, errno.ECONNREFUSED])
    elapsed_s = _take_over_time(lambda _: next(answers), closed=True)
    assert (
        elapsed_s
        <= candidates.STREAM_CHECK_INTERVAL_S
        + candidates.TAKE_OVER_JITTER_S
        + 0.01
    )


class _Unreadable(_TableOfLostOwner):
    """Rejects every read; ends the run after the reads of one second."""

    def __init__(self, clock):
        super().__init__(clock)
        self.reads = 0

    def read(self, keys):
        del keys
        self.reads += 1
        if self._clock.monotonic() > 1001.0 or self.reads > 50:
            raise _TakenOverError
        return platform.Unavailable("status 503")


def test_failing_reads_of_the_store_are_paced():
    """Guards against new processes that overload a store in trouble.

    The owner is checked as soon as its row can be read. Until then each failed
    read used to be followed by the next one at once.
    """
    clock = clocks.ManualClock()
    table = _Unreadable(clock)
    candidate = ownership_terms.candidate(table, clock, "new")
    with pytest.raises(_TakenOverError):
        candidate.run()
    assert table.reads <= 5


@pytest.mark.parametrize("limits", [{"cores": 0.5}, {"link_mbps": 5.0}])
def test_a_weak_machine_lets_a_stronger_one_take_over(limits):
    """Guards against jobs that wait for a whole day after a restart.

    All processes had restarted. The first one to find no owner ran on half a
    core and a slow link, a moment before stronger ones. It could not send the
    starts of so many tasks, but kept writing its row and so stayed the owner.
    """
    latest_discovery_s = (
        owner_monitor.READ_INTERVAL_S + candidates.TAKE_OVER_JITTER_S
    )
    elapsed_s = _take_over_time(lambda _: errno.ECONNREFUSED, **limits)
    assert elapsed_s >= latest_discovery_s


def test_machines_that_are_all_weak_have_an_owner_soon():
    elapsed_s = _take_over_time(lambda _: errno.ECONNREFUSED, cores=0.1)
    assert (
        elapsed_s
        <= candidates.WEAK_MACHINE_DELAY_S + candidates.TAKE_OVER_JITTER_S
    )


def test_where_all_owners_were_weak_none_waits_for_a_stronger_machine():
    """Guards against 1.4 idle seconds at each change of owner."""
    weakness = 0.9
    elapsed_s, row = _take_over(
        lambda clock: _TableOfLostOwner(clock, weakness),
        lambda _: errno.ECONNREFUSED,
        cores=1.0 - weakness,
    )
    assert elapsed_s <= candidates.TAKE_OVER_JITTER_S
    assert row.weakness == weakness


def test_a_weak_owner_preserves_the_weakness_of_the_strongest_one():
    """Guards against a weak machine that succeeds another weak one.

    The fleet would stay on weak machines although there are stronger ones.
    """
    weakness = 0.4
    elapsed_s, row = _take_over(
        lambda clock: _TableOfLostOwner(clock, weakness),
        lambda _: errno.ECONNREFUSED,
        cores=0.1,
    )
    assert elapsed_s >= (0.9 - weakness) * candidates.WEAK_MACHINE_DELAY_S
    assert row.weakness == weakness


class _UnavailableAtFirst(_TableOfLostOwner):
    """Can't be read for some seconds."""

    def __init__(self, clock):
        super().__init__(clock)
        self._answers_from = clock.monotonic() + 4.0

    def read(self, keys):
        if self._clock.monotonic() < self._answers_from:
            return platform.Unavailable("silent")
        return super().read(keys)

    def commit(self, transaction):
        self.taken_after_s = self._clock.monotonic() - self._answers_from
        super().commit(transaction)


@pytest.mark.parametrize(
    ("error", "limit_s"),
    [
        (
            errno.ETIMEDOUT,
            owner_monitor.UNRESPONSIVE_TIMEOUT_S
            + candidates.TAKE_OVER_JITTER_S
            + 0.3,
        ),
        (
            errno.ECONNREFUSED,
            candidates.TAKE_OVER_JITTER_S + owner_monitor.READ_INTERVAL_S + 0.3,
        ),
    ],
)
def test_an_owner_lost_during_an_outage_is_replaced_soon_after_it(
    error, limit_s
):
    """Guards against two idle seconds after an outage that lost the owner."""
    clock = clocks.ManualClock()
    table = _UnavailableAtFirst(clock)

    def probe(address):
        del address
        clock.sleep(0.3 if error == errno.ETIMEDOUT else 0.0)
        return error

    def ask_term_ended(*_):
        clock.sleep(0.4)

    candidate = ownership_terms.candidate(
        table, clock, "new", ask_term_ended, probe
    )
    with pytest.raises(_TakenOverError):
        candidate.run()
    assert table.taken_after_s <= limit_s
