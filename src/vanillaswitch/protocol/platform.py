"""Interface to the platform: table, objects, instances and workers.

Support for another platform takes one adapter that implements these types.
Methods return outcomes as values and never raise for an outage. Each method
blocks only the task that calls it.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any
from typing import Protocol

ABSENT = 0
"""The version of a row that does not exist (never written or deleted)."""


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of the table.

    Attributes:
        key: slash-separated name.
        version: number of the commit that wrote it. Commit numbers grow over
            the whole table and are never reused, so a row that is deleted and
            written again never gets an old version.
        value: JSON-compatible mapping.
        token: token of the transaction that wrote it.
    """

    key: str
    version: int
    value: Mapping[str, Any]
    token: str


@dataclasses.dataclass(frozen=True)
class Check:
    """A precondition of a transaction: the row still has this version."""

    key: str
    version: int


@dataclasses.dataclass(frozen=True)
class Put:
    """A write with the precondition that the row still has ``version``.

    Attributes:
        key: key of the row.
        version: expected version; ``ABSENT`` to insert a row.
        value: new value; None to delete the row.
    """

    key: str
    version: int
    value: Mapping[str, Any] | None


@dataclasses.dataclass(frozen=True)
class Transaction:
    """Checks and writes that are applied atomically.

    Attributes:
        token: unique id of the transaction. Reuse it only to send the same
            content again, which resolves an unknown outcome.
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
        found: current state of the rows whose versions differed; a row that
            does not exist has version ``ABSENT`` and an empty value.
    """

    found: tuple[Row, ...]


@dataclasses.dataclass(frozen=True)
class Unavailable:
    """The platform was unavailable; the call certainly had no effect."""

    reason: str


@dataclasses.dataclass(frozen=True)
class OutcomeUnknown:
    """The call was sent without an answer: it may take effect, even later."""

    reason: str


CommitOutcome = Committed | Conflict | Unavailable | OutcomeUnknown


@dataclasses.dataclass(frozen=True)
class Rows:
    """The rows that exist, in ascending order of their keys."""

    rows: tuple[Row, ...]


ReadOutcome = Rows | Unavailable


class Table(Protocol):
    """The platform's transactional table."""

    def read(self, keys: Sequence[str]) -> ReadOutcome:
        """Reads rows by key, all as of the same commit."""

    def scan(self, prefix: str, after: str = "", limit: int = 0) -> ReadOutcome:
        """Reads all rows whose keys start with ``prefix``, as of one commit.

        Args:
            prefix: prefix of the keys.
            after: return only keys greater than this one, for paging.
            limit: maximum number of rows; 0 for all.
        """

    def commit(self, transaction: Transaction) -> CommitOutcome:
        """Tries a transaction once; never retries on its own."""


@dataclasses.dataclass(frozen=True)
class ObjectContent:
    """The content of an object."""

    content: bytes


@dataclasses.dataclass(frozen=True)
class Missing:
    """The named object, instance, worker or task does not exist."""


@dataclasses.dataclass(frozen=True)
class Done:
    """The call took effect."""


class ObjectStore(Protocol):
    """The platform's store of immutable objects, keyed by SHA-256 in hex."""

    def put(self, digest: str, content: bytes) -> Done | Unavailable:
        """Stores an object; idempotent."""

    def get(self, digest: str) -> ObjectContent | Missing | Unavailable:
        """Fetches an object."""


class InstanceKind(enum.StrEnum):
    """The purpose of an instance.

    Attributes:
        ENTRY: accepts requests of callers and forwards them to minions.
        MINION: handles requests of callers.
        WORKER: runs tasks of jobs.
    """

    ENTRY = "entry"
    MINION = "minion"
    WORKER = "worker"


class ListedState(enum.StrEnum):
    """The state of an instance in the list, which may be out of date."""

    LIVE = "live"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Listing:
    """An entry of the platform's list of instances.

    Attributes:
        instance: name, unique over the fleet and never reused.
        address: "ip:port"; for an entry, the port for callers; empty for a
            worker.
        service: the service whose program a minion runs; empty for others.
        cores: number of processor cores.
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
    """The list of instances, which may be some seconds old."""

    instances: tuple[Listing, ...]


class MaintenancePhase(enum.StrEnum):
    """The maintenance phase of an instance."""

    SERVING = "serving"
    DRAINING = "draining"
    DRAINED = "drained"
    REBOOTING = "rebooting"
    DOWN = "down"


@dataclasses.dataclass(frozen=True)
class InstanceStatus:
    """The current status of an instance, as the instance itself reports it.

    Attributes:
        phase: maintenance phase.
        operation: id of the last drain, reboot or resume that it accepted.
        in_flight: number of requests or tasks that still run on it.
        boots: how often it has booted, as counted by the platform.
    """

    instance: str
    phase: MaintenancePhase
    operation: str
    in_flight: int
    boots: int


class Instances(Protocol):
    """Lists, drains and reboots instances.

    ``operation`` is an id that the caller wrote to the table beforehand. The
    platform performs each operation once, however often it is requested.
    """

    def list(self) -> Listings | Unavailable:
        """Reads the list, which may be out of date."""

    def status(
        self, names: Sequence[str]
    ) -> tuple[InstanceStatus, ...] | Unavailable:
        """Asks the instances themselves; omits those that don't answer."""

    def drain(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Makes an instance refuse new work; running work continues."""

    def reboot(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Reboots an instance; it returns drained and with new software."""

    def resume(
        self, instance: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Makes an instance accept new work again."""


class ReportedTaskState(enum.StrEnum):
    """The state of a task as its worker reports it."""

    RUNNING = "running"
    FINISHED = "finished"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lease-lapsed"


@dataclasses.dataclass(frozen=True)
class TaskSpec:
    """The task that a worker is asked to start.

    Attributes:
        task: unique name of the task of a job.
        operation: id of this start; a worker performs each operation once.
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
    """A worker's report of a task, which may be out of date."""

    task: str
    operation: str
    worker: str
    state: ReportedTaskState
    cores_used: float
    memory_mb_used: int
    checkpoint: str = ""


class Workers(Protocol):
    """Runs tasks under leases on workers; every call is idempotent."""

    def start(
        self, worker: str, spec: TaskSpec
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Starts a task under a lease."""

    def renew(
        self, worker: str, operations: Sequence[str], lease_s: float
    ) -> Done | Missing | Unavailable:
        """Renews the leases of several tasks of a worker in one message."""

    def checkpoint(
        self, worker: str, operation: str
    ) -> Done | Missing | Unavailable:
        """Asks a task to write a checkpoint."""

    def throttle(
        self, worker: str, operation: str, share: float
    ) -> Done | Missing | Unavailable:
        """Limits a task to ``share`` (0 to 1) of its cores."""

    def stop(
        self, worker: str, operation: str
    ) -> Done | Missing | Unavailable | OutcomeUnknown:
        """Stops a task."""

    def reports(self) -> tuple[TaskReport, ...] | Unavailable:
        """Reads the reports of all workers, which may be out of date."""


@dataclasses.dataclass(frozen=True)
class Platform:
    """All interfaces of the platform."""

    table: Table
    objects: ObjectStore
    instances: Instances
    workers: Workers
