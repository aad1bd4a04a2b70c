"""The fleet as input of one planning step: rows, list and statuses.

Rows are read before statuses, so a status is never older than the rows. If
another process takes an instance down in between, its commit changes the budget
row, and a transaction based on the rows read here fails with a conflict.
"""

from collections.abc import Collection
from collections.abc import Container
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools
from typing import Generic
from typing import TypeVar

from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

T = TypeVar("T")


@dataclasses.dataclass(frozen=True)
class Versioned(Generic[T]):
    """A decoded row and its version, which a write of the row must name."""

    version: int
    row: T


@dataclasses.dataclass(frozen=True)
class Member:
    """One instance that belongs to a pool.

    Attributes:
        name: name of the instance.
        version: version of its row.
        row: its row.
        listing: its entry in the platform's list, which lags; None without
            an entry.
        status: its own status; None when it did not answer.
    """

    name: str
    version: int
    row: rows.Instance
    listing: platform.Listing | None
    status: platform.InstanceStatus | None

    @property
    def domain(self) -> str:
        """The failure domain: data centre of a minion, rack of a worker."""
        if self.row.kind is platform.InstanceKind.WORKER:
            return f"{self.row.data_centre}/{self.row.rack}"
        return self.row.data_centre


@dataclasses.dataclass(frozen=True)
class Fleet:
    """All members, budgets and waves, by name.

    Attributes:
        unassigned: listed minions and workers that have no pool yet.
    """

    members: Mapping[str, Member]
    budgets: Mapping[str, Versioned[rows.Budget]]
    waves: Mapping[str, Versioned[wave_state.Wave]]
    unassigned: tuple[platform.Listing, ...] = ()

    @functools.cached_property
    def groups(
        self,
    ) -> Mapping[tuple[str, platform.InstanceKind], tuple[Member, ...]]:
        """Members by service and kind, sorted by name."""
        found: dict[tuple[str, platform.InstanceKind], list[Member]] = {}
        for _, member in sorted(self.members.items()):
            group = (member.row.service, member.row.kind)
            found.setdefault(group, []).append(member)
        return {group: tuple(members) for group, members in found.items()}

    def budget(self, service: str) -> Versioned[rows.Budget]:
        """Returns a service's budget row, or an empty one if none exists."""
        empty = Versioned(platform.ABSENT, rows.Budget({}))
        return self.budgets.get(service, empty)

    def subset(
        self,
        names: Iterable[str],
        statuses: Mapping[str, platform.InstanceStatus],
    ) -> "Fleet":
        """Returns the fleet with these members only, and their statuses."""
        kept = {n: self.members[n] for n in names if n in self.members}
        known = {n: one for n, one in statuses.items() if n in kept}
        return dataclasses.replace(self, members=kept).with_statuses(known)

    def with_statuses(
        self, statuses: Mapping[str, platform.InstanceStatus]
    ) -> "Fleet":
        """Returns the fleet with the statuses of some of its members."""
        changed = {
            name: dataclasses.replace(self.members[name], status=status)
            for name, status in statuses.items()
        }
        return dataclasses.replace(self, members={**self.members, **changed})

    def wave_with_done(self, wave: str) -> wave_state.Wave:
        """Returns a wave's row with all instances that are done so far.

        Raises:
            KeyError: the wave was never started.
        """
        row = self.waves[wave].row
        mark = row.completion_mark(wave)
        done = {
            name
            for names in row.rounds
            for name in names
            if name in self.members
            and self.members[name].row.maintained == mark
        }
        return dataclasses.replace(row, done=tuple(sorted({*row.done, *done})))


def read_with_statuses(
    source: platform.Platform,
) -> Fleet | platform.Unavailable:
    """Reads the whole fleet and fetches all statuses, for operators."""
    recorded = read_without_statuses(source)
    if isinstance(recorded, platform.Unavailable):
        return recorded
    statuses = source.instances.status(list(recorded.members))
    if isinstance(statuses, platform.Unavailable):
        return statuses
    return recorded.with_statuses({one.instance: one for one in statuses})


def read_without_statuses(
    source: platform.Platform,
) -> Fleet | platform.Unavailable:
    """Reads rows and list only; the members have no status."""
    found = []
    for prefix in (keys.BUDGETS, keys.INSTANCES, keys.WAVES):
        outcome = source.table.scan(prefix)
        if isinstance(outcome, platform.Unavailable):
            return outcome
        found.append({_name(prefix, row): row for row in outcome.rows})
    listed = source.instances.list()
    if isinstance(listed, platform.Unavailable):
        return listed
    return build_fleet(found[1], found[0], found[2], listed.instances)


def build_fleet(
    instance_rows: Mapping[str, platform.Row],
    budget_rows: Mapping[str, platform.Row],
    wave_rows: Mapping[str, platform.Row],
    listed: Collection[platform.Listing],
) -> Fleet:
    """Builds a fleet from rows by name and the platform's list."""
    listings = {listing.instance: listing for listing in listed}
    members = {
        name: Member(
            name,
            row.version,
            rows.load(rows.Instance, row.value),
            listings.get(name),
            None,
        )
        for name, row in instance_rows.items()
    }
    return Fleet(
        members,
        {n: versioned(rows.Budget, row) for n, row in budget_rows.items()},
        {n: versioned(wave_state.Wave, row) for n, row in wave_rows.items()},
        unassigned_listings(members, listed),
    )


def unassigned_listings(
    members: Container[str], listed: Iterable[platform.Listing]
) -> tuple[platform.Listing, ...]:
    """Returns listed minions and workers without a pool, sorted by name."""
    found = (
        listing
        for listing in listed
        if listing.instance not in members
        and listing.kind is not platform.InstanceKind.ENTRY
    )
    return tuple(sorted(found, key=lambda listing: listing.instance))


def versioned(kind: type[T], row: platform.Row) -> Versioned[T]:
    """Decodes a row and returns it with its version."""
    return Versioned(row.version, rows.load(kind, row.value))


def _name(prefix: str, row: platform.Row) -> str:
    return keys.name_of(prefix, row.key)
