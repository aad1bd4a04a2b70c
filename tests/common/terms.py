"""Terms of owning the fleet for tests, with as little outside as they need."""

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
"""The store's steady clock as it was last heard."""


class NoMachines:
    """A list of machines that names none."""

    def list(self) -> list[fleet.Machine]:
        """Reads the list."""
        return []


class NoWaves:
    """Operators who order no upkeep."""

    def orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that are ordered."""
        return ()


def decode_any_instance(
    name: str, document: Mapping[str, Any]
) -> fleet.Registration:
    """Takes any row of the table of instances for a sound one."""
    del document
    return fleets.registration(name)


def synced_time(clock: clocks.Clock) -> shared_time.SharedTime:
    """Returns a time whose store has just answered."""
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
    """Takes the fleet over; its rows are not read yet.

    Args:
        table: where the owner writes.
        feed: where it reads.
        clock: of its machine.
        version: of the owner's row.
        **outside: fields of ``owners.Outside`` in place of empty ones.
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
    """Returns a process's part in owning the fleet that meets nobody else.

    Args:
        table: of the store.
        clock: of the process.
        boot: of the process.
        ask_term_ended: what another owner answers that is asked for its term.
        probe: what comes of a connection to another owner.
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
