"""Measures take-over time and table load of duties, in steps of a clock.

Everything runs in one process on a clock moved by hand, so that the figures
count rounds and calls and don't depend on the machine. Prints JSON.
"""

import dataclasses
import json
import random
from typing import Any

from standins import faults
from standins import table as table_lib
from vanillaswitch.coordination.control import controller
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import settings as settings_lib

TERM_S = 3.0
ROUND_S = TERM_S / 3
STEADY_ROUNDS = 60


class _Clock:
    """Time that only the measurement moves."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Returns seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Returns seconds since the start."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Moves the time on."""
        self.now += seconds


@dataclasses.dataclass(frozen=True)
class Measured:
    """What one run found.

    Attributes:
        transactions_to_settle: from a cold start to even shares.
        seconds_to_take_over: from a controller's death until every duty has
            a living holder again.
        transactions_to_take_over: in that time, renewals included.
        steady_writes_per_s: transactions of all controllers at rest.
        steady_reads_per_s: reads of all controllers at rest.
    """

    controllers: int
    duties: int
    transactions_to_settle: int
    seconds_to_take_over: float
    transactions_to_take_over: int
    steady_writes_per_s: float
    steady_reads_per_s: float


def _config(duties: int) -> config_lib.Config:
    wave = config_lib.Wave((), config_lib.WaveTarget.MINIONS)
    names = (f"w{number}" for number in range(duties - 2))
    return config_lib.Config({}, {}, {}, waves=dict.fromkeys(names, wave))


def _members(
    count: int,
    table: platform.Table,
    clock: _Clock,
    config: config_lib.Config,
) -> list[controller.Controller]:
    none: Any = None
    sent: list[object] = []
    return [
        controller.Controller(
            settings_lib.Settings(f"c{n}", "dc", "", "", "", lease_s=TERM_S),
            platform.Platform(table, none, none, none),
            clock,
            random.Random(n),
            lambda: config,
            sent.append,
        )
        for n in range(count)
    ]


def _round(members: list[controller.Controller], clock: _Clock) -> None:
    for member in members:
        member.tick()
    clock.sleep(ROUND_S)


def _held(members: list[controller.Controller]) -> int:
    return sum(len(member.fences) for member in members)


def measure(controllers: int, duties: int) -> Measured:
    """Runs a cold start, a time at rest and the death of one controller."""
    clock = _Clock()
    table = table_lib.MemoryTable(faults.Faults(clock))
    members = _members(controllers, table, clock, _config(duties))
    while _held(members) < duties:
        _round(members, clock)
    to_settle = table.commits
    writes, reads = table.commits, table.reads
    for _ in range(STEADY_ROUNDS):
        _round(members, clock)
    steady_s = STEADY_ROUNDS * ROUND_S
    writes, reads = table.commits - writes, table.reads - reads
    died, before = clock.now, table.commits
    survivors = members[1:]
    while _held(survivors) < duties:
        _round(survivors, clock)
    return Measured(
        controllers=controllers,
        duties=duties,
        transactions_to_settle=to_settle,
        seconds_to_take_over=clock.now - died,
        transactions_to_take_over=table.commits - before,
        steady_writes_per_s=writes / steady_s,
        steady_reads_per_s=reads / steady_s,
    )


def main() -> None:
    """Prints one JSON line for each number of duties."""
    logs.configure("measure", "silent")
    for duties in (10, 100, 200):
        print(json.dumps(dataclasses.asdict(measure(8, duties))))


if __name__ == "__main__":
    main()
