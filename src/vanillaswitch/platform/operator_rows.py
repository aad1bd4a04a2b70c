"""Rows that operators write: configurations and maintenance waves.

The platform's names differ from this program's: a route is a queue, a service
is a pool, and a tenant is a client account.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.platform import validation
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable

CONFIG_KEY = "config"
WAVE_PREFIX = "wave/"

OPERATOR_TABLE = "op"
"""The table that operators write."""

STATUS_TABLE = "status"
"""The table of wave states, which operators read."""

_MAX_BODY_BYTES = 262_144


@dataclasses.dataclass(frozen=True)
class _Advice:
    """Parameters of the placement advisor for a queue.

    Attributes:
        decision_ms: time that the advisor takes for a call.
        period_ms: additional time for each instance in the call.
        validity_ms: how long a ticket is valid.
    """

    decision_ms: float = 0.0
    period_ms: float = 0.0
    validity_ms: float = 0.0


@dataclasses.dataclass(frozen=True)
class _Route:
    """A queue of jobs.

    Attributes:
        path_prefix: paths of the queue's jobs begin with it.
        service: pool of the instances that run the queue's tasks.
        priority: 0 is the highest.
        max_attempts: number of failed runs of one task that fail its job.
        stretch: factor on the estimated duration of the job's longest chain of
            steps in the latency objective.
        target_duration_ms: constant part of the latency objective.
        timeout_ms: not used.
        advice: parameters of the advisor; null if steps may run anywhere.
        public: calls need no API key.
    """

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
    public: bool = False

    def to_queue(self, requires_keys: bool) -> fleet.Queue:
        advice = self.advice
        return fleet.Queue(
            name=self.name,
            host=self.host.lower(),
            prefix=self.path_prefix,
            service=self.service,
            priority=self.priority,
            max_attempts=max(1, self.max_attempts),
            stretch=self.stretch,
            target_duration_ms=self.target_duration_ms,
            timeout_ms=self.timeout_ms,
            advice=fleet.AdvisorConfig(**vars(advice)) if advice else None,
            is_public=self.public or not requires_keys,
        )


@dataclasses.dataclass(frozen=True)
class _Service:
    """A pool of instances.

    Attributes:
        enforces_capacity: its instances refuse tasks that do not fit.
        standby: its machines are off.
    """

    name: str
    enforces_capacity: bool = False
    standby: bool = False

    def to_pool(self) -> fleet.Pool:
        return fleet.Pool(self.name, self.enforces_capacity, self.standby)


@dataclasses.dataclass(frozen=True)
class _AccountLimit:
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


@dataclasses.dataclass(frozen=True)
class _Tenant:
    """A client account.

    Attributes:
        weight: jobs a second that it may send while all is full.
        max_count: what it may have running at a time; 0 for no limit.
    """

    name: str
    api_keys: tuple[str, ...] = ()
    priority: int = 0
    weight: float = 0.0
    max_count: _AccountLimit | None = None

    def to_account(self) -> accounts.ClientAccount:
        return accounts.ClientAccount(
            name=self.name,
            weight=max(0.0, self.weight),
            priority=self.priority,
            limit=accounts.ResourceLimit(
                **vars(self.max_count or _AccountLimit())
            ),
            # An empty key would let in calls whose key field is empty.
            key_digests=frozenset(
                accounts.digest_key(key.encode())
                for key in self.api_keys
                if key
            ),
        )


@dataclasses.dataclass(frozen=True)
class _Limits:
    max_body_bytes: int = _MAX_BODY_BYTES


@dataclasses.dataclass(frozen=True)
class _Config:
    version: int
    routes: tuple[_Route, ...] = ()
    services: tuple[_Service, ...] = ()
    limits: _Limits | None = None
    tenants: Any = ()


@dataclasses.dataclass(frozen=True)
class _Wave:
    """A maintenance wave.

    Attributes:
        wave: its number.
        duration_s: time from the order until all machines must be done.
        max_count: how many machines may be in maintenance at once.
    """

    wave: int
    machines: tuple[str, ...] = ()
    duration_s: float = 0.0
    max_count: int = 1


def decode_config(
    document: Mapping[str, Any], requires_keys: bool = False
) -> fleet.FleetConfig | unusable.Unusable:
    """Decodes the row "config" of the operators' table.

    Args:
        document: content of the row.
        requires_keys: whether calls need an API key unless their queue is
            public.
    """
    decoded = validation.parse_document(_Config, document)
    if isinstance(decoded, unusable.Unusable):
        return decoded
    tenants, problems = _decode_tenants(decoded.tenants)
    directory = accounts.AccountDirectory(
        tenant.to_account() for tenant in tenants
    )
    problems += [
        f"accounts {holder} and {other} have a key in common; it counts for "
        f"{holder}"
        for holder, other in directory.shared_keys
    ]
    return fleet.FleetConfig(
        version=decoded.version,
        queues=tuple(route.to_queue(requires_keys) for route in decoded.routes),
        pools={service.name: service.to_pool() for service in decoded.services},
        max_body_bytes=(decoded.limits or _Limits()).max_body_bytes,
        accounts=directory,
        account_problems=tuple(problems),
    )


def _decode_tenants(raw: Any) -> tuple[list[_Tenant], list[str]]:
    """Decodes client accounts one by one.

    A malformed account must not keep the rest of a configuration, such as a key
    that it removes from another account, from coming into force.

    Returns:
        The accounts that are well formed, and what is wrong with the others.
    """
    if not isinstance(raw, list | tuple):
        return [], ["the accounts are not a list"]
    tenants, problems = [], []
    for number, document in enumerate(raw):
        decoded = validation.parse_document(_Tenant, document)
        if isinstance(decoded, unusable.Unusable):
            problems.append(f"account {number}: {decoded.reason}")
        else:
            tenants.append(decoded)
    return tenants, problems


def decode_wave(
    key: str, document: Mapping[str, Any]
) -> fleet.WaveOrder | unusable.Unusable:
    """Decodes a row "wave/N" of the operators' table."""
    decoded = validation.parse_document(_Wave, document)
    if isinstance(decoded, unusable.Unusable):
        return decoded
    return fleet.WaveOrder(
        name=key,
        number=decoded.wave,
        machines=decoded.machines,
        duration_s=decoded.duration_s,
        max_count=max(1, decoded.max_count),
    )


def encode_wave_status(completed: bool) -> dict[str, str]:
    """Encodes the status row of a wave, which operators read."""
    return {"state": "completed" if completed else "running"}


def decode_wave_state(document: Mapping[str, Any]) -> str:
    """Returns the state in a wave's status row; empty if there is none."""
    state = document.get("state")
    return state if isinstance(state, str) else ""
