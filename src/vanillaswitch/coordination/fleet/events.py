"""What a process on the users' platform writes into its log, typed.

Each event is one line: a decision that touches a job or a request, or a change
of what the process believes, with what decided it and how old or which
version that was. docs/OPERATIONS.md shows how to get from a job's id to its
cause with them.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HandedIn:
    """A client handed in a job.

    Attributes:
        verdict: see ``intake.Verdict``.
        config_version: configuration by which its queue was found.
        waited_ms: time until the verdict was known.
    """

    job: str
    queue: str
    verdict: str
    config_version: int
    waited_ms: int


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request was refused.

    Attributes:
        target: path of the request; the job's id is its last part.
        code: stable name of the cause.
    """

    method: str
    target: str
    status: int
    code: str
    config_version: int


@dataclasses.dataclass(frozen=True)
class CancelAsked:
    """A client cancelled a job."""

    job: str
    verdict: str


@dataclasses.dataclass(frozen=True)
class JobTakenIn:
    """The owner heard of a job.

    Attributes:
        age_ms: time since its entry took it in, by the store's clock.
        pending: jobs of its queue that wait for their first start.
    """

    job: str
    queue: str
    age_ms: int
    pending: int


@dataclasses.dataclass(frozen=True)
class TaskAssigned:
    """A task was given to an instance.

    Attributes:
        free_cpu: thousandths of a core left there afterwards.
        tried: failed runs of it before.
    """

    job: str
    task: str
    run: int
    instance: str
    free_cpu: int
    tried: int


@dataclasses.dataclass(frozen=True)
class TaskEnded:
    """A run ended otherwise than as done.

    Attributes:
        how: see ``fleet.How``; "lost" when its instance is gone or its lease
            has lapsed, "withheld" when its start no longer fitted.
        failed: failed runs of it so far.
    """

    job: str
    task: str
    run: int
    instance: str
    how: str
    failed: int


@dataclasses.dataclass(frozen=True)
class RunCrashed:
    """An instance was lost soon after a run of a task began there.

    Attributes:
        kind: see ``crash_evidence.Kind``; "alone" is told only as the job is
            given up, since it is not known at once.
        apart: the task was suspected before, and ran apart.
        crashes: instances that were lost under the task so far.
        why: how that was found.
        decided_ms: time since its start was decided.
        begun_ms: time since it was first known to have begun; -1 where that
            is not known.
        beside: other runs on the instance.
        beginning: those of them that had begun as lately.
    """

    job: str
    queue: str
    task: str
    run: int
    instance: str
    kind: str
    apart: bool
    crashes: int
    why: str
    decided_ms: int
    begun_ms: int
    beside: int
    beginning: int


@dataclasses.dataclass(frozen=True)
class JobGivenUp:
    """A job is given up: a task of it crashes the instances that start it.

    Attributes:
        task: the task.
        evidence: the crashes under its runs, one text each.
    """

    job: str
    queue: str
    task: str
    evidence: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StartWithheld:
    """A start no longer fitted where it was to leave, and was not sent.

    Attributes:
        free_cpu: thousandths of a core left there with all that was decided;
            below 0 where the room has shrunk.
    """

    job: str
    task: str
    run: int
    instance: str
    free_cpu: int


@dataclasses.dataclass(frozen=True)
class StartRefused:
    """An instance refused a start.

    Attributes:
        certain: no earlier copy of the start can take effect any more.
    """

    job: str
    task: str
    run: int
    instance: str
    reason: str
    certain: bool


@dataclasses.dataclass(frozen=True)
class RunStopped:
    """A run is to be stopped.

    Attributes:
        why: what for.
        away: other tasks of its step that were not taken to be at work.
        spared: so many of its step may be away at once; 0 for no limit.
        unheard_ms: age of the oldest account that shows one of the others at
            work.
    """

    job: str
    task: str
    run: int
    instance: str
    why: str
    away: int = 0
    spared: int = 0
    unheard_ms: int = 0


@dataclasses.dataclass(frozen=True)
class RunTakenBack:
    """A run that was taken as over is listed, and goes on.

    Attributes:
        percent: how far it is.
    """

    job: str
    task: str
    run: int
    instance: str
    percent: float


@dataclasses.dataclass(frozen=True)
class JobEnded:
    """A job ended.

    Attributes:
        state: see ``jobs.JobState``.
        age_ms: time since the owner heard of it.
        cause: what ended it.
    """

    job: str
    queue: str
    state: str
    age_ms: int
    cause: str


@dataclasses.dataclass(frozen=True)
class InstanceChanged:
    """What is believed of an instance changed.

    Attributes:
        change: "listed", "draining", "silent", "suspended", "lapsed", "gone",
            "distrusted" where its entry can't be read, "restarted" where it
            started again under its id, "former" where what it said before
            that comes late.
        age_ms: time since it was last heard.
        runs: what it ran then.
    """

    instance: str
    service: str
    change: str
    why: str
    age_ms: int
    runs: int


@dataclasses.dataclass(frozen=True)
class RowUnusable:
    """A row of a table can't be used as it now is.

    Attributes:
        version: commit that wrote it.
        why: which field is wrong, and how.
    """

    table: str
    key: str
    version: int
    why: str


@dataclasses.dataclass(frozen=True)
class OwnerChanged:
    """A term of ownership began or ended, or another one's is over.

    Attributes:
        change: "began", "ended", "yielded", "found-over".
        holder: whose term.
        token: its fencing token; 0 when not known.
        age_ms: time since the owner's last write.
    """

    change: str
    holder: str
    token: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class ConfigInForce:
    """A configuration is in force in this process."""

    version: int
    queues: int


@dataclasses.dataclass(frozen=True)
class ErrandSent:
    """Another process was asked to do at the store what this one could not.

    Attributes:
        kind: "submit", "cancel" or "state".
        helper: where that process listens.
        verdict: what came of it; "unknown" without an answer.
    """

    job: str
    kind: str
    helper: str
    verdict: str


@dataclasses.dataclass(frozen=True)
class Dependency:
    """Something that this process needs was lost or is back.

    Attributes:
        state: "lost", "lost in part" or "back".
    """

    name: str
    state: str
    why: str


@dataclasses.dataclass(frozen=True)
class WaveChanged:
    """A wave of upkeep went on.

    Attributes:
        machine: the machine that was ordered; empty for the wave as a whole.
        done: machines whose upkeep is over.
        left_s: time that the wave has left.
    """

    wave: str
    change: str
    machine: str
    done: int
    machines: int
    left_s: float


@dataclasses.dataclass(frozen=True)
class MachineMoved:
    """A machine was ordered to another pool.

    Attributes:
        wanted: machines that the pool needs.
        outcome: what the platform answered.
    """

    machine: str
    pool: str
    wanted: int
    outcome: str


@dataclasses.dataclass(frozen=True)
class Usage:
    """What a busy process used in the last seconds.

    Timers that are late show that the processor binds; many kilobytes with
    timers in time show that the link does.

    Attributes:
        period_ms: how long that was.
        late_ms: how late the latest timer fired.
        calls: calls to instances and to the platform.
        unanswered: those of them that got no whole answer.
        sent_kb: kilobytes of their bodies.
        received_kb: kilobytes of the bodies of answers.
    """

    period_ms: int
    late_ms: int
    calls: int
    unanswered: int
    sent_kb: int
    received_kb: int


@dataclasses.dataclass(frozen=True)
class Process:
    """The process started, read its settings again, or stops."""

    change: str
    detail: str
