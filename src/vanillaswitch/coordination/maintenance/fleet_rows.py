"""Decoded rows of instances, budgets and waves, and the platform's list."""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows


class FleetRows:
    """Stores decoded rows and the list; keeps the newest version of a row."""

    def __init__(self) -> None:
        self._members: dict[str, fleet_state.Member] = {}
        self._budgets: dict[str, fleet_state.Versioned[rows.Budget]] = {}
        self._waves: dict[str, fleet_state.Versioned[wave_state.Wave]] = {}
        self._listings: dict[str, platform.Listing] = {}
        self._fleet: fleet_state.Fleet | None = None

    @property
    def fleet(self) -> fleet_state.Fleet:
        """The stored rows as a fleet; rebuilt after each change."""
        if self._fleet is None:
            self._fleet = fleet_state.Fleet(
                dict(self._members),
                dict(self._budgets),
                dict(self._waves),
                fleet_state.unassigned_listings(
                    self._members, self._listings.values()
                ),
            )
        return self._fleet

    def set_list(self, listed: Iterable[platform.Listing]) -> None:
        """Replaces the platform's list."""
        self._listings = {one.instance: one for one in listed}
        for name, member in self._members.items():
            self._members[name] = dataclasses.replace(
                member, listing=self._listings.get(name)
            )
        self._fleet = None

    def drop_missing(
        self, before: Mapping[str, int], found: Collection[str]
    ) -> None:
        """Drops rows that a read did not find.

        A row that was written while the read ran has another version and
        stays.

        Args:
            before: version of each requested key before the read.
            found: keys that the read found.
        """
        gone = [
            platform.Row(key, platform.ABSENT, {}, "")
            for key, version in before.items()
            if key not in found and self.version_of(key) == version
        ]
        self.merge(gone)

    def version_of(self, key: str) -> int:
        """Returns the version of a row, ABSENT if it is not stored."""
        for prefix, kept in (
            (keys.INSTANCES, self._members),
            (keys.BUDGETS, self._budgets),
            (keys.WAVES, self._waves),
        ):
            if key.startswith(prefix):
                found = kept.get(keys.name_of(prefix, key))
                return found.version if found else platform.ABSENT
        return platform.ABSENT

    def merge(self, found: Iterable[platform.Row]) -> None:
        """Stores rows that are newer than the stored ones.

        A slow answer may arrive after a newer one. Versions only increase, so
        the older row is recognised and ignored.
        """
        for row in found:
            if row.version == platform.ABSENT:
                self._drop(row.key)
            elif row.version > self.version_of(row.key):
                self._keep(row)

    def _keep(self, row: platform.Row) -> None:
        self._fleet = None
        if row.key.startswith(keys.INSTANCES):
            name = keys.name_of(keys.INSTANCES, row.key)
            self._members[name] = fleet_state.Member(
                name,
                row.version,
                rows.load(rows.Instance, row.value),
                self._listings.get(name),
                None,
            )
        elif row.key.startswith(keys.BUDGETS):
            name = keys.name_of(keys.BUDGETS, row.key)
            self._budgets[name] = fleet_state.versioned(rows.Budget, row)
        elif row.key.startswith(keys.WAVES):
            name = keys.name_of(keys.WAVES, row.key)
            self._waves[name] = fleet_state.versioned(wave_state.Wave, row)

    def _drop(self, key: str) -> None:
        self._fleet = None
        if key.startswith(keys.INSTANCES):
            self._members.pop(keys.name_of(keys.INSTANCES, key), None)
        elif key.startswith(keys.BUDGETS):
            self._budgets.pop(keys.name_of(keys.BUDGETS, key), None)
        elif key.startswith(keys.WAVES):
            self._waves.pop(keys.name_of(keys.WAVES, key), None)
