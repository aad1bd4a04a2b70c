"""Jobs of several steps, and the names of their tasks."""

import dataclasses
import enum
import hashlib


def digest(spec: str) -> str:
    """Returns what tells a spec from any other one."""
    return hashlib.sha256(spec.encode()).hexdigest()


class JobState(enum.StrEnum):
    """What a client is told of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"

    @property
    def ended(self) -> bool:
        """Whether the state never changes again."""
        return self in _ENDED


_ENDED = frozenset({JobState.COMPLETED, JobState.FAILED, JobState.CANCELLED})


@dataclasses.dataclass(frozen=True)
class Step:
    """A number of equal tasks.

    Attributes:
        count: how many tasks.
        cpu: thousandths of a core that each task requests.
        mem_mb: megabytes that each task requests.
        gpu: accelerators that each task requests.
        estimate_ms: rough duration of a task as its client guessed it.
        after: numbers of earlier steps that must be done first.
        gang: the tasks only work together, all in one run.
        same_rack: the tasks are slower when spread over several racks.
        requires: label that the instance must have; empty for none.
        affinity: rack that holds the data; empty for none.
        anti_affinity: at most so many tasks of the step on one instance; 0
            for no limit.
        checkpointable: progress is saved and can be resumed.
        speculative: copies may run in parallel.
        long_running: the tasks run until the job is cancelled.
        image: what the tasks run; tasks of an image behave alike.
        target_ms: bound on the tail of the response times of a task that
            serves users; 0 for a task that serves none.
        fills: the tasks take the processors that others leave unused, so
            their ``cpu`` does not count against an instance.
        may_miss: so many tasks may be down at once by our own doing; 0 when
            the job sets no such limit.
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
class Job:
    """A job as it was handed in; never changes afterwards.

    Attributes:
        job_id: 16 hexadecimal digits chosen by the client.
        queue: name of the queue that it was handed in to.
        service: pool that the queue had then, used when the queue is gone.
        spec: opaque text that the instances are given.
        submitted_ms: when its entry took it in, on the store's steady clock;
            0 where that was not known.
        repeat_count: how often the steps run; 0 for a job without times.
        first_run_ms: due time of the first occurrence, milliseconds since
            1970.
        interval_ms: time between the due times of two occurrences.
        submitted_wall_ms: time of day of the entry at ``submitted_ms``,
            milliseconds since 1970. By it processes agree on one.
        spec_digest: of a spec that lies in a row of its own and is not here;
            empty where ``spec`` holds it.
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

    @property
    def occurrences(self) -> int:
        """How often the steps run in all."""
        return max(1, self.repeat_count)

    def due_ms(self, occurrence: int) -> float:
        """Returns when an occurrence may start, milliseconds since 1970."""
        if not self.repeat_count:
            return 0
        return self.first_run_ms + occurrence * self.interval_ms


@dataclasses.dataclass(frozen=True, order=True)
class TaskName:
    """One task of one occurrence of a job."""

    job_id: str
    occurrence: int
    step: int
    index: int

    @property
    def label(self) -> str:
        """Its place in its job: "OCCURRENCE.STEP.INDEX"."""
        return f"{self.occurrence}.{self.step}.{self.index}"
