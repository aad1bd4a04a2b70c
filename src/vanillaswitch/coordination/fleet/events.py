"""Structured log events of the processes that run the fleet.

Each event is one log line. It reports a decision about a job or a request, or
a change in what the process knows about the system. It also reports the
information behind the decision and that information's age or version.
docs/OPERATIONS.md shows how to trace a job from its id to the cause of its
outcome.

Class names are the kinds of the log lines and the names of the counters, and
fields are their keys. Operators' tools read them, so they must not change. In
these names "begun" means that an instance is known to have started the run,
"apart" means that nothing else starts on the run's instance, and "given up"
means failed for good.
"""

import dataclasses


@dataclasses.dataclass(frozen=True)
class HandedIn:
    """A client submitted ("handed in") a job.

    Attributes:
        verdict: see ``job_store.RequestResult``.
        config_version: version of the configuration that selected the queue.
        waited_ms: time from the request until the verdict.
        account: client account of the job; empty on a public queue.
    """

    job: str
    queue: str
    verdict: str
    config_version: int
    waited_ms: int
    account: str = ""


@dataclasses.dataclass(frozen=True)
class Refused:
    """A request was refused.

    Attributes:
        target: path of the request; the job's id is its last part.
        code: stable identifier of the cause.
    """

    method: str
    target: str
    status: int
    code: str
    config_version: int


@dataclasses.dataclass(frozen=True)
class CancelAsked:
    """A client cancelled a job.

    Attributes:
        verdict: see ``job_store.RequestResult``.
    """

    job: str
    verdict: str


@dataclasses.dataclass(frozen=True)
class JobTakenIn:
    """The owner added an accepted job to its in-memory state.

    Attributes:
        age_ms: time since the job was submitted, by the store's clock.
        pending: jobs of the queue of which no task has started yet.
    """

    job: str
    queue: str
    age_ms: int
    pending: int


@dataclasses.dataclass(frozen=True)
class TaskAssigned:
    """A task was assigned to an instance.

    Attributes:
        free_cpu: millicores left on the instance afterwards.
        tried: number of failed runs of the task before.
    """

    job: str
    task: str
    run: int
    instance: str
    free_cpu: int
    tried: int


@dataclasses.dataclass(frozen=True)
class TaskEnded:
    """A run ended without completing its task.

    Attributes:
        how: see ``fleet.RunOutcome``; "lost" if its instance is gone or its
            lease has expired, "withheld" if its start was not sent because it
            no longer fit on the instance.
        failed: failed runs of the task so far.
    """

    job: str
    task: str
    run: int
    instance: str
    how: str
    failed: int


@dataclasses.dataclass(frozen=True)
class LateRunEnd:
    """An instance reported the end of a run that is not its task's current one.

    The run had been considered to be over, for example because its lease had
    expired while its instance was unreachable.

    Attributes:
        run: the run that ended.
        instance: where it ended.
        how: see ``fleet.RunOutcome``.
        current_run: number of the task's newest run.
        current_instance: where that run is; empty if it has ended.
        before: state of the task before the end was applied: "waiting",
            "assigned" or "done".
        after: its state afterwards.
    """

    job: str
    task: str
    run: int
    instance: str
    how: str
    current_run: int
    current_instance: str
    before: str
    after: str


