"""What operators' commands read of a deployment on the users' platform."""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
from typing import Any

from vanillaswitch import errors
from vanillaswitch.coordination.fleet import operator_table
from vanillaswitch.coordination.fleet import status_summaries
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import http_table
from vanillaswitch.platform import machines
from vanillaswitch.platform import operator_rows
from vanillaswitch.platform import upstreams
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable
from vanillaswitch.state import deployment as deployments
from vanillaswitch.transport import plain_http

Registrations = Mapping[str, fleet.Registration | unusable.Unusable]


@dataclasses.dataclass(frozen=True)
class _Jobs:
    """All jobs, and what of their rows can't be used."""

    entries: Sequence[job_tracker.JobEntry]
    unusable: Mapping[str, str]


class OperatorView:
    """Reads rows and the list of machines; writes nothing.

    Each method raises ``errors.PlatformUnavailableError`` where the platform
    gives no answer.
    """

    def __init__(
        self,
        store: http_table.HttpTable,
        listed: machines.HttpMachines,
        clock: clocks.Clock,
    ):
        self._clock = clock
        self._store = store
        self._machines = listed

    def job(
        self, job_id: str
    ) -> status_summaries.JobSummary | unusable.Unusable | None:
        """Returns how a job stands; None for one without rows."""
        tables = (fenced_writer.JOB_TABLE, fenced_writer.PROGRESS_TABLE)
        accepted, progress, cancelled = (
            self._row(f"{table}/{job_id}")
            for table in (*tables, fenced_writer.CANCEL_TABLE)
        )
        if accepted is None:
            return None
        entry = status_summaries.restore_entry(accepted, progress)
        if isinstance(entry, unusable.Unusable):
            return entry
        return status_summaries.summarize_job(entry, cancelled is not None)

    def account(
        self, name: str
    ) -> status_summaries.AccountSummary | unusable.Unusable | None:
        """Returns how a client account stands; None for an unknown one."""
        key = f"{operator_rows.OPERATOR_TABLE}/{operator_rows.CONFIG_KEY}"
        document = self._row(key)
        if document is None:
            return None
        config = operator_rows.decode_config(document)
        if isinstance(config, unusable.Unusable):
            return config
        account = config.accounts.by_name.get(name)
        if account is None:
            return None
        entries = self._jobs().entries
        shares = status_summaries.summarize_shares(
            name,
            config,
            entries,
            _usable(self._registrations()),
            self._clock.wall() * 1000,
        )
        return status_summaries.summarize_account(account, entries, shares)

    def instance(self, name: str) -> status_summaries.InstanceSummary | None:
        """Returns how an instance stands; None for one without an entry."""
        found = self._registrations().get(name)
        if found is None:
            return None
        return status_summaries.summarize_instance(
            name, found, self._jobs().entries
        )

    def machine(self, name: str) -> fleet.Machine | None:
        """Returns a machine of the platform's list."""
        listed = {machine.name: machine for machine in self._listed()}
        return listed.get(name)

    def waves(self) -> Sequence[status_summaries.WaveSummary]:
        """Returns how all waves stand."""
        orders = [
            operator_rows.decode_wave(row.key, row.value)
            for row in self._rows(operator_rows.OPERATOR_TABLE)
            if row.key.startswith(operator_rows.WAVE_PREFIX) and row.value
        ]
        return tuple(
            self._wave(order)
            for order in orders
            if isinstance(order, fleet.WaveOrder)
        )

    def overview(self) -> status_summaries.FleetSummary:
        """Returns how the fleet stands."""
        owner = fenced_writer.decode_owner_row(
            self._row(fenced_writer.OWNER_KEY) or {}
        )
        jobs = self._jobs()
        registrations = self._registrations()
        sound = _usable(registrations)
        wrong = {
            f"{upstreams.INSTANCE_TABLE}/{name}": found.reason
            for name, found in registrations.items()
            if isinstance(found, unusable.Unusable)
        }
        return status_summaries.FleetSummary(
            owner=owner.holder,
            owner_address=owner.address,
            queues=status_summaries.count_jobs(jobs.entries),
            services=status_summaries.count_instances(sound),
            machines=status_summaries.count_machines(self._listed()),
            waves=tuple(self.waves()),
            unusable={**jobs.unusable, **wrong},
            waiting_accounts=status_summaries.count_waiting_jobs(
                jobs.entries, self._clock.wall() * 1000
            ),
        )

    def _wave(self, order: fleet.WaveOrder) -> status_summaries.WaveSummary:
        finished = (
            self._row(f"{operator_table.WAVE_PROGRESS_TABLE}/{order.name}")
            or {}
        )
        status = self._row(f"{operator_rows.STATUS_TABLE}/{order.name}") or {}
        return status_summaries.summarize_wave(
            order,
            operator_table.finished_machines(finished),
            operator_rows.decode_wave_state(status),
        )

    def _jobs(self) -> _Jobs:
        progress = {
            row.key: row.value
            for row in self._rows(fenced_writer.PROGRESS_TABLE)
        }
        entries = []
        wrong = {}
        for row in self._rows(fenced_writer.JOB_TABLE):
            entry = _entry(row, progress.get(row.key))
            if isinstance(entry, unusable.Unusable):
                wrong[f"{fenced_writer.JOB_TABLE}/{row.key}"] = entry.reason
            else:
                entries.append(entry)
        return _Jobs(entries, wrong)

    def _registrations(self) -> Registrations:
        return {
            row.key: unusable.Unusable(row.read_error)
            if row.value is None
            else upstreams.decode_registration(row.key, row.value)
            for row in self._rows(upstreams.INSTANCE_TABLE)
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

    def _rows(self, table: str) -> Iterable[change_feeds.RowChange]:
        read = self._store.snapshot(table)
        if isinstance(read, platform.Unavailable):
            raise errors.PlatformUnavailableError(
                f"table {table}: {read.reason}"
            )
        if read.unreadable_partitions:
            raise errors.PlatformUnavailableError(
                f"table {table}: {len(read.unreadable_partitions)} parts: "
                f"{read.unreadable_reason}"
            )
        return [
            row for row in read.rows if row.value is not None or row.read_error
        ]


def _usable(registrations: Registrations) -> list[fleet.Registration]:
    return [
        found
        for found in registrations.values()
        if isinstance(found, fleet.Registration)
    ]


def _entry(
    row: change_feeds.RowChange, progress: Mapping[str, Any] | None
) -> job_tracker.JobEntry | unusable.Unusable:
    if row.value is None:
        return unusable.Unusable(row.read_error)
    return status_summaries.restore_entry(row.value, progress)


@contextlib.contextmanager
def opened(settings: deployments.Deployment) -> Iterator[OperatorView]:
    """Yields a view of the deployment that a process's settings name."""
    clock = clocks.SystemClock()
    with plain_http.open_client(clock) as client:
        store = http_table.HttpTable(
            client, settings.store_address, clock, lambda _: None
        )
        listed = machines.HttpMachines(
            client, settings.machines_address, settings.process
        )
        yield OperatorView(store, listed, clock)
