"""Reads the operators' table and writes the progress of maintenance waves."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import reference_clock
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.internal import logs
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable

WAVE_PROGRESS_TABLE = "wave"

_MAX_ATTEMPTS = 3


@dataclasses.dataclass(frozen=True)
class OperatorFormat:
    """Describes the platform's format of rows that operators write and read.

    Attributes:
        config_key: key of the configuration row.
        wave_prefix: prefix of the keys of rows of waves.
        status_table: table of the wave statuses that operators read.
        decode_config: parses the configuration row.
        decode_wave: parses the row of a wave, given its key and content.
        encode_wave_status: builds the status of a wave, given whether it is
            completed.
    """

    config_key: str
    wave_prefix: str
    status_table: str
    decode_config: Callable[
        [Mapping[str, Any]], fleet.FleetConfig | unusable.Unusable
    ]
    decode_wave: Callable[
        [str, Mapping[str, Any]], fleet.WaveOrder | unusable.Unusable
    ]
    encode_wave_status: Callable[[bool], Mapping[str, Any]]


class OperatorTable:
    """Newest configuration and wave orders; implements ``WaveStore``."""

    def __init__(
        self,
        table: platform.Table,
        row_format: OperatorFormat,
        store_clock: reference_clock.ReferenceClock,
        emit: Callable[[object], None],
    ):
        self._emit = emit
        self._store_clock = store_clock
        self._table = table
        self._format = row_format
        self._config: fleet.FleetConfig | None = None
        self._is_config_unusable = False
        self._confirmed_at = float("-inf")
        self._waves: dict[str, fleet.WaveOrder] = {}

    @property
    def config(self) -> fleet.FleetConfig | None:
        """The newest configuration; None before one was read."""
        return self._config

    @property
    def config_confirmed_at(self) -> float:
        """Monotonic seconds at which ``config`` was surely the newest.

        A newer configuration may have come since.
        """
        return self._confirmed_at

    def on_current(self, sent_at: float) -> None:
        """Records that all changes up to a moment have been applied.

        Args:
            sent_at: monotonic seconds.
        """
        # A configuration that can't be read may have removed keys.
        if self._config is not None and not self._is_config_unusable:
            self._confirmed_at = max(self._confirmed_at, sent_at)

    def on_snapshot(self, snapshot: change_feeds.Snapshot) -> None:
        """Replaces all rows of the operators' table."""
        present = {row.key for row in snapshot.rows}
        for name in self._waves.keys() - present:
            del self._waves[name]
        self.on_changes(snapshot.rows)

    def on_changes(self, changes: Iterable[change_feeds.RowChange]) -> None:
        """Applies changed rows of the operators' table."""
        for change in changes:
            if change.read_error:
                # The previous content of the row remains valid.
                self._report_unusable(change, change.read_error)
                if change.key == self._format.config_key:
                    self._is_config_unusable = True
            elif change.key == self._format.config_key and change.value:
                self._apply_config(change, change.value)
            elif change.key.startswith(self._format.wave_prefix):
                self._apply_wave(change)

    def _report_unusable(
        self, change: change_feeds.RowChange, why: str
    ) -> None:
        self._emit(
            events.RowUnusable("operators", change.key, change.version, why)
        )

    def _apply_config(
        self, change: change_feeds.RowChange, document: Mapping[str, Any]
    ) -> None:
        config = self._format.decode_config(document)
        if isinstance(config, unusable.Unusable):
            self._report_unusable(change, config.reason)
            self._is_config_unusable = True
            return
        self._is_config_unusable = False
        if self._config is not None and config.version <= self._config.version:
            return
        self._config = config
        for problem in config.account_problems:
            self._report_unusable(change, problem)
        self._emit(
            events.ConfigInForce(
                config.version,
                len(config.queues),
                len(config.accounts.by_name),
            )
        )

    def _apply_wave(self, change: change_feeds.RowChange) -> None:
        if change.value is None:
            self._waves.pop(change.key, None)
            return
        wave = self._format.decode_wave(change.key, change.value)
        if isinstance(wave, unusable.Unusable):
            self._report_unusable(change, wave.reason)
            return
        self._waves[change.key] = wave

    def wave_orders(self) -> Iterable[fleet.WaveOrder]:
        """Returns the waves that operators have ordered."""
        return tuple(self._waves.values())

    def start_wave(self, wave: str) -> wave_controller.WaveProgress | None:
        """Returns the stored state of a wave; stores its start if it is new."""
        key = f"{WAVE_PROGRESS_TABLE}/{wave}"
        new_row: dict[str, Any] = {
            "machines": [],
            "began_store_ms": self._store_clock.store_now_ms or 0,
        }

        def add_missing_fields(document: Mapping[str, Any]) -> dict[str, Any]:
            return new_row | dict(document)

        if not self._update(key, add_missing_fields):
            return None
        read = self._table.read([key])
        if isinstance(read, platform.Unavailable) or not read.rows:
            return None
        row = read.rows[0].value
        began_ms = row.get("began_store_ms")
        if not isinstance(began_ms, int | float):
            # The start is unknown, so the age counts from now.
            logs.warning("{}: began_store_ms is not a number, using now", key)
            began_ms = 0
        age_s = self._store_clock.age_s(began_ms)
        return wave_controller.WaveProgress(
            tuple(finished_machines(row)), age_s
        )

    def save_finished(self, wave: str, machines: Collection[str]) -> bool:
        """Adds machines to the stored finished machines of a wave.

        No machine is ever removed, so a delayed copy of a write is harmless.
        """

        def add_finished(document: Mapping[str, Any]) -> dict[str, Any]:
            finished = finished_machines(document) | set(machines)
            return dict(document) | {"machines": sorted(finished)}

        return self._update(f"{WAVE_PROGRESS_TABLE}/{wave}", add_finished)

    def report_status(self, wave: str, completed: bool) -> bool:
        """Writes the status of a wave for the operators."""
        status = dict(self._format.encode_wave_status(completed))
        completed_status = dict(self._format.encode_wave_status(True))

        def keep_completed(document: Mapping[str, Any]) -> dict[str, Any]:
            # A completed wave must not be reported as running again.
            return completed_status if document == completed_status else status

        return self._update(
            f"{self._format.status_table}/{wave}", keep_completed
        )

    def _update(
        self, key: str, modify: Callable[[Mapping[str, Any]], dict[str, Any]]
    ) -> bool:
        for _ in range(_MAX_ATTEMPTS):
            read = self._table.read([key])
            if isinstance(read, platform.Unavailable):
                return False
            version = read.rows[0].version if read.rows else platform.ABSENT
            before = read.rows[0].value if read.rows else {}
            after = modify(before)
            if read.rows and after == before:
                return True
            put = platform.Put(key, version, after)
            token = f"{key}-{version}"
            outcome = self._table.commit(platform.Transaction(token, (put,)))
            if isinstance(outcome, platform.Committed):
                return True
        return False


def finished_machines(document: Mapping[str, Any]) -> set[str]:
    """Returns the finished machines that the row of a wave contains."""
    machines = document.get("machines")
    if machines is None:
        return set()
    if not isinstance(machines, list):
        # All machines are maintained again, which is safe.
        logs.warning(
            "row of a wave: machines is not a list, maintaining all again"
        )
        return set()
    return {machine for machine in machines if isinstance(machine, str)}
