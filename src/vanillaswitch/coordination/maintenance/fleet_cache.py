"""Cache of the fleet's rows and list, shared by all duties of a process.

At the target size, rows and list exceed a megabyte. They are read completely
once at the start. After that they are read page by page at a low rate, and by
name where the current state matters. Every write of an instance's row also
writes the budget row of its service, so the version of this one small row
shows whether any instance of the service has changed.

An outdated row is safe. Taking an instance down names the version of the
budget row that the decision was based on, and statuses are never cached. An
unknown instance (a worker that another process moved into the service) counts
as missing, which makes the budget smaller and never larger.
"""

from collections.abc import Collection
from collections.abc import Iterable
import weakref

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.maintenance import fleet_rows
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import read_throttle
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys

SWEEP_PAGE_ROWS = 100
"""Instance rows that one page of the sweep reads."""

MAX_SNAPSHOT_AGE_S = 300.0
"""Age up to which a full read is recent enough for beginning moves."""

SWEEP_BYTES_PER_S = 500.0
LIST_BYTES_PER_S = 1000.0

CALL_BYTES = 300
ROW_BYTES = 450
NAME_BYTES = 30
STATUS_BYTES = 150
LISTING_BYTES = 190
"""Approximate bytes of one item of each kind on the wire, with its name."""


