"""Terms of ownership for tests, with minimal dependencies."""

from collections.abc import Mapping
import random
import types
from typing import Any

from tests.common import fleets
from vanillaswitch.coordination.fleet import shared_time
from vanillaswitch.coordination.fleet.ownership import member as members
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform

STORE_MS = 500_000.0
"""The store's steady clock as last read."""


class NoMachines:
    """An empty list of machines."""

    def list(self) -> list[fleet.Machine]:
        """Reads the list."""
        return []


class NoWaves:
    """Operators who order no maintenance."""

    def orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the ordered waves."""
        return ()


def decode_any_instance(
    name: str, document: Mapping[str, Any]
) -> fleet.Registration:
    """Decodes any row of the table of instances as a valid one."""
    del document
    return fleets.registration(name)


def synced_time(clock: clocks.Clock) -> shared_time.SharedTime:
    """Returns a shared time that has just been read from the store."""
    time = shared_time.SharedTime(clock)
    time.heard(STORE_MS)
    return time


def begin(
    table: platform.Table,
    feed: feeds.Feed,
    clock: clocks.Clock,
    version: int = platform.ABSENT,
    **outside: Any,
) -> owners.Owner:
    """Takes the fleet over without loading its rows.

    Args:
        table: where the owner writes.
        feed: where it reads.
        clock: of its machine.
        version: of the owner's row.
        **outside: fields of ``owners.Outside`` that replace empty ones.
    """
    me = recorders.OwnerRow("edge-1", "a:1", f"boot-{version}")
    recorder = recorders.Recorder(table, clock, me)
    assert recorder.take_over(version, 0.0)
    fields: dict[str, Any] = {
        "upstreams": None,
        "machines": NoMachines(),
        "advisor": None,
        "registrations": "servers",
        "registration": decode_any_instance,
        "waves": NoWaves(),
        "time": synced_time(clock),
    }
    return owners.Owner(
        owners.Outside(table=table, feed=feed, **(fields | outside)),
        recorder,
        fleets.deployment(),
        fleets.config,
        clock,
        lambda _: None,
    )


def member(
    table: platform.Table,
    clock: clocks.Clock,
    boot: str = "boot-1",
    ask_term_ended: members.AskTermEnded = lambda *_: False,
    probe: members.Probe = lambda _: 0,
) -> members.Member:
    """Returns a member of an election without other processes.

    Args:
        table: of the store.
        clock: of the process.
        boot: random id of the process's start.
        ask_term_ended: returns another owner's answer about its term.
        probe: returns the error of a connection to another owner.
    """
    return members.Member(
        types.SimpleNamespace(table=table),  # type: ignore[arg-type]
        types.SimpleNamespace(config=object()),  # type: ignore[arg-type]
        fleets.deployment(),
        boot,
        clock,
        random.Random(1),
        probe,
        ask_term_ended,
        lambda _: None,
        lambda _: None,
    )
