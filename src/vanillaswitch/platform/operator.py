"""What the operators write: configurations and waves of upkeep."""

from collections.abc import Mapping
from typing import Any

from vanillaswitch.protocol import fleet

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"
TABLE = "op"
STATUS_TABLE = "status"

_MAX_BODY_BYTES = 262_144


def config(document: Mapping[str, Any]) -> fleet.FleetConfig:
    """Decodes the row "config"."""
    limits = document.get("limits") or {}
    pools = [_pool(raw) for raw in document.get("services", ())]
    return fleet.FleetConfig(
        version=int(document["version"]),
        queues=tuple(_queue(raw) for raw in document.get("routes", ())),
        pools={pool.name: pool for pool in pools},
        max_body_bytes=int(limits.get("max_body_bytes", _MAX_BODY_BYTES)),
    )


def _queue(raw: Mapping[str, Any]) -> fleet.Queue:
    return fleet.Queue(
        name=str(raw["name"]),
        host=str(raw.get("host", "")).lower(),
        prefix=str(raw["path_prefix"]),
        service=str(raw["service"]),
        priority=int(raw.get("priority", 0)),
        max_attempts=max(1, int(raw.get("max_attempts", 1))),
        stretch=float(raw.get("stretch", 1.0)),
        target_ms=float(raw.get("target_duration_ms", 0.0)),
        timeout_ms=float(raw.get("timeout_ms", 0.0)),
        advice=_advice(raw.get("advice")),
    )


def _advice(raw: Any) -> fleet.Advice | None:
    if not isinstance(raw, Mapping):
        return None
    return fleet.Advice(
        decision_ms=float(raw.get("decision_ms", 0.0)),
        period_ms=float(raw.get("period_ms", 0.0)),
        validity_ms=float(raw.get("validity_ms", 0.0)),
    )


def _pool(raw: Mapping[str, Any]) -> fleet.Pool:
    return fleet.Pool(
        name=str(raw["name"]),
        guarded=bool(raw.get("enforces_capacity", False)),
        standby=bool(raw.get("standby", False)),
    )


def wave(key: str, document: Mapping[str, Any]) -> fleet.WaveOrder:
    """Decodes a row "wave/N"."""
    return fleet.WaveOrder(
        name=key,
        number=int(document["wave"]),
        machines=tuple(str(name) for name in document.get("machines", ())),
        duration_s=float(document.get("duration_s", 0.0)),
        max_count=max(1, int(document.get("max_count", 1))),
    )


def wave_status(completed: bool) -> dict[str, str]:
    """Encodes what the operators read of a wave."""
    return {"state": "completed" if completed else "running"}
