"""The shape of a checked configuration.

Names of fields carry their unit. Everything is frozen; a change is a new
version as a whole. ``vanillaswitch.state.folder`` reads it from a folder.
"""

from collections.abc import Mapping
import dataclasses
import enum

LONGEST_RETENTION_S = 86_400
"""The longest time for which claims can be kept, in seconds.

Claims are kept that long whatever is set. To raise it, upgrade all
controllers first: an older one would delete what a newer entry counts on.
"""


@dataclasses.dataclass(frozen=True)
class DataCentre:
    """A failure domain with its own power and network."""

    region: str


class RequestKind(enum.StrEnum):
    """Whether a request may be run twice."""

    IDEMPOTENT = "idempotent"
    ONCE = "once"


@dataclasses.dataclass(frozen=True)
class RequestClass:
    """How requests of a class are treated.

    Attributes:
        priority: lower goes first.
        kind: ``once`` marks charges and orders.
        weight: share of slots that is kept for this class under overload, so
            that the lower classes still progress.
        queue_limit: how many may wait in one entry.
        expected_ms: first guess of the work time, before any was measured.
    """

    priority: int
    kind: RequestKind
    weight: int = 1
    queue_limit: int = 64
    expected_ms: float = 20.0


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests whose method and path match belong to a class.

    Attributes:
        path: prefix below ``/<service>``; the longest match wins.
    """

    method: str
    path: str
    request_class: str


@dataclasses.dataclass(frozen=True)
class AvailabilityBudget:
    """How much of a service may be down at once, planned or not."""

    minions_down: int
    workers_down: int


@dataclasses.dataclass(frozen=True)
class Service:
    """A service that callers name.

    Attributes:
        minions: how many minions it is meant to have.
        slots_per_minion: requests that a minion works on at once.
        connections_per_minion: connections it accepts, from all entries.
        not_run_statuses: statuses with which its minions say "not run".
        attempt_timeout_ms: silence after which one attempt is given up.
    """

    availability_budget: AvailabilityBudget
    routes: tuple[Route, ...]
    minions: int
    slots_per_minion: int = 8
    connections_per_minion: int = 64
    not_run_statuses: tuple[int, ...] = ()
    attempt_timeout_ms: int = 1000


@dataclasses.dataclass(frozen=True)
class Pool:
    """A pool of workers that carries jobs of one service.

    Attributes:
        workers: how many workers it is meant to have.
    """

    service: str
    workers: int


@dataclasses.dataclass(frozen=True)
class Team:
    """A team's quota over all pools."""

    cores: float
    memory_mb: int
    accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class Job:
    """Work that a pool must carry; sizes are for one task.

    Attributes:
        tasks: how many tasks run side by side.
        urgent: starts before all that is not urgent.
        checkpoints: can go on from a checkpoint elsewhere.
        cancelled: its tasks are to be stopped.
    """

    pool: str
    team: str
    tasks: int
    cores: float
    memory_mb: int
    accelerators: int = 0
    urgent: bool = False
    checkpoints: bool = False
    cancelled: bool = False


class WaveTarget(enum.StrEnum):
    """Which instances a wave maintains."""

    MINIONS = "minions"
    WORKERS = "workers"


@dataclasses.dataclass(frozen=True)
class Wave:
    """A maintenance wave: each instance is drained, rebooted, resumed.

    Attributes:
        services: whose instances it maintains.
        canary: how many instances the first round takes.
        growth: factor between rounds.
        soak_s: how long the first round has to serve before the next begins.
        drain_limit_s: a drain that takes longer is told; it is never forced.
        background_failures_per_day: how many instances fail by themselves
            on an ordinary day, against which a wave's failures are judged.
    """

    services: tuple[str, ...]
    targets: WaveTarget
    canary: int = 1
    growth: float = 10.0
    soak_s: float = 0.0
    drain_limit_s: float = 600.0
    background_failures_per_day: float = 1.0


@dataclasses.dataclass(frozen=True)
class Policies:
    """Names of the variants in force and the limits around them.

    Attributes:
        routing: name in the registry of routing policies.
        retry_ratio: retries allowed for each first attempt.
        claim_retention_s: how old a request with a key may be; an older
            one is refused.
        max_body_bytes: largest request body.
        drain_poll_ms: how often entries read the drains.
        placement: name in the registry of placement orders.
    """

    routing: str = "lent-share"
    retry_ratio: float = 0.1
    claim_retention_s: int = LONGEST_RETENTION_S
    max_body_bytes: int = 1_048_576
    drain_poll_ms: int = 1000
    placement: str = "best-fit"


@dataclasses.dataclass(frozen=True)
class Config:
    """A whole configuration."""

    data_centres: Mapping[str, DataCentre]
    classes: Mapping[str, RequestClass]
    services: Mapping[str, Service]
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)
    teams: Mapping[str, Team] = dataclasses.field(default_factory=dict)
    jobs: Mapping[str, Job] = dataclasses.field(default_factory=dict)
    waves: Mapping[str, Wave] = dataclasses.field(default_factory=dict)
    policies: Policies = Policies()
