"""An owner whose writes are answered late, by a slow store."""

from tests.common import clocks as manual
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.protocol import platform

_WRITE_S = 0.9
_PATIENCE_S = 1.5
"""Allowed by a process whose own read took 0.2 s."""


class _SlowTable:
    """Commits everything after a delay; calls ``on_commit`` meanwhile."""

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
    """Returns a process that owns the fleet, and its writer."""
    candidate = ownership_terms.candidate(table, clock)
    me = fenced_writer.OwnerRow("edge-1", "a:1", "boot-1")
    writer = fenced_writer.FencedWriter(table, clock, me)
    assert writer.take_over(platform.ABSENT, 0.0)
    candidate._writer = writer
    return candidate, writer


def test_an_owner_that_waits_for_a_slow_write_keeps_the_fleet():
    """Guards against four idle spells of 2 s while the store is slow.

    A process that had just started asked the owner whether it could still
    write. Writes took 0.9 s each, so the last one with a known outcome had been
    sent 1.56 s before. The owner stepped down although the store kept
    answering.
    """
    clock = manual.ManualClock()
    table = _SlowTable(clock)
    candidate, writer = _owner(clock, table)
    writer.write([])
    stepped_down = []
    table.on_commit = lambda: stepped_down.append(
        candidate.step_down_if_stale(_PATIENCE_S)
    )
    writer.write([])
    assert stepped_down == [False]


def test_an_owner_that_gets_no_answer_steps_down():
    clock = manual.ManualClock()
    candidate, _ = _owner(clock, _SlowTable(clock))
    clock.advance(_PATIENCE_S)
    assert candidate.step_down_if_stale(_PATIENCE_S)
