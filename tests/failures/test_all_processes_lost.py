"""All processes of the system are lost and come back."""

import errno
import random
import types

from tests.common import clocks
from tests.common import fleets
from vanillaswitch.coordination.fleet import member as members
from vanillaswitch.coordination.fleet import recorder as recorders
from vanillaswitch.protocol import platform


class _Table:
    """Holds the row of an owner, and ends the run at its first commit."""

    def __init__(self, clock):
        self._clock = clock
        self.committed_at = None

    def read(self, keys):
        row = recorders.OwnerRow("edge-2", "10.0.0.2:1", "old")
        return platform.Rows((platform.Row(keys[0], 7, row.document(), "t"),))

    def scan(self, prefix, after="", limit=0):
        raise NotImplementedError

    def commit(self, transaction):
        del transaction
        self.committed_at = self._clock.monotonic()
        raise _TakenOverError


class _TakenOverError(Exception):
    pass


def _take_over_time(probe):
    clock = clocks.ManualClock()
    table = _Table(clock)
    member = members.Member(
        types.SimpleNamespace(table=table),
        types.SimpleNamespace(config=object()),
        fleets.deployment(),
        "new",
        clock,
        random.Random(1),
        probe,
        lambda *_: False,
        lambda _: None,
    )
    began = clock.monotonic()
    try:
        member.run()
    except _TakenOverError:
        return table.committed_at - began
    raise AssertionError("nobody took over")


def test_the_first_process_back_takes_over_at_once():
    """Nothing starts for a second and more after all processes are back.

    The row still names an owner that ended with the others; each process
    first waited whether that owner would write.
    """
    waited = _take_over_time(lambda _: errno.ECONNREFUSED)
    assert waited <= members.SPREAD_S


def test_an_owner_that_can_not_be_reached_keeps_its_term():
    """Two processes own the fleet in turn since a new one can't reach it."""
    waited = _take_over_time(lambda _: errno.ETIMEDOUT)
    assert waited >= 1.6
