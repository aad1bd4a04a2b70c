"""Reads the settings file that the platform writes, with lines a.b=value.

The platform's names differ from this program's in places: "duty" is an order
for a machine, "migrate" is a move to another pool.
"""

from collections.abc import Mapping
import os
import pathlib

from vanillaswitch import errors
from vanillaswitch.state import deployment

ENVIRONMENT_VARIABLE = "VANILLASWITCH_SETTINGS"
SUPPORTED_ORDER_MODE = "request"
"""The only supported value of the field ``orders``: how orders are sent."""

ACCOUNTS_CONTRACT = "tenants"
"""Where it is in force, clients need the API key of a client account."""

OVERLOAD_CONTRACT = "pressure"
"""Where it is in force, clients compete for too little capacity at times."""

SUPPORTED_CONTRACTS = frozenset(
    {
        "base",
        "drain",
        "config",
        "cost",
        "recover",
        "sched",
        ACCOUNTS_CONTRACT,
        "quota",
        OVERLOAD_CONTRACT,
        "platform",
        "advice",
        "upkeep",
        "sharing",
    }
)
"""Parts of the platform's rules that this version implements; the field
``contracts`` lists those in force."""

_DEFAULT_BOUNDS = deployment.Bounds()


def path() -> pathlib.Path:
    """Returns the path of the settings file.

    Raises:
        errors.SettingsError: the environment variable is not set.
    """
    file_name = os.environ.get(ENVIRONMENT_VARIABLE)
    if not file_name:
        raise errors.SettingsError(
            f"set {ENVIRONMENT_VARIABLE} to the path of the settings file"
        )
    return pathlib.Path(file_name)


def load(file: pathlib.Path) -> deployment.Deployment:
    """Reads a settings file and ignores unknown fields.

    Raises:
        errors.SettingsError: the file can't be read, or a required field is
            missing or malformed.
    """
    try:
        text = file.read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{file}: {error.strerror}") from error
    fields = _Fields(str(file), dict(_parse_lines(text)))
    return _build_deployment(fields)


def _parse_lines(text: str) -> list[tuple[str, str]]:
    pairs = []
    for line in text.splitlines():
        name, equals, value = line.partition("=")
        if equals and not name.lstrip().startswith("#"):
            pairs.append((name.strip(), value.strip()))
    return pairs


class _Fields:
    """Typed access to the settings; errors name the field."""

    def __init__(self, file: str, values: Mapping[str, str]):
        self._file = file
        self._values = values

    def text(self, name: str, default: str | None = None) -> str:
        value = self._values.get(name, default)
        if value is None:
            raise errors.SettingsError(f"{self._file}: add the field {name}")
        return value

    def number(self, name: str, default: float) -> float:
        text = self._values.get(name, "")
        if not text:
            return default
        try:
            return float(text)
        except ValueError:
            raise errors.SettingsError(
                f"{self._file}: {name}: {text!r} is not a number"
            ) from None

    def seconds(self, name: str, default: float) -> float:
        """Returns a field, which the file gives in milliseconds, in seconds.

        Args:
            name: the field.
            default: in seconds.
        """
        return self.number(name, default * 1000) / 1000

    def flag(self, name: str, default: bool) -> bool:
        return self._values.get(name, str(default)).lower() == "true"

    def items(self, name: str) -> tuple[str, ...]:
        text = self._values.get(name, "")
        return tuple(item for item in text.split(",") if item)