@dataclasses.dataclass(frozen=True)
class RunCrashed:
    """An instance was lost soon after a run of a task began on it.

    Attributes:
        kind: see ``crash_evidence.CrashKind``. "alone" appears only in
            ``JobGivenUp``, because it depends on losses that are detected
            later.
        apart: whether the run was in isolation, because its task was already
            suspected of crashing instances.
        crashes: how many instances were lost so far while they ran the task.
        why: how the loss was detected.
        decided_ms: time since the owner decided to start the run.
        begun_ms: time since the owner first knew that the run had started; -1
            if it never did.
        beside: number of other runs on the instance.
        beginning: how many of these had also started recently.
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
class RowTooLarge:
    """The progress of a job does not fit into a row, so the job fails.

    Attributes:
        size: of the row's document, in bytes.
        limit: the largest that the store takes.
    """

    job: str
    queue: str
    size: int
    limit: int


@dataclasses.dataclass(frozen=True)
class JobGivenUp:
    """A job failed because one of its tasks crashes the instances that run it.

    Attributes:
        evidence: descriptions of the crashes during the task's runs.
    """

    job: str
    queue: str
    task: str
    evidence: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class StartWithheld:
    """A start was not sent because it no longer fit on its instance.

    Attributes:
        free_cpu: millicores left on the instance if all decided starts were
            sent; negative if its capacity has shrunk.
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
        certain: whether the run will not start. An earlier copy of the start
            order that is still in transit could otherwise take effect.
    """

    job: str
    task: str
    run: int
    instance: str
    reason: str
    certain: bool


@dataclasses.dataclass(frozen=True)
class RunStopped:
    """The owner decided to stop a run, or sends the stop again.

    Attributes:
        why: cause of the stop.
        away: number of other tasks of the step that are assumed unavailable.
        spared: disruption budget of the step, the number of its tasks that may
            be unavailable; 0 if it has no limit.
        unheard_ms: age of the oldest status report on which the other tasks of
            the step are assumed to be serving.
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
    """A run that was assumed to have ended is reported as running.

    The owner lets it continue.

    Attributes:
        percent: its reported progress.
    """

    job: str
    task: str
    run: int
    instance: str
    percent: float


@dataclasses.dataclass(frozen=True)
class LateStart:
    """A start that got no answer, which its instance may execute later.

    Attributes:
        change: one of

            * "kept": a copy got no answer.
            * "dropped": no copy of it can be executed any more.
            * "held": its run is over. Its task starts nowhere else for now.
            * "found": the next incarnation of the instance lists that run.
            * "again": the task starts on the next incarnation as a new run.
            * "released": the task may start elsewhere.
        age_ms: time since the last copy was sent.
    """

    job: str
    task: str
    run: int
    instance: str
    change: str
    age_ms: int


@dataclasses.dataclass(frozen=True)
class JobEnded:
    """A job ended.

    Attributes:
        state: see ``jobs.JobState``.
        age_ms: time since this owner added the job to its state.
        cause: what ended the job.
    """

    job: str
    queue: str
    state: str
    age_ms: int
    cause: str


@dataclasses.dataclass(frozen=True)
class InstanceChanged:
    """The owner's view of an instance changed.

    Attributes:
        change: one of

            * "listed": its registration can be read, for the first time or
              again.
            * "distrusted": its registration can't be read.
            * "draining": its registration says that it is about to leave.
            * "silent": it does not answer calls.
            * "suspended": it gets no new work for a while.
            * "lapsed": the lease on its runs has expired.
            * "gone": it was removed, because it certainly no longer runs.
            * "restarted": it restarted under the same id.
            * "former": a message from before its restart arrived late.
            * "terminating": an order for its machine may end all its runs.
            * "continues": such an order does not end it after all.
        age_ms: time since its last status report.
        runs: number of runs on the instance at that time.
    """

    instance: str
    service: str
    change: str
    why: str
    age_ms: int
    runs: int


@dataclasses.dataclass(frozen=True)
class RowUnusable:
    """A row of a table is invalid.

    Attributes:
        version: version of the commit that wrote the row.
        why: which field is invalid, and why.
    """

    table: str
    key: str
    version: int
    why: str


@dataclasses.dataclass(frozen=True)
class OwnerChanged:
    """A term of ownership began, ended, or was found to have ended.

    Attributes:
        change: "began"; "ended"; "yielded" if this process stepped down because
            the store had not answered its writes; "found-over" if the term of
            another process turned out to be over.
        holder: the process that is or was the owner.
        token: fencing token of the term; 0 if unknown.
        age_ms: time since the owner's last write.
    """

    change: str
    holder: str
    token: int
    age_ms: int


