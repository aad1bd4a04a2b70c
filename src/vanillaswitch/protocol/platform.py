"""The interface to the platform: table, objects, instances and workers.

Another platform is one new adapter behind these types. Outcomes are values;
no method raises for an outage. Each method blocks its own task only.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

ABSENT = 0
"""The version of a row that does not exist (never written, or deleted)."""


@dataclasses.dataclass(frozen=True)
class Row:
    """One row of the table.

    Attributes:
        key: slash-separated name.
        version: number of the commit that wrote it. Commit numbers grow over
            the whole table and are never reused, so a deleted and rewritten
            row never shows an old version again.
        value: JSON-compatible mapping.
        token: the token of the transaction that wrote it.
    """

    key: str
    version: int
    value: Mapping[str, Any]
    token: str


@dataclasses.dataclass(frozen=True)
class Check:
    """A condition of a transaction: the row still has this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A write, which is also a check: the row still has ``version``.

    Attributes:
        key: the row.
        version: the expected version; ``ABSENT`` inserts.
        value: the new value, or None to delete the row.
    """

    key: str
    version: int
    value: Mapping[str, Any] | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Checks and writes that happen together or not at all.

    Attributes:
        token: unique to this transaction; sent again only with the same
            content, to settle an unknown outcome.
    """

    token: str
    puts: tuple[Put, ...]
    checks: tuple[Check, ...] = ()


@dataclasses.dataclass(frozen=True)
class Committed:
    """The transaction took effect as commit number ``version``."""

    version: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """The transaction did not take effect.

    Attributes:
        found: rows whose versions differed, as they are; a missing row is
            given with version ``ABSENT`` and an empty value.
    """

    found: tuple[Row, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The call surely had no effect: the platform could not be asked."""

    reason: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The call was sent and not answered: it may take effect, even later."""

    reason: str


CommitOutcome = Committed | Conflict | Unavailable | OutcomeUnknown


@dataclasses.dataclass(frozen=True)
class Rows:
    """Rows that were found, by ascending key; missing ones left out."""

    rows: tuple[Row, ...]


ReadOutcome = Rows | Unavailable


class Table(Protocol):
    """The platform's transactional table."""

    def read(self, keys: Sequence[str]) -> ReadOutcome:
        """Reads rows by name, all as of one commit."""

    def scan(self, prefix: str, after: str = "", limit: int = 0) -> ReadOutcome:
        """Reads each row whose key starts with ``prefix``, as of one commit.

        Args:
            prefix: what the keys start with.
            after: only keys greater than this one, to read page by page.
            limit: at most so many rows; 0 for all.
        """

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Tries a transaction once; never sends it again by itself."""


@dataclasses.dataclass(frozen=True)
class Body:
    """An object's content."""

    content: bytes


@dataclasses.dataclass(frozen=True)
class Missing:
    """There is no such thing."""


@dataclasses.dataclass(frozen=True)
class Done:
    """The call took effect."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects, named by SHA-256 in hex."""

    def put(self, digest: str, content: bytes) -> Done | Unavailable:
        """Stores an object; storing it again is harmless."""

    def get(self, digest: str) -> Body | Missing | Unavailable:
        """Fetches an object."""


class InstanceKind(enum.StrEnum):
    """What an instance is for."""

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class ListedState(enum.StrEnum):
    """What the lagging list says of an instance."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Listing:
    """One line of the platform's list of instances.

    Attributes:
        instance: its name, unique over the fleet and never reused.
        address: "ip:port"; for an entry that of its callers' port, for a
            worker empty.
        service: the service whose program a minion runs; empty for others.
        cores: processors.
        memory_mb: memory in mebibytes.
    """

    instance: str
    kind: InstanceKind
    state: ListedState
    data_centre: str
    rack: str
    address: str = ""
    service: str = ""
    cores: float = 0.0
    memory_mb: int = 0
    accelerators: int = 0


@dataclasses.dataclass(frozen=True)
class Listings:
    """The list, which may be seconds old."""

    instances: tuple[Listing, ...]


class Phase(enum.StrEnum):
    """Where an instance stands with respect to maintenance."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """What an instance says of itself right now (not lagging).

    Attributes:
        phase: where it stands.
        operation: id of the last drain, reboot or resume it accepted.
        in_flight: requests or tasks still running on it.
        boots: how often it booted, counted by the platform.
    """

    instance: str
    phase: Phase
    operation: str
    in_flight: int
    boots: int


class Instances(Protocol):
    """Listing, draining and rebooting of instances.

    ``operation`` is an id that the caller wrote to the table first; the
    platform does an operation once, however often it is asked for.
    """

    def list(self) -> Listings | Unavailable:
        """Reads the lagging list."""

    def status(
        self, names: Sequence[str]
    ) -> tuple[InstanceStatus, ...] | Unavailable:
        """Asks instances themselves; those that do not answer are left out."""

    def drain(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Takes no new work on an instance; what runs goes on."""

    def reboot(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Reboots an instance; it comes back drained, on new software."""

    def resume(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Takes new work again."""


class TaskState(enum.StrEnum):
    """What a worker says of a task."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_LAPSED = "lease-lapsed"


@dataclasses.dataclass(frozen=True)
class TaskSpec:
    """What a worker is asked to run.

    Attributes:
        task: unique name of this task of a job.
        operation: id of this start; a worker starts an operation once.
        checkpoint: name of the checkpoint to resume from; empty for none.
    """

    task: str
    job: str
    operation: str
    cores: float
    memory_mb: int
    accelerators: int
    lease_s: float
    checkpoint: str = ""


@dataclasses.dataclass(frozen=True)
class TaskReport:
    """A worker's lagging report of one task."""

    task: str
    operation: str
    worker: str
    state: TaskState
    cores_used: float
    memory_mb_used: int
    checkpoint: str = ""


class Workers(Protocol):
    """Tasks under leases on workers. Every call is idempotent."""

    def start(
        self, worker: str, spec: TaskSpec
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Starts a task under a lease."""

    def renew(
        self, worker: str, operations: Sequence[str], lease_s: float
    ) -> Done | Missing | Unavailable:
        """Renews the leases of one worker's tasks in one message."""

    def checkpoint(
        self, worker: str, operation: str
    ) -> Done | Missing | Unavailable:
        """Asks a task to write a checkpoint."""

    def throttle(
        self, worker: str, operation: str, share: float
    ) -> Done | Missing | Unavailable:
        """Limits a task to ``share`` (0 to 1) of its processors."""

    def stop(
        self, worker: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Stops a task."""

    def reports(self) -> tuple[TaskReport, ...] | Unavailable:
        """Reads the lagging reports of every worker."""


@dataclasses.dataclass(frozen=True)
class Platform:
    """All that the platform gives."""

    table: Table
    objects: ObjectStore
    instances: Instances
    workers: Workers
