"""Owners that step down and own the fleet again later."""

import pytest

from tests.common import clocks
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner_monitor
from vanillaswitch.protocol import platform

_OTHER = fenced_writer.OwnerRow("edge-2", "10.0.0.2:1", "boot-2")
_RUN_S = 20.0


class _EndOfRunError(Exception):
    pass


class _TakenMeanwhile:
    """Holds the row of an owner that stepped down and has begun a new term.

    That owner is a moment faster at each attempt to take over, and writes its
    row at each read.
    """

    def __init__(self, clock):
        self._clock = clock
        self._ends_at = clock.monotonic() + _RUN_S
        self._version = 7
        self.attempts = 0

    def read(self, keys):
        if self._clock.monotonic() > self._ends_at:
            raise _EndOfRunError
        if self.attempts:
            self._version += 1
        row = platform.Row(keys[0], self._version, _OTHER.document(), "t")
        return platform.Rows((row,))

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        del transaction
        self.attempts += 1
        if self.attempts > 50:
            raise _EndOfRunError
        return platform.Conflict(())


def test_an_owner_that_stepped_down_may_own_the_fleet_again():
    """Guards against two processes that take the fleet from each other.

    They did so twice a second, without end.
    """
    clock = clocks.ManualClock()
    table = _TakenMeanwhile(clock)
    answers = iter([True])
    candidate = ownership_terms.candidate(
        table, clock, ask_term_ended=lambda *_: next(answers, False)
    )
    with pytest.raises(_EndOfRunError):
        candidate.run()
    assert table.attempts == 1


def test_a_term_that_was_ended_delays_no_machine_operations():
    """Guards against idle machine operations after an owner stepped down."""
    monitor = owner_monitor.OwnerMonitor()
    monitor.on_row_read(_OTHER, 5, 0.0, 0.0)
    monitor.on_term_ended()
    assert monitor.operations_allowed_from(3.0, 0.8) == 0.8
    monitor.on_row_read(_OTHER, 6, 1.0, 1.0)
    assert monitor.operations_allowed_from(3.0, 1.0) == 4.0