@dataclasses.dataclass(frozen=True)
class ConfigInForce:
    """This process started to use a configuration.

    Attributes:
        accounts: number of client accounts.
    """

    version: int
    queues: int
    accounts: int = 0


@dataclasses.dataclass(frozen=True)
class AccountAtLimit:
    """The limit of a client account began to hold tasks up.

    Attributes:
        cpu: thousandths of a core in use, "/", and the limit; 0 for none.
        mem_mb: likewise for memory in megabytes.
        gpu: likewise for accelerators.
    """

    account: str
    cpu: str
    mem_mb: str
    gpu: str


@dataclasses.dataclass(frozen=True)
class InstanceReserved:
    """A step began or ceased to keep other new work from an instance.

    It does so while lack of room there is all that keeps a task of it from
    starting.

    Attributes:
        step: "OCCURRENCE.STEP".
        instance: the instance; empty if none is reserved any more.
        need: thousandths of a core, "/", megabytes, "/" and accelerators that a
            task needs.
        free: likewise what is not in use on the instance.
    """

    job: str
    step: str
    instance: str
    need: str
    free: str


@dataclasses.dataclass(frozen=True)
class ErrandSent:
    """This process asked another one to access the store on its behalf.

    Attributes:
        kind: "submit", "cancel" or "state".
        helper: address of the other process.
        verdict: see ``job_store.RequestResult``; "unknown" if the other process
            did not answer.
    """

    job: str
    kind: str
    helper: str
    verdict: str


@dataclasses.dataclass(frozen=True)
class Dependency:
    """A dependency of this process became unavailable or recovered.

    Attributes:
        state: "lost", "lost in part" or "back".
    """

    name: str
    state: str
    why: str


@dataclasses.dataclass(frozen=True)
class WaveChanged:
    """A maintenance wave progressed.

    Attributes:
        machine: the machine concerned; empty for the wave as a whole.
        done: machines whose maintenance is finished.
        left_s: seconds until the wave's deadline; negative afterwards.
    """

    wave: str
    change: str
    machine: str
    done: int
    machines: int
    left_s: float


@dataclasses.dataclass(frozen=True)
class DurationsLearned:
    """Estimated durations of a kind of step changed by a quarter or more.

    Attributes:
        queue: queue of the jobs.
        step: number of the step.
        image: program that its tasks run; empty if unknown.
        steps: number of steps that were observed.
        factor: observed over declared durations, in percent.
        trust: weight of the declared duration against the mean, in percent.
        mean_ms: mean observed duration.
    """

    queue: str
    step: int
    image: str
    steps: int
    factor: int
    trust: int
    mean_ms: int


@dataclasses.dataclass(frozen=True)
class MachineMoved:
    """The platform was ordered to move a machine to another pool.

    Attributes:
        wanted: number of machines that the pool should have.
        outcome: the platform's answer.
    """

    machine: str
    pool: str
    wanted: int
    outcome: str


@dataclasses.dataclass(frozen=True)
class PoolAllocation:
    """The machines that a pool gets, or its needs, changed.

    Attributes:
        machines: machines that serve the pool or are moving to it.
        allocated: machines that it gets.
        minimum: machines that its long-running tasks and maintenance need.
        in_time: machines that it needs in addition for jobs that can be in
            time.
        late: the same for late jobs.
        over_share: the same for jobs beyond the share of their account.
        no_value: the same for jobs without any value left.
    """

    pool: str
    machines: int
    allocated: int
    minimum: int
    in_time: int
    late: int
    over_share: int
    no_value: int


@dataclasses.dataclass(frozen=True)
class MachineReleased:
    """A busy machine gets no new work, so that it can move when it is empty.

    Attributes:
        pool: the pool that releases it.
        runs: number of its runs.
        free_ms: time until its runs are expected to have ended.
    """

    machine: str
    pool: str
    runs: int
    free_ms: int


