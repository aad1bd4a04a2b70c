"""An owner of the fleet whose process is too slow for it."""

import random
import types

import pytest

from tests.common import clocks as manual
from tests.common import fleets
from vanillaswitch.coordination.fleet.ownership import member as members
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.ownership import strain
from vanillaswitch.coordination.fleet.ownership import succession
from vanillaswitch.protocol import platform

TICK_S = owners.TICK_S
_FLEET = (1000, 200.0)
"""Jobs in the store, and Mbit/s of the owner's link."""


def _served(late_s, seconds, before=0):
    """Returns a term that served so long with timers that late."""
    judged = strain.Strain(0.0, before)
    for _ in range(round(seconds / TICK_S)):
        judged.timer_fired(TICK_S, TICK_S + late_s)
    return judged


def test_an_owner_on_a_slow_machine_gives_the_fleet_up():
    """Quotes wait for six seconds while the fleet stands half empty.

    The owner's machine turned five times slower. It renewed its lease in
    time, so that nobody took over, and each start waited for its turn.
    """
    judged = _served(0.2, 3.0)
    assert judged.too_much(strain.SETTLED_S, *_FLEET)


def test_a_young_term_is_not_judged():
    assert not _served(0.4, 5.0).too_much(strain.SETTLED_S - 0.1, *_FLEET)


def test_an_owner_that_is_late_by_little_goes_on():
    assert not _served(0.02, 60.0).too_much(60.0, *_FLEET)


def test_where_all_are_too_slow_terms_grow_longer_and_longer():
    """The fleet changes its owner every few seconds, and nothing is gained."""
    for before in range(4):
        judged = _served(0.2, 3.0, before)
        settled_s = strain.SETTLED_S * 2**before
        assert not judged.too_much(settled_s - 0.1, *_FLEET)
        assert judged.too_much(settled_s, *_FLEET)


def test_a_fleet_that_takes_long_to_read_is_kept():
    """Nobody owns the fleet for long, and what was accepted never runs.

    On slow links each new owner was still reading the jobs when the next one
    took over.
    """
    judged = _served(0.2, 3.0)
    assert not judged.too_much(strain.SETTLED_S, 400, 2.0)
    assert not judged.too_much(strain.SETTLED_S, 1000, 20.0)
    assert judged.too_much(strain.SETTLED_S, 3000, 200.0)


def test_one_long_pause_is_no_slowness():
    judged = _served(0.0, 20.0)
    judged.timer_fired(TICK_S, 6.0)
    assert not judged.too_much(27.0, *_FLEET)


def test_one_that_is_slow_no_more_is_judged_by_its_present():
    judged = _served(0.4, 5.0)
    for _ in range(30):
        judged.timer_fired(TICK_S, TICK_S)
    assert not judged.too_much(20.0, *_FLEET)


class _Rows:
    """Keeps the last row that was written."""

    def __init__(self):
        self.row = None
        self.version = 0

    def commit(self, transaction):
        self.row = recorders.owner_row(transaction.puts[0].value)
        self.version += 1
        return platform.Committed(self.version)


@pytest.mark.parametrize(("lives", "waits_s"), [(True, 3.0), (False, 0.0)])
def test_who_gave_the_fleet_up_and_lives_is_kept_a_distance_from(
    lives, waits_s
):
    """Two owners order one machine within the distance they have to keep.

    The first gave the fleet up since it was slow, right after an order; the
    next one began at once, as after a process that has ended.
    """
    rows = _Rows()
    clock = manual.ManualClock()
    me = recorders.OwnerRow("edge-1", "a:1", "boot-1")
    recorder = recorders.Recorder(rows, clock, me)
    assert recorder.take_over(0, 0.0)
    recorder.release(1.0, lives)
    watch = succession.Succession()
    watch.observed(rows.row, rows.version, 10.0, 10.0)
    assert watch.may_take_over(10.0)
    assert watch.orders_from(3.0, 10.0) == 10.0 + waits_s


def _member(clock):
    return members.Member(
        types.SimpleNamespace(table=None),
        types.SimpleNamespace(config=object()),
        fleets.deployment(),
        "boot-1",
        clock,
        random.Random(1),
        lambda _: 0,
        lambda *_: None,
        lambda _: None,
        lambda _: None,
    )


def test_a_process_that_was_too_slow_lets_others_go_first():
    """The slow machine takes the fleet again the moment it gave it up."""
    clock = manual.ManualClock()
    member = _member(clock)
    nobody = recorders.OwnerRow("", "", "boot-0")
    member._succession.observed(nobody, 5, clock.monotonic(), clock.monotonic())
    before = clock.monotonic()
    assert member._may_take_over()
    assert clock.monotonic() - before <= members.SPREAD_S
    member._rests_until = clock.monotonic() + strain.REST_S
    before = clock.monotonic()
    assert member._may_take_over()
    assert clock.monotonic() - before >= members.WEAK_S
