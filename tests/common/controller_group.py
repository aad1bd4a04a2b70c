"""A few controllers that share one in-memory table and a manual clock."""

from collections.abc import Callable
import random
from typing import Any

import gevent

from standins import faults
from standins import table as table_lib
from tests.common import clocks
from vanillaswitch.coordination.control import controller
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import settings

TERM = 3.0


class OffsetClock:
    """A clock that follows another one with a constant offset."""

    def __init__(self, base: clocks.ManualClock, offset: float):
        self._base, self._offset = base, offset

    def monotonic(self) -> float:
        """Returns monotonic seconds from this clock's own origin."""
        return self._base.monotonic() + self._offset

    def wall(self) -> float:
        """Returns a wall-clock time that is wrong by the offset."""
        return self._base.wall() - self._offset

    def sleep(self, seconds: float) -> None:
        """Advances the shared clock and lets other greenlets run."""
        self._base.sleep(seconds)
        gevent.sleep(0)


class HookedTable:
    """A table that can run a hook, such as a pause, before a commit."""

    def __init__(self, inner: table_lib.MemoryTable):
        self.inner = inner
        self.read = inner.read
        self.scan = inner.scan
        self.before_commit: Callable[[], None] | None = None

    def commit(self, wanted: platform.Transaction) -> platform.CommitOutcome:
        """Runs the hook once, then commits."""
        hook, self.before_commit = self.before_commit, None
        if hook is not None:
            hook()
        return self.inner.commit(wanted)


def config_with_duties(count: int) -> config.Config:
    """Returns a configuration that implies ``count`` duties, at least 2."""
    wave = config.Wave((), config.WaveTarget.MINIONS)
    names = (f"w{number}" for number in range(count - 2))
    return config.Config({}, {}, {}, waves=dict.fromkeys(names, wave))


class ControllerGroup:
    """Controllers that share a table, a clock and a configuration."""

    def __init__(self, names: str, duties: int):
        self.clock = clocks.ManualClock()
        self.faults = faults.Faults(self.clock)
        self.table = table_lib.MemoryTable(self.faults)
        self.config = config_with_duties(duties)
        self.members: dict[str, controller.Controller] = {}
        self.tables: dict[str, HookedTable] = {}
        self.sent: list[object] = []
        self._starts = 0
        for name in names:
            self.start(name)

    def start(self, name: str) -> controller.Controller:
        """Starts a controller, replacing one of the same name."""
        self._starts += 1
        self.tables[name] = HookedTable(self.table)
        none: Any = None
        self.members[name] = controller.Controller(
            settings.Settings(name, "dc", "", "", "", lease_s=TERM),
            platform.Platform(self.tables[name], none, none, none),
            OffsetClock(self.clock, 1e4 * self._starts),
            random.Random(self._starts),
            lambda: self.config,
            self.sent.append,
        )
        return self.members[name]

    def tick_rounds(self, count: int, names: str = "") -> None:
        """Ticks controllers in turn and advances a third of a lease term.

        Args:
            count: number of rounds.
            names: the controllers to tick; all when empty.
        """
        for _ in range(count):
            for name in names or self.members:
                self.members[name].tick()
            self.clock.advance(TERM / 3)

    def duty_counts(self) -> dict[str, int]:
        """Returns the number of duties in each controller's local state."""
        return {name: len(m.fences) for name, m in self.members.items()}
