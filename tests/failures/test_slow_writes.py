"""An owner whose writes are answered, late, by a store that is slow."""

from tests.common import clocks as manual
from tests.common import terms
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.protocol import platform

_WRITE_S = 0.9
_PATIENCE_S = 1.5
"""What a process allows whose own reading took 0.2 s."""


class _SlowTable:
    """Commits all, each after a while; ``on_commit`` is called meanwhile."""

    def __init__(self, clock):
        self._clock = clock
        self._version = 0
        self.on_commit = lambda: None

    def commit(self, transaction):
        del transaction
        self._clock.advance(_WRITE_S)
        self.on_commit()
        self._version += 1
        return platform.Committed(self._version)


def _owner(clock, table):
    """Returns a process that owns the fleet, and its recorder."""
    member = terms.member(table, clock)
    me = recorders.OwnerRow("edge-1", "a:1", "boot-1")
    recorder = recorders.Recorder(table, clock, me)
    assert recorder.take_over(platform.ABSENT, 0.0)
    member._recorder = recorder
    return member, recorder


def test_an_owner_that_waits_for_a_slow_write_keeps_the_fleet():
    """Nothing starts for 2 s, four times within a slow spell of the store.

    A process that had just started asked the owner whether it still could
    write. The newest write whose outcome it knew had begun 1.56 s before, as
    writes took 0.9 s each, and it gave the fleet up, though the store answered
    it all the time.
    """
    clock = manual.ManualClock()
    table = _SlowTable(clock)
    member, recorder = _owner(clock, table)
    recorder.write([])
    yielded = []
    table.on_commit = lambda: yielded.append(member.yield_term(_PATIENCE_S))
    recorder.write([])
    assert yielded == [False]


def test_an_owner_that_gets_no_answer_gives_the_fleet_up():
    clock = manual.ManualClock()
    member, _ = _owner(clock, _SlowTable(clock))
    clock.advance(_PATIENCE_S)
    assert member.yield_term(_PATIENCE_S)
