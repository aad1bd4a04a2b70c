"""The fleet as its owner sees it, the orders it sends and their outcomes.

A run is one attempt of an instance to execute a task. The runs of a task are
numbered; a later run has a higher number.
"""

from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import enum
from typing import Protocol

from vanillaswitch.protocol import accounts as account_lib
from vanillaswitch.protocol import jobs

UNLIMITED_COUNT = 2**31
"""Stands for any number of tasks."""


@dataclasses.dataclass(frozen=True)
class Resources:
    """Capacity or demand.

    Attributes:
        cpu: thousandths of a core.
        mem_mb: megabytes of memory.
        gpu: number of accelerators.
    """

    cpu: int
    mem_mb: int
    gpu: int = 0

    def as_text(self) -> str:
        """Returns "CPU/MEM_MB/GPU"."""
        return f"{self.cpu}/{self.mem_mb}/{self.gpu}"

    def fitting_count(self, need: "Resources") -> int:
        """Returns how many times this capacity covers a need.

        Args:
            need: demand of one task.

        Returns:
            The count, 0 if a quantity is negative, and ``UNLIMITED_COUNT`` if
            the need is zero in every quantity.
        """
        counts = [
            max(0, available // wanted)
            for available, wanted in (
                (self.cpu, need.cpu),
                (self.mem_mb, need.mem_mb),
                (self.gpu, need.gpu),
            )
            if wanted
        ]
        return min(counts, default=UNLIMITED_COUNT)


@dataclasses.dataclass(frozen=True)
class Load:
    """The total load of tasks that end by themselves.

    Attributes:
        cpu: thousandths of a core that the tasks request.
        cpu_time: sum over the tasks of ``cpu`` times the estimated duration in
            milliseconds.
    """

    cpu: int = 0
    cpu_time: float = 0.0

    @property
    def mean_task_s(self) -> float:
        """Mean estimated duration of a task in seconds, weighted by cpu."""
        return self.cpu_time / self.cpu / 1000 if self.cpu > 0 else 0.0

    def with_tasks(
        self, step: jobs.Step, count: int, duration_ms: float | None = None
    ) -> "Load":
        """Returns the load with ``count`` tasks of a step added to it.

        A negative ``count`` removes tasks. Tasks that don't end by themselves
        or use only spare processor time change nothing.

        Args:
            step: the step.
            count: number of tasks.
            duration_ms: estimated duration of a task; None for the declared
                one.
        """
        if step.long_running or step.fills:
            return self
        cpu = step.cpu * count
        if duration_ms is None:
            duration_ms = step.estimate_ms
        return Load(self.cpu + cpu, self.cpu_time + cpu * duration_ms)

    def __add__(self, other: "Load") -> "Load":
        """Returns the sum of both loads."""
        return Load(self.cpu + other.cpu, self.cpu_time + other.cpu_time)


AdvisorConfig = jobs.AdvisorConfig


@dataclasses.dataclass(frozen=True)
class Queue:
    """A queue to which clients submit jobs.

    A job should end within its objective: ``stretch`` times the estimated
    duration of its longest chain of steps, plus ``target_ms``.

    Attributes:
        prefix: prefix of the paths of its requests.
        service: pool of the instances that run its tasks.
        priority: lower values go first; 0 is the highest priority.
        max_attempts: number of failed runs of one task that fails the job.
        stretch: factor on the estimated duration in the objective.
        target_duration_ms: constant part of the objective.
        timeout_ms: part of the operators' configuration; not used.
        advice: settings of its advisor; None if its steps may run on any
            instance.
        is_public: clients need no API key.
    """

    name: str
    host: str
    prefix: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_duration_ms: float = 0.0
    timeout_ms: float = 0.0
    advice: AdvisorConfig | None = None
    is_public: bool = True


@dataclasses.dataclass(frozen=True)
class Pool:
    """The instances of a service.

    Attributes:
        enforces_capacity: its instances refuse tasks that exceed their
            capacity.
        is_standby: its machines are off.
    """

    name: str
    enforces_capacity: bool
    is_standby: bool


@dataclasses.dataclass(frozen=True)
class FleetConfig:
    """One version of the operators' configuration.

    Attributes:
        account_problems: what is wrong with accounts of the configuration.
    """

    version: int
    queues: tuple[Queue, ...]
    pools: Mapping[str, Pool]
    max_body_bytes: int
    accounts: account_lib.AccountDirectory = account_lib.AccountDirectory()
    account_problems: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True)