class FleetCache:
    """Rows and list as last read; soft state of one process.

    Attributes:
        read_throttle: throttle that counts what the duties read.
    """

    def __init__(self) -> None:
        self.read_throttle = read_throttle.LeakyBucket()
        self._rows = fleet_rows.FleetRows()
        self._read_versions: dict[str, int] = {}
        self._uncertain_keys: set[str] = set()
        self._sweep_after = ""
        self._full_read_at = 0.0
        self._sweep_due: float | None = None
        self._list_due = 0.0

    @property
    def fleet(self) -> fleet_state.Fleet:
        """The cached fleet; its members have no status."""
        return self._rows.fleet

    def refresh(self, source: platform.Platform, now: float) -> bool:
        """Reads the whole fleet on the first call, then pages that are due.

        Returns:
            False if nothing is cached and the platform is unavailable.
        """
        if self._sweep_due is None:
            return self._read_whole(source, now)
        if now >= self._sweep_due:
            self._sweep(source.table, now)
        if now >= self._list_due:
            self._read_list(source, now)
        return True

    def reread_if_old(self, source: platform.Platform, now: float) -> bool:
        """Reads the whole fleet if the last full read is too old.

        Returns:
            Whether the fleet was read.
        """
        if now - self._full_read_at < MAX_SNAPSHOT_AGE_S:
            return False
        return self._read_whole(source, now)

    def refresh_services(
        self,
        source: platform.Platform,
        services: Collection[str],
        now: float,
        extra_instances: Collection[str] = (),
    ) -> bool:
        """Updates the budgets and instances of services in the cache.

        A later change of an instance also changes its budget row, so a
        transaction that names the version read here fails with a conflict.

        Args:
            source: the platform to read from.
            services: the services to update.
            now: monotonic seconds.
            extra_instances: instances to read in any case.

        Returns:
            False when the platform did not answer.
        """
        names = sorted(services)
        requested = [keys.budget(service) for service in names]
        if not self._read(source.table, requested, now):
            return False
        changed = [
            s for s in names if self._read_versions.get(s) != self._version(s)
        ]
        versions = {service: self._version(service) for service in changed}
        requested = self._instance_keys_in(changed, extra_instances)
        if not self._read(source.table, requested, now):
            return False
        self._uncertain_keys.clear()
        self._read_versions.update(versions)
        return True

    def read_wave(
        self, source: platform.Platform, name: str, now: float
    ) -> bool:
        """Reads a wave's row; returns False if the platform is unavailable."""
        return self._read(source.table, [keys.wave(name)], now)

    def fetch_statuses(
        self, source: platform.Platform, names: Iterable[str], now: float
    ) -> dict[str, platform.InstanceStatus] | platform.Unavailable:
        """Fetches the current statuses of instances; they are not cached."""
        requested = sorted(set(names))
        if not requested:
            return {}
        self.read_throttle.charge(
            CALL_BYTES + len(requested) * STATUS_BYTES, now
        )
        statuses = source.instances.status(requested)
        if isinstance(statuses, platform.Unavailable):
            return statuses
        return {status.instance: status for status in statuses}

    def record_commit(
        self, puts: Iterable[platform.Put], outcome: platform.CommitOutcome
    ) -> None:
        """Updates the cache from a commit's writes or conflicting rows."""
        written = tuple(puts)
        if isinstance(outcome, platform.Committed):
            self._merge_written(written, outcome.version)
        elif isinstance(outcome, platform.Conflict):
            self._rows.merge(outcome.found)
        elif isinstance(outcome, platform.OutcomeUnknown):
            # The commit may still take effect: read these rows again.
            for put in written:
                self._uncertain_keys.add(put.key)
                if put.key.startswith(keys.BUDGETS):
                    service = keys.name_of(keys.BUDGETS, put.key)
                    self._read_versions.pop(service, None)

    def _merge_written(
        self, written: Collection[platform.Put], version: int
    ) -> None:
        """Caches the rows of a successful commit.

        The commit shows that the cached versions were current. A service that
        was up to date before it therefore still is.
        """
        current = [
            keys.name_of(keys.BUDGETS, put.key)
            for put in written
            if put.key.startswith(keys.BUDGETS)
        ]
        known = [
            s for s in current if self._read_versions.get(s) == self._version(s)
        ]
        self._rows.merge(
            platform.Row(
                put.key,
                platform.ABSENT if put.value is None else version,
                put.value or {},
                "",
            )
            for put in written
        )
        self._read_versions.update(dict.fromkeys(known, version))

    def _version(self, service: str) -> int:
        return self.fleet.budget(service).version

    def _instance_keys_in(
        self, services: Collection[str], extra_instances: Collection[str]
    ) -> list[str]:
        """Returns the keys to read for the known instances of services."""
        names = set(extra_instances) | {
            name
            for name, member in self.fleet.members.items()
            if member.row.service in services
        }
        for service in services:
            names.update(self.fleet.budget(service).row.down)
        return sorted({*_instance_keys(names), *self._uncertain_keys})

    def _read(
        self, table: platform.Table, requested: Collection[str], now: float
    ) -> bool:
        if not requested:
            return True
        before = {key: self._rows.version_of(key) for key in requested}
        found = table.read(sorted(requested))
        if isinstance(found, platform.Unavailable):
            return False
        size = sum(_estimated_bytes(row) for row in found.rows)
        asked = len(requested) * NAME_BYTES
        self.read_throttle.charge(CALL_BYTES + asked + size, now)
        self._rows.merge(found.rows)
        self._rows.drop_missing(before, {row.key for row in found.rows})
        return True

    def _read_whole(self, source: platform.Platform, now: float) -> bool:
        """Reads everything, budgets first so that instances are not older."""
        for prefix in (keys.BUDGETS, keys.INSTANCES, keys.WAVES):
            found = source.table.scan(prefix)
            if isinstance(found, platform.Unavailable):
                return False
            self._rows.merge(found.rows)
            if prefix == keys.BUDGETS:
                known = self.fleet.budgets
                versions = {name: row.version for name, row in known.items()}
        self._read_versions = versions
        if not self._read_list(source, now):
            return False
        self._full_read_at = now
        self._sweep_due = now + SWEEP_PAGE_ROWS * ROW_BYTES / SWEEP_BYTES_PER_S
        return True

    def _sweep(self, table: platform.Table, now: float) -> None:
        """Reads the next page, for changes that no budget row has revealed."""
        found = table.scan(keys.INSTANCES, self._sweep_after, SWEEP_PAGE_ROWS)
        if isinstance(found, platform.Unavailable):
            return
        size = CALL_BYTES + sum(_estimated_bytes(row) for row in found.rows)
        self._sweep_due = now + size / SWEEP_BYTES_PER_S
        last = len(found.rows) < SWEEP_PAGE_ROWS
        end = "" if last else found.rows[-1].key
        known = {
            key: member.version
            for name, member in self.fleet.members.items()
            if (key := keys.instance(name)) > self._sweep_after
            and (last or key <= end)
        }
        self._sweep_after = end
        self._rows.merge(found.rows)
        self._rows.drop_missing(known, {row.key for row in found.rows})

    def _read_list(self, source: platform.Platform, now: float) -> bool:
        """Reads the list, and the rows of listed instances without one."""
        listed = source.instances.list()
        if isinstance(listed, platform.Unavailable):
            return False
        size = CALL_BYTES + len(listed.instances) * LISTING_BYTES
        self._list_due = now + size / LIST_BYTES_PER_S
        self._rows.set_list(listed.instances)
        unknown = [one.instance for one in self.fleet.unassigned]
        return self._read(source.table, _instance_keys(unknown), now)


_caches: weakref.WeakKeyDictionary[platform.Table, FleetCache] = (
    weakref.WeakKeyDictionary()
)


def cache_of(context: controller.DutyContext) -> FleetCache:
    """Returns the cache of the process in which a step runs."""
    return _caches.setdefault(context.platform.table, FleetCache())


def _instance_keys(names: Iterable[str]) -> list[str]:
    return [keys.instance(name) for name in names]


def _estimated_bytes(row: platform.Row) -> int:
    """Estimates the bytes of a row; long rows hold lists of names."""
    lists = [one for one in row.value.values() if isinstance(one, list | dict)]
    names = sum(_name_count(one) for one in lists)
    return ROW_BYTES + NAME_BYTES * names


def _name_count(value: list[object] | dict[str, object]) -> int:
    if isinstance(value, dict):
        return len(value)
    return sum(len(one) if isinstance(one, list) else 1 for one in value)
