"""Terms of ownership for tests, with minimal dependencies."""

from collections.abc import Mapping
import random
import types
from typing import Any

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.ownership import owner as owners
from vanillaswitch.coordination.fleet.ownership import (
    owner_candidate as candidates,
)
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
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

    def wave_orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the ordered waves."""
        return ()


def decode_any_instance(
    name: str, document: Mapping[str, Any]
) -> fleet.Registration:
    """Decodes any row of the table of instances as a valid one."""
    del document
    return fleet_builders.registration(name)


def synced_time(clock: clocks.Clock) -> reference_clock.ReferenceClock:
    """Returns a shared time that has just been read from the store."""
    time = reference_clock.ReferenceClock(clock)
    time.observe_store_clock(STORE_MS)
    return time


def begin_term(
    table: platform.Table,
    feed: change_feeds.ChangeFeed,
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
        **outside: fields of ``owners.Dependencies`` that replace empty ones.
    """
    me = fenced_writer.OwnerRow("edge-1", "a:1", f"boot-{version}")
    writer = fenced_writer.FencedWriter(table, clock, me)
    assert writer.take_over(version, 0.0)
    fields: dict[str, Any] = {
        "upstreams": None,
        "machines": NoMachines(),
        "advisor": None,
        "registration_table": "servers",
        "decode_registration": decode_any_instance,
        "waves": NoWaves(),
        "time": synced_time(clock),
    }
    return owners.Owner(
        owners.Dependencies(table=table, feed=feed, **(fields | outside)),
        writer,
        fleet_builders.deployment(),
        fleet_builders.config,
        clock,
        lambda _: None,
    )


def candidate(
    table: platform.Table,
    clock: clocks.Clock,
    boot: str = "boot-1",
    ask_term_ended: candidates.AskTermEnded = lambda *_: False,
    probe: candidates.Probe = lambda _: 0,
) -> candidates.OwnerCandidate:
    """Returns a candidate of an election without other processes.

    Args:
        table: of the store.
        clock: of the process.
        boot: random id of the process's start.
        ask_term_ended: returns another owner's answer about its term.
        probe: returns the error of a connection to another owner.
    """
    return candidates.OwnerCandidate(
        types.SimpleNamespace(table=table),  # type: ignore[arg-type]
        types.SimpleNamespace(config=object()),  # type: ignore[arg-type]
        fleet_builders.deployment(),
        boot,
        clock,
        random.Random(1),
        probe,
        ask_term_ended,
        lambda _: None,
        lambda _: None,
    )
