"""What operators' commands read of a deployment on the users' platform."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
from typing import Any

from vanillaswitch import errors
from vanillaswitch.coordination.fleet import operators
from vanillaswitch.coordination.fleet import standing
from vanillaswitch.coordination.fleet.ownership import recorder
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import machines
from vanillaswitch.platform import operator
from vanillaswitch.platform import store as stores
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable
from vanillaswitch.state import deployment as deployments
from vanillaswitch.transport import plain_http

Registrations = Mapping[str, fleet.Registration | unusable.Unusable]


@dataclasses.dataclass(frozen=True)
class _Jobs:
    """All jobs, and what of their rows can't be used."""

    entries: Sequence[books.Entry]
    unusable: Mapping[str, str]


class OperatorView:
    """Reads rows and the list of machines; writes nothing.

    Each method raises ``errors.PlatformUnavailableError`` where the platform
    gives no answer.
    """

    def __init__(self, store: stores.Store, listed: machines.HttpMachines):
        self._store = store
        self._machines = listed

    def job(
        self, job_id: str
    ) -> standing.JobStanding | unusable.Unusable | None:
        """Returns how a job stands; None for one without rows."""
        tables = (recorder.JOB_TABLE, recorder.PROGRESS_TABLE)
        accepted, progress, cancelled = (
            self._row(f"{table}/{job_id}")
            for table in (*tables, recorder.CANCEL_TABLE)
        )
        if accepted is None:
            return None
        entry = standing.entry_of(accepted, progress)
        if isinstance(entry, unusable.Unusable):
            return entry
        return standing.of_job(entry, cancelled is not None)

    def instance(self, name: str) -> standing.InstanceStanding | None:
        """Returns how an instance stands; None for one without an entry."""
        found = self._registrations().get(name)
        if found is None:
            return None
        return standing.of_instance(name, found, self._jobs().entries)

    def machine(self, name: str) -> fleet.Machine | None:
        """Returns a machine of the platform's list."""
        listed = {machine.name: machine for machine in self._listed()}
        return listed.get(name)

    def waves(self) -> Sequence[standing.WaveStanding]:
        """Returns how all waves stand."""
        orders = [
            operator.wave(row.key, row.value)
            for row in self._rows(operator.TABLE)
            if row.key.startswith(operator.WAVE_PREFIX) and row.value
        ]
        return tuple(
            self._wave(order)
            for order in orders
            if isinstance(order, fleet.WaveOrder)
        )

    def overview(self) -> standing.FleetStanding:
        """Returns how the fleet stands."""
        owner = recorder.owner_row(self._row(recorder.OWNER_KEY) or {})
        jobs = self._jobs()
        registrations = self._registrations()
        sound = [
            found
            for found in registrations.values()
            if isinstance(found, fleet.Registration)
        ]
        wrong = {
            f"{upstreams.TABLE}/{name}": found.reason
            for name, found in registrations.items()
            if isinstance(found, unusable.Unusable)
        }
        return standing.FleetStanding(
            owner=owner.holder,
            owner_address=owner.address,
            queues=standing.count_jobs(jobs.entries),
            services=standing.count_instances(sound),
            machines=standing.count_machines(self._listed()),
            waves=tuple(self.waves()),
            unusable={**jobs.unusable, **wrong},
        )

    def _wave(self, order: fleet.WaveOrder) -> standing.WaveStanding:
        finished = self._row(f"{operators.FINISHED_TABLE}/{order.name}") or {}
        status = self._row(f"{operator.STATUS_TABLE}/{order.name}") or {}
        return standing.of_wave(
            order,
            operators.finished_machines(finished),
            operator.reported_state(status),
        )

    def _jobs(self) -> _Jobs:
        progress = {
            row.key: row.value for row in self._rows(recorder.PROGRESS_TABLE)
        }
        entries = []
        wrong = {}
        for row in self._rows(recorder.JOB_TABLE):
            entry = _entry(row, progress.get(row.key))
            if isinstance(entry, unusable.Unusable):
                wrong[f"{recorder.JOB_TABLE}/{row.key}"] = entry.reason
            else:
                entries.append(entry)
        return _Jobs(entries, wrong)

    def _registrations(self) -> Registrations:
        return {
            row.key: unusable.Unusable(row.damage)
            if row.value is None
            else upstreams.registration(row.key, row.value)
            for row in self._rows(upstreams.TABLE)
        }

    def _listed(self) -> Iterable[fleet.Machine]:
        listed = self._machines.list()
        if isinstance(listed, fleet.NoAnswer):
            raise errors.PlatformUnavailableError(
                f"the list of machines: {listed.reason}"
            )
        return listed

    def _row(self, key: str) -> Mapping[str, Any] | None:
        read = self._store.read([key])
        if isinstance(read, platform.Unavailable):
            raise errors.PlatformUnavailableError(f"{key}: {read.reason}")
        return read.rows[0].value if read.rows else None

    def _rows(self, table: str) -> Iterable[feeds.Change]:
        read = self._store.snapshot(table)
        if isinstance(read, platform.Unavailable):
            raise errors.PlatformUnavailableError(
                f"table {table}: {read.reason}"
            )
        if read.missing:
            raise errors.PlatformUnavailableError(
                f"table {table}: {len(read.missing)} parts: {read.reason}"
            )
        return [row for row in read.rows if row.value is not None or row.damage]


def _entry(
    row: feeds.Change, progress: Mapping[str, Any] | None
) -> books.Entry | unusable.Unusable:
    if row.value is None:
        return unusable.Unusable(row.damage)
    return standing.entry_of(row.value, progress)


@contextlib.contextmanager
def opened(settings: deployments.Deployment) -> Iterator[OperatorView]:
    """Yields a view of the deployment that a process's settings name."""
    clock = clocks.SystemClock()
    with plain_http.open_client(clock) as client:
        store = stores.Store(
            client, settings.store_address, clock, lambda _: None
        )
        listed = machines.HttpMachines(
            client, settings.machines_address, settings.process
        )
        yield OperatorView(store, listed)