@dataclasses.dataclass(frozen=True)
class MachineReleaseEnded:
    """A machine is no longer released.

    Attributes:
        how: "moved" if its move is ordered, "cancelled" if it gets work again,
            "lost" if it no longer serves the pool or may not be moved.
        released_ms: how long it was released.
    """

    machine: str
    pool: str
    how: str
    released_ms: int


@dataclasses.dataclass(frozen=True)
class SubmissionRefused:
    """A submission was refused because of the load of its pool.

    Attributes:
        predicted_wait_ms: time until the work that goes before it is done.
        allowed_ms: time within which the job would have to end to be of use.
        retry_after_s: when its client was told to return.
        report_age_ms: age of the owner's report on the load.
    """

    job: str
    queue: str
    account: str
    predicted_wait_ms: int
    allowed_ms: int
    retry_after_s: int
    report_age_ms: int


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """The owner began or ceased to report a backlog of a pool.

    Attributes:
        change: "overloaded" or "none".
        wait_ms: time in which the pool could do all work that it has.
        rate: thousandths of a core that it has or can get for this work.
    """

    pool: str
    change: str
    wait_ms: int
    rate: int


@dataclasses.dataclass(frozen=True)
class AdviceCall:
    """A call to the advice service is over.

    Attributes:
        step: occurrence and number of the step.
        outcome: "answered"; "refused" if too many calls were waiting there;
            "unanswered" if it may still be handled; "unsent" if it can't be.
        reason: why there is no answer; empty if there is one.
        instances: number of instances that the call named.
        good: number of these that may run the step.
        waited_ms: time from sending the call until its outcome.
        open_calls: calls without an outcome when it was sent.
        calls_before: earlier calls for the same step.
    """

    job: str
    queue: str
    step: str
    outcome: str
    reason: str
    instances: int
    good: int
    waited_ms: int
    open_calls: int
    calls_before: int


@dataclasses.dataclass(frozen=True)
class Usage:
    """Resource usage of a busy process over the last seconds.

    Timers that fire late indicate that the processor is the bottleneck. Much
    traffic while timers fire on time indicates that the network link is.

    Attributes:
        period_ms: length of the period.
        late_ms: longest delay with which a timer fired.
        calls: calls to instances and to the platform.
        unanswered: calls without a complete answer.
        sent_kb: kilobytes of request bodies.
        received_kb: kilobytes of answer bodies, also of incomplete ones.
    """

    period_ms: int
    late_ms: int
    calls: int
    unanswered: int
    sent_kb: int
    received_kb: int


@dataclasses.dataclass(frozen=True)
class JobRemoved:
    """The rows of a job that ended long ago were removed from the store.

    Attributes:
        version: with which its end was written.
    """

    job: str
    version: int


@dataclasses.dataclass(frozen=True)
class RemovedJobRead:
    """A read of all jobs returned a job that was removed meanwhile.

    The owner ignores it.

    Attributes:
        version: of the row that was read.
    """

    job: str
    version: int


@dataclasses.dataclass(frozen=True)
class EventLoopBlocked:
    """A greenlet ran for long without letting others run.

    Meanwhile the process answered no request and renewed no lease.

    Attributes:
        function: name of the function that the greenlet runs.
        blocked_ms: time in which nothing else ran.
        processor_ms: processor time that it used of that.
    """

    function: str
    blocked_ms: int
    processor_ms: int


@dataclasses.dataclass(frozen=True)
class SlowPlan:
    """The owner took long to plan which tasks start where.

    Attributes:
        took_ms: duration of the plan.
        jobs: number of jobs that have not ended.
        open_steps: number of their steps whose tasks may run.
        largest_job: the job with the most of these steps.
        largest_job_steps: how many it has.
    """

    took_ms: int
    jobs: int
    open_steps: int
    largest_job: str
    largest_job_steps: int


@dataclasses.dataclass(frozen=True)
class Process:
    """The process started, reloaded its settings, or is stopping."""

    change: str
    detail: str
