"""What the operators write: configurations and waves of upkeep."""

from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.platform import checked
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
TABLE = "op"
STATUS_TABLE = "status"

_MAX_BODY_BYTES = 262_144


@dataclasses.dataclass(frozen=True)
class _Advice:
    decision_ms: float = 0.0
    period_ms: float = 0.0
    validity_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Route:
    name: str
    path_prefix: str
    service: str
    host: str = ""
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: float = 0.0
    timeout_ms: float = 0.0
    advice: _Advice | None = None

    def queue(self) -> fleet.Queue:
        advice = self.advice
        return fleet.Queue(
            name=self.name,
            host=self.host.lower(),
            prefix=self.path_prefix,
            service=self.service,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            stretch=self.stretch,
            target_ms=self.target_duration_ms,
            timeout_ms=self.timeout_ms,
            advice=fleet.Advice(**vars(advice)) if advice else None,
        )


@dataclasses.dataclass(frozen=True)
class _Service:
    name: str
    enforces_capacity: bool = False
    standby: bool = False

    def pool(self) -> fleet.Pool:
        return fleet.Pool(self.name, self.enforces_capacity, self.standby)


@dataclasses.dataclass(frozen=True)
class _Limits:
    max_body_bytes: int = _MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True)
class _Config:
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None


@dataclasses.dataclass(frozen=True)
class _Wave:
    wave: int
    machines: tuple[str, ...] = ()
    duration_s: float = 0.0
    max_count: int = 1


def config(
    document: Mapping[str, Any],
) -> fleet.FleetConfig | unusable.Unusable:
    """Decodes the row "config"."""
    read = checked.read(_Config, document)
    if isinstance(read, unusable.Unusable):
        return read
    return fleet.FleetConfig(
        version=read.version,
        queues=tuple(route.queue() for route in read.routes),
        pools={service.name: service.pool() for service in read.services},
        max_body_bytes=(read.limits or _Limits()).max_body_bytes,
    )


def wave(
    key: str, document: Mapping[str, Any]
) -> fleet.WaveOrder | unusable.Unusable:
    """Decodes a row "wave/N"."""
    read = checked.read(_Wave, document)
    if isinstance(read, unusable.Unusable):
        return read
    return fleet.WaveOrder(
        name=key,
        number=read.wave,
        machines=read.machines,
        duration_s=read.duration_s,
        max_count=max(1, read.max_count),
    )


def wave_status(completed: bool) -> dict[str, str]:
    """Encodes what the operators read of a wave."""
    return {"state": "completed" if completed else "running"}


def reported_state(document: Mapping[str, Any]) -> str:
    """Decodes what the operators read of a wave; empty for nothing."""
    state = document.get("state")
    return state if isinstance(state, str) else ""