class WaveOrder:
    """A maintenance wave that the operators ordered.

    Attributes:
        name: key of the order's row; the progress is reported under it.
        duration_s: time limit for the wave, counted from the order.
        max_count: maximum number of machines in maintenance at a time.
    """

    name: str
    number: int
    machines: tuple[str, ...]
    duration_s: float
    max_count: int


@dataclasses.dataclass(frozen=True)
class Registration:
    """An instance's own entry in the platform's list.

    Attributes:
        instance: id of the instance.
        address: "ip:port".
        is_draining: it accepts no new work and is about to leave.
        labels: the first is the kind of machine, the last is the rack.
        born_ms: start time in milliseconds since the Unix epoch; None if the
            entry has none. An instance can restart under the same id; it
            then runs none of its earlier tasks.
    """

    instance: str
    service: str
    address: str
    zone: str
    is_draining: bool
    capacity: Resources
    labels: tuple[str, ...]
    born_ms: int | None = None

    @property
    def rack(self) -> str:
        """The rack of the instance; empty if it has fewer than two labels."""
        return self.labels[-1] if len(self.labels) > 1 else ""


class MachineState(enum.StrEnum):
    """The state of a machine.

    Attributes:
        UP: it is in operation.
        MOVING: it is changing to another pool.
        MAINTENANCE: it is in maintenance.
        DOWN: it is not in operation.
        UNKNOWN: the platform lists a state that this version does not know.
    """

    UP = "up"
    MOVING = "moving"
    MAINTENANCE = "upkeep"
    DOWN = "down"
    UNKNOWN = "unknown"


@dataclasses.dataclass(frozen=True)
class Machine:
    """A machine in the platform's list.

    Attributes:
        instance: id of the instance on the machine; empty for none.
    """

    name: str
    pool: str
    state: MachineState
    zone: str
    instance: str
    capacity: Resources


class RunOutcome(enum.StrEnum):
    """How a run ended.

    Attributes:
        DONE: the task is complete.
        FAILED: the task failed.
        STOPPED: it was stopped by an order.
        LEASE_EXPIRED: its lease was not renewed in time.
        BROKEN: another member of its gang failed.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    BROKEN = "broken"
    ALONE = "alone"


@dataclasses.dataclass(frozen=True)
class RunStatus:
    """The status of a run on an instance.

    Attributes:
        checkpoint: newest checkpoint; empty for none.
        percent: progress; for a long-running task, whether it is serving.
        gauge: tail latency in milliseconds for a task that serves users, else
            thousandths of a core in use; both over the last half second.
    """

    task: jobs.TaskName
    run: int
    checkpoint: str
    percent: float
    gauge: float = 0.0


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """The end of a run on an instance.

    Attributes:
        number: sequence number, which grows by one with each run that ends
            between two starts of the instance.
        checkpoint: newest checkpoint; empty for none.
    """

    number: int
    task: jobs.TaskName
    run: int
    outcome: RunOutcome
    checkpoint: str


class RefusalReason(enum.StrEnum):
    """Why an order was refused.

    Attributes:
        FENCED: the receiver has seen a higher fencing token.
        STALE_RUN: the instance knows the same or a later run of the task.
        DEADLINE_PASSED: the end of the lease in the order has passed.
        NO_CAPACITY: the task exceeds the capacity of the instance.
        INVALID_TICKET: the ticket of the advisor is invalid.
        INVALID: the order is invalid, or the reason is unknown.
        UNHEALTHY: the instance answered with an unexpected status.
    """

    FENCED = "fence"
    STALE_RUN = "old"
    DEADLINE_PASSED = "late"
    NO_CAPACITY = "room"
    INVALID_TICKET = "ticket"
    INVALID = "invalid"
    UNHEALTHY = "unhealthy"


@dataclasses.dataclass(frozen=True)
class StatusReport:
    """An instance's status report.

    Attributes:
        clock_ms: the instance's own clock at the time of the answer.
        running: all runs that are there.
        ended_runs: the oldest ends that are not acknowledged yet.
        born_ms: see ``Registration``.
        is_page_full: ``ended_runs`` has as many ends as a report can have, so
            there may be later ends that it does not list.
    """

    clock_ms: float
    running: tuple[RunStatus, ...]
    ended_runs: tuple[RunEnd, ...]
    born_ms: int | None = None
    is_page_full: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The order took effect.

    Attributes:
        clock_ms: the instance's own clock at the time of the answer; None if
            the answer has none.
    """

    clock_ms: float | None


@dataclasses.dataclass(frozen=True)
class Refused:
    """The order had no effect; an earlier copy of it may still take effect."""

    reason: RefusalReason
    clock_ms: float | None = None