def _build_deployment(fields: _Fields) -> deployment.Deployment:
    ip = fields.text("ip")
    ports = fields.items("internal_ports")
    if len(ports) != 2:
        raise errors.SettingsError(
            "internal_ports: give two ports, the first and the last"
        )
    first = int(ports[0])
    return deployment.Deployment(
        process=fields.text("node_name"),
        zone=fields.text("zone", ""),
        entry_address=fields.text("listen.frontend"),
        ready_address=fields.text("listen.ready"),
        internal_address=f"{ip}:{first}",
        metrics_address=f"{ip}:{first + 1}",
        store_address=fields.text("platform.address"),
        machines_address=fields.text("cloud_api.address", ""),
        advice_address=fields.text("advice", ""),
        cores=fields.number("limits.cpu_share", 1.0)
        * fields.number("limits.cpu_cores", 1.0),
        link_mbps=fields.number("limits.link_mbps", 1000.0),
        orders=fields.text("orders", SUPPORTED_ORDER_MODE),
        contracts=fields.items("contracts"),
        heartbeat_s=fields.seconds("heartbeat_ms", 1.5),
        writes_per_s=fields.number("platform.writes_per_s", 100.0),
        reads_per_s=fields.number("platform.reads_per_s", 100.0),
        machine_orders_per_s=fields.number("cloud_api.duty_per_s", 10.0),
        bounds=_build_bounds(fields),
        overload=_build_overload_controls(fields),
    )


def _build_overload_controls(
    fields: _Fields,
) -> deployment.OverloadControls:
    in_force = OVERLOAD_CONTRACT in fields.items("contracts")
    return deployment.OverloadControls(
        pool_allocation=in_force,
        admission=in_force,
        fair_order=in_force,
        learned_durations=in_force,
    )


def _build_bounds(fields: _Fields) -> deployment.Bounds:
    return deployment.Bounds(
        max_row_bytes=int(
            fields.number("platform.row_bytes", _DEFAULT_BOUNDS.max_row_bytes)
        ),
        contact_s=fields.seconds(
            "bounds.contact_ms", _DEFAULT_BOUNDS.contact_s
        ),
        drain_s=fields.seconds("bounds.drain_ms", _DEFAULT_BOUNDS.drain_s),
        grace_s=fields.number("bounds.grace_s", _DEFAULT_BOUNDS.grace_s),
        max_lease_s=fields.seconds(
            "bounds.max_hold_ms", _DEFAULT_BOUNDS.max_lease_s
        ),
        stop_s=fields.seconds("bounds.stop_timeout_ms", _DEFAULT_BOUNDS.stop_s),
        gang_wait_s=fields.seconds(
            "bounds.gang_wait_ms", _DEFAULT_BOUNDS.gang_wait_s
        ),
        cancel_s=fields.seconds("bounds.cancel_ms", _DEFAULT_BOUNDS.cancel_s),
        max_early_start_s=fields.seconds(
            "bounds.early_ms", _DEFAULT_BOUNDS.max_early_start_s
        ),
        move_s=fields.number("bounds.migrate_s", _DEFAULT_BOUNDS.move_s),
        maintenance_s=fields.number(
            "bounds.maintenance_s", _DEFAULT_BOUNDS.maintenance_s
        ),
        fenced=fields.flag("bounds.enforce_fencing", _DEFAULT_BOUNDS.fenced),
        lease_s=fields.seconds("bounds.lease_ms", _DEFAULT_BOUNDS.lease_s),
        missing_after_s=fields.seconds(
            "bounds.notice_ms", _DEFAULT_BOUNDS.missing_after_s
        ),
        status_s=fields.number("bounds.status_s", _DEFAULT_BOUNDS.status_s),
        remote_factor=fields.number(
            "bounds.remote_factor", _DEFAULT_BOUNDS.remote_factor
        ),
        checkpoint_s=fields.number(
            "bounds.checkpoint_s", _DEFAULT_BOUNDS.checkpoint_s
        ),
        restore_s=fields.seconds(
            "bounds.restore_ms", _DEFAULT_BOUNDS.restore_s
        ),
        max_target_miss_s=fields.seconds(
            "bounds.impact_ms", _DEFAULT_BOUNDS.max_target_miss_s
        ),
        pacing_s=fields.seconds("bounds.pacing_ms", _DEFAULT_BOUNDS.pacing_s),
        revocation_s=fields.seconds(
            "bounds.revoke_ms", _DEFAULT_BOUNDS.revocation_s
        ),
        share_window_s=fields.number(
            "bounds.quota_window_s", _DEFAULT_BOUNDS.share_window_s
        ),
    )
