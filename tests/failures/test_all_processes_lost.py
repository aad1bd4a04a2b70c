"""All processes of the system are lost and come back."""

import dataclasses
import errno
import random
import types

import pytest

from tests.common import clocks
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet.ownership import member as members
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.protocol import platform


class _Table:
    """Holds the row of an owner, and ends the run at its first commit."""

    def __init__(self, clock, weakness=0.0):
        self._clock = clock
        self._weakness = weakness
        self.committed_at = None
        self.written = None

    def read(self, keys):
        row = recorders.OwnerRow("edge-2", "10.0.0.2:1", "old", self._weakness)
        return platform.Rows((platform.Row(keys[0], 7, row.document(), "t"),))

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        self.written = recorders.owner_row(transaction.puts[0].value)
        self.committed_at = self._clock.monotonic()
        raise _TakenOverError


class _TakenOverError(Exception):
    pass


def _take_over_time(probe, ended=False, closed=False, **limits):
    return _take_over(_Table, probe, ended, closed, **limits)[0]


def _take_over(make_table, probe, ended=False, closed=False, **limits):
    """Returns how long it took until a process took over, and its row."""
    clock = clocks.ManualClock()
    table = make_table(clock)
    member = members.Member(
        types.SimpleNamespace(table=table),
        types.SimpleNamespace(config=object()),
        dataclasses.replace(fleets.deployment(), **limits),
        "new",
        clock,
        random.Random(1),
        probe,
        lambda *_: ended,
        lambda address: closed and member.stream_closed(address),
        lambda _: None,
    )
    began = clock.monotonic()
    try:
        member.run()
    except _TakenOverError:
        return table.committed_at - began, table.written
    raise AssertionError("nobody took over")


def test_the_first_process_back_takes_over_at_once():
    """Nothing starts for a second and more after all processes are back.

    The row still names an owner that ended with the others; each process
    first waited whether that owner would write.
    """
    waited = _take_over_time(lambda _: errno.ECONNREFUSED)
    assert waited <= members.TAKE_OVER_JITTER_S


def test_an_owner_that_can_not_be_reached_keeps_its_term():
    """Two processes own the fleet in turn since a new one can't reach it."""
    waited = _take_over_time(lambda _: errno.ETIMEDOUT)
    assert waited >= 1.6


def test_an_owner_without_power_is_missed_for_little_more_than_a_second():
    """Nothing starts for two seconds after the owner's machine lost power.

    Nothing there refuses a connection, so the others waited whether the
    owner would write. One that lives and only can't write answers them.
    """
    waited = _take_over_time(lambda _: errno.ETIMEDOUT, ended=None)
    assert 1.0 <= waited <= 1.4


def test_an_owner_that_is_killed_is_missed_at_once():
    """Nothing starts for a second each time that the owner is killed.

    Its row had to stay the same for a while before anybody looked for it. Its
    streams end in the moment that it is killed.
    """
    answers = iter([0, errno.ECONNREFUSED])
    waited = _take_over_time(lambda _: next(answers), closed=True)
    assert waited <= members.HINT_POLL_S + members.TAKE_OVER_JITTER_S + 0.01


class _Unreadable(_Table):
    """Refuses each reading; ends the run after a second's worth of them."""

    def __init__(self, clock):
        super().__init__(clock)
        self.readings = 0

    def read(self, keys):
        del keys
        self.readings += 1
        if self._clock.monotonic() > 1001.0 or self.readings > 50:
            raise _TakenOverError
        return platform.Unavailable("status 503")


def test_a_store_that_refuses_is_not_read_without_a_pause():
    """A store in trouble is pressed by every process that has just started.

    The owner is to be looked for as soon as its row can be read, and until
    then each failed reading was followed by the next one at once.
    """
    clock = clocks.ManualClock()
    table = _Unreadable(clock)
    member = terms.member(table, clock, "new")
    with pytest.raises(_TakenOverError):
        member.run()
    assert table.readings <= 5


@pytest.mark.parametrize("limits", [{"cores": 0.5}, {"link_mbps": 5.0}])
def test_a_weak_machine_leaves_the_fleet_to_a_stronger_one(limits):
    """Quotes wait for a whole day after all processes began anew.

    The first to find that nobody owned the fleet was a machine with half a
    core and a slow link, a moment before stronger ones; it could not send the
    starts of so many tasks, and as it went on writing its row it stayed.
    """
    finds_out_late = succession.READ_INTERVAL_S + members.TAKE_OVER_JITTER_S
    waited = _take_over_time(lambda _: errno.ECONNREFUSED, **limits)
    assert waited >= finds_out_late


def test_machines_that_are_all_weak_have_an_owner_soon():
    waited = _take_over_time(lambda _: errno.ECONNREFUSED, cores=0.1)
    assert waited <= members.WEAK_MACHINE_DELAY_S + members.TAKE_OVER_JITTER_S


def test_where_all_owners_were_weak_none_waits_for_a_stronger_machine():
    """Nothing starts for 1.4 s at each change of owner of a weak fleet."""
    lacks = 0.9
    waited, row = _take_over(
        lambda clock: _Table(clock, lacks),
        lambda _: errno.ECONNREFUSED,
        cores=1.0 - lacks,
    )
    assert waited <= members.TAKE_OVER_JITTER_S
    assert row.weakness == lacks


def test_a_weak_owner_keeps_in_mind_that_there_are_stronger_machines():
    """A weak machine keeps the fleet since another weak one had it before."""
    lacks = 0.4
    waited, row = _take_over(
        lambda clock: _Table(clock, lacks),
        lambda _: errno.ECONNREFUSED,
        cores=0.1,
    )
    assert waited >= (0.9 - lacks) * members.WEAK_MACHINE_DELAY_S
    assert row.weakness == lacks


class _AwayFirst(_Table):
    """Can't be read for some seconds."""

    def __init__(self, clock):
        super().__init__(clock)
        self._answers_from = clock.monotonic() + 4.0

    def read(self, keys):
        if self._clock.monotonic() < self._answers_from:
            return platform.Unavailable("silent")
        return super().read(keys)

    def commit(self, transaction):
        self.taken_after = self._clock.monotonic() - self._answers_from
        super().commit(transaction)


@pytest.mark.parametrize(
    ("error", "limit_s"),
    [
        (
            errno.ETIMEDOUT,
            succession.UNRESPONSIVE_TERM_S + members.TAKE_OVER_JITTER_S + 0.3,
        ),
        (
            errno.ECONNREFUSED,
            members.TAKE_OVER_JITTER_S + succession.READ_INTERVAL_S + 0.3,
        ),
    ],
)
def test_an_owner_that_is_lost_in_an_outage_is_missed_as_it_ends(
    error, limit_s
):
    """Nothing starts for two seconds after an outage that lost the owner."""
    clock = clocks.ManualClock()
    table = _AwayFirst(clock)

    def probe(address):
        del address
        clock.sleep(0.3 if error == errno.ETIMEDOUT else 0.0)
        return error

    def ask_term_ended(*_):
        clock.sleep(0.4)

    member = terms.member(table, clock, "new", ask_term_ended, probe)
    with pytest.raises(_TakenOverError):
        member.run()
    assert table.taken_after <= limit_s