@dataclasses.dataclass(frozen=True)
class InstanceReplaced:
    """A different instance answers at this address."""


@dataclasses.dataclass(frozen=True)
class NoAnswer:
    """No usable answer arrived.

    Attributes:
        may_take_effect: whether the order may have taken effect or may still do
            so.
    """

    may_take_effect: bool
    reason: str


def is_fenced(outcome: object) -> bool:
    """Whether an order was refused because of a higher fencing token."""
    return (
        isinstance(outcome, Refused) and outcome.reason is RefusalReason.FENCED
    )


OrderOutcome = Accepted | Refused | InstanceReplaced | NoAnswer
RenewalOutcome = StatusReport | Refused | InstanceReplaced | NoAnswer


@dataclasses.dataclass(frozen=True)
class StartRequest:
    """The order to start a run of a task.

    Attributes:
        checkpoint: checkpoint to resume from; empty for none.
        token: fencing token of the sender.
        deadline_ms: end of the lease of all runs on the instance, on the
            instance's clock.
        ticket: ticket of the advisor; empty for none.
    """

    task: jobs.TaskName
    run: int
    spec: str
    checkpoint: str
    token: int
    deadline_ms: int
    ticket: str = ""


class Upstreams(Protocol):
    """Sends orders to instances, each once."""

    def start(
        self,
        target: Registration,
        order: StartRequest,
        timeout_s: float,
        fresh: bool,
    ) -> OrderOutcome:
        """Starts a run; idempotent while the run exists.

        Args:
            target: the instance.
            order: the run to start.
            timeout_s: time limit for the whole call.
            fresh: use a new connection instead of a pooled one.
        """

    def stop(
        self,
        target: Registration,
        task: jobs.TaskName,
        run: int,
        token: int,
        timeout_s: float,
    ) -> OrderOutcome:
        """Stops a run; one that has not started can no longer start."""

    def renew_lease(
        self,
        target: Registration,
        token: int,
        seen: int,
        deadline_ms: int | None,
        wait_s: float,
        timeout_s: float,
        fresh: bool = False,
    ) -> RenewalOutcome:
        """Extends the lease of all runs and returns a status report.

        Args:
            target: the instance.
            token: fencing token of the sender.
            seen: number of the last ``RunEnd`` that the sender has recorded.
            deadline_ms: new end of the lease on the instance's clock; None to
                leave it unchanged.
            wait_s: how long the instance may wait for a run to end.
            timeout_s: time limit for the whole call.
            fresh: use a new connection instead of a pooled one.
        """

    def set_pace(
        self,
        target: Registration,
        task: jobs.TaskName,
        run: int,
        percent: int,
        token: int,
    ) -> OrderOutcome:
        """Limits a run to a percentage of its full speed."""


@dataclasses.dataclass(frozen=True)
class Busy:
    """The machine is not up or is leaving."""


class Machines(Protocol):
    """The platform's list of machines and the orders for them."""

    def list(self) -> Sequence[Machine] | NoAnswer:
        """Reads the complete list."""

    def move(
        self, machine: str, pool: str, token: int
    ) -> Accepted | Refused | Busy | NoAnswer:
        """Moves a machine to a pool; ends everything on it immediately."""

    def maintain(
        self, machine: str, wave: int, token: int
    ) -> Accepted | Refused | Busy | NoAnswer:
        """Starts a machine's maintenance; ends everything on it immediately."""


@dataclasses.dataclass(frozen=True)
class Tickets:
    """The instances that may run a step.

    Attributes:
        by_instance: for each instance, the ticket to send with a start.
        validity_s: how long the tickets are valid; 0 if the service does not
            say, so that the settings of the queue apply.
    """

    by_instance: Mapping[str, str]
    validity_s: float


@dataclasses.dataclass(frozen=True)
class AdvisorOverloaded:
    """The advisor refused a call, because too many calls wait for their turn.

    Calls that this process gave up still wait there.
    """


AdviceOutcome = Tickets | AdvisorOverloaded | NoAnswer


class Advisor(Protocol):
    """The service that decides which instances may run a step.

    It handles the calls of one machine one at a time, in the order in which
    they arrive. It also handles those that were given up meanwhile.
    """

    def request_tickets(
        self,
        step: str,
        instances: Sequence[str],
        timeout_s: float,
        new_connection: bool,
    ) -> AdviceOutcome:
        """Requests tickets for a step on some instances.

        Args:
            step: the step as "ID.OCCURRENCE.STEP".
            instances: names of at most 100 instances.
            timeout_s: limit for the whole call.
            new_connection: use a new connection instead of a pooled one.
        """
