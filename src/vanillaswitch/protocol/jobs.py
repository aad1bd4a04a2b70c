"""Jobs, their steps and the names of their tasks."""

import dataclasses
import enum
import hashlib


def hash_spec(spec: str) -> str:
    """Returns the SHA-256 digest of a spec in hexadecimal."""
    return hashlib.sha256(spec.encode()).hexdigest()


class JobState(enum.StrEnum):
    """The state of a job as clients see it."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def is_final(self) -> bool:
        """Whether the state is final."""
        return self in _FINAL_STATES


_FINAL_STATES = frozenset(
    {JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED}
)


@dataclasses.dataclass(frozen=True)
class Step:
    """A group of identical tasks of a job.

    Attributes:
        count: number of tasks.
        cpu: thousandths of a core that each task requests.
        mem_mb: megabytes that each task requests.
        gpu: accelerators that each task requests.
        estimate_ms: rough duration of a task, as estimated by the client.
        after: numbers of earlier steps that must be done first.
        gang: all tasks must run at the same time, in the same run.
        same_rack: the tasks run slower when spread over several racks.
        requires: label that the instance must have; empty for none.
        affinity: rack that holds the data; empty for none.
        anti_affinity: maximum number of tasks of the step on one instance; 0
            for no limit.
        checkpointable: tasks save checkpoints from which they can resume.
        speculative: copies of a task may run in parallel.
        long_running: the tasks run until the job is cancelled.
        image: program that the tasks run; tasks of the same image behave alike.
        target_ms: upper bound on the tail latency of a task that serves
            users; 0 for other tasks.
        fills: the tasks use only processor time that others leave unused, so
            their ``cpu`` does not count against the instance's capacity.
        may_miss: disruption budget: how many of the tasks this program may
            interrupt at the same time; 0 for no limit.
    """

    count: int
    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0
    estimate_ms: float = 0
    after: tuple[int, ...] = ()
    gang: bool = False
    same_rack: bool = False
    requires: str = ""
    affinity: str = ""
    anti_affinity: int = 0
    checkpointable: bool = False
    speculative: bool = False
    long_running: bool = False
    image: str = ""
    target_ms: float = 0
    fills: bool = False
    may_miss: int = 0


@dataclasses.dataclass(frozen=True)
class AdvisorConfig:
    """Settings of the advisor that decides where a queue's steps may run.

    Attributes:
        decision_ms: time that the advisor takes for a call.
        period_ms: additional time for each instance in the call.
        validity_ms: how long a ticket is valid.
    """

    decision_ms: float
    period_ms: float
    validity_ms: float


@dataclasses.dataclass(frozen=True)
class Job:
    """A job as submitted; immutable.

    Attributes:
        job_id: 16 hexadecimal digits chosen by the client.
        queue: name of the queue that it was submitted to.
        service: pool of the queue at that time, used if the queue is removed.
        spec: opaque text that is passed to the instances.
        submitted_ms: when the process that serves the client accepted the
            job, on the store's monotonic clock; 0 if unknown.
        repeat_count: how often the steps run; each time is an occurrence of the
            job. 0 for an unscheduled job, which has one occurrence.
        first_run_ms: due time of the first occurrence, milliseconds since
            the Unix epoch.
        interval_ms: time between the due times of two occurrences.
        submitted_wall_ms: wall clock of that process at ``submitted_ms``,
            milliseconds since the Unix epoch. Processes use it to agree on
            one wall clock.
        spec_digest: digest of a spec that is stored in a separate row and is
            not in ``spec``; empty if ``spec`` holds it.
        account: client account that submitted it; empty for a public queue.
        attempt_limit: number of failed runs of one task that fails the job, as
            its queue said when it was submitted; 0 if unknown. Used if the
            queue is removed.
        advice: advisor of its queue at that time; None for none or if unknown.
            Used by owners that never knew the queue.
    """

    job_id: str
    queue: str
    service: str
    spec: str
    steps: tuple[Step, ...]
    submitted_ms: int
    repeat_count: int = 0
    first_run_ms: float = 0
    interval_ms: float = 0
    submitted_wall_ms: float = 0
    spec_digest: str = ""
    account: str = ""
    attempt_limit: int = 0
    advice: AdvisorConfig | None = None

    def is_visible_to(self, account: str) -> bool:
        """Whether a client account may see and cancel the job."""
        return self.account == account

    @property
    def occurrence_count(self) -> int:
        """How often the steps run in total."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> float:
        """Returns when an occurrence may start, ms since the Unix epoch."""
        if not self.repeat_count:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms

    def due_count(self, wall_ms: float) -> int:
        """Returns how many occurrences may start by some time.

        Args:
            wall_ms: time of day in milliseconds since the Unix epoch.
        """
        count = self.occurrence_count
        if self.due_ms(0) > wall_ms:
            return 0
        if self.due_ms(count - 1) <= wall_ms:
            return count
        due = int((wall_ms - self.first_run_ms) / self.interval_ms) + 1
        # The quotient may be rounded to a neighbouring number.
        if self.due_ms(due - 1) > wall_ms:
            return due - 1
        return due + (self.due_ms(due) <= wall_ms)


@dataclasses.dataclass(frozen=True, order=True)
class TaskName:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def path_in_job(self) -> str:
        """The position within the job, "OCCURRENCE.STEP.INDEX"."""
        return f"{self.occurrence}.{self.step}.{self.index}"
