"""Summarizes jobs, instances and maintenance waves from the store's rows.

Operators' queries read the rows from which a new owner would restore its state.
So they give the same answers whichever process owns the fleet, even if none
does.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.coordination.fleet.accounts import fair_shares
from vanillaswitch.coordination.fleet.accounts import limits
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import unusable

_TASK_STATE_NAMES = {
    open_steps.TaskState.WAITING: "waiting",
    open_steps.TaskState.ASSIGNED: "assigned",
    open_steps.TaskState.DONE: "done",
}


@dataclasses.dataclass(frozen=True)
class TaskSummary:
    """State of one task that is not done, or that failed or crashed before.

    Attributes:
        task: "OCCURRENCE.STEP.INDEX", where the occurrence counts the times
            that a recurring job runs.
        run: number of its latest run; 0 before the first start.
        instance: where that run was started; empty while the task waits.
        failed: number of failed runs.
        crashes: losses of instances while they ran it.
        apart: whether it has to run isolated from other tasks, because it may
            crash its instance.
    """

    task: str
    state: str
    run: int
    instance: str
    failed: int
    crashes: tuple[str, ...]
    apart: bool


@dataclasses.dataclass(frozen=True)
class JobSummary:
    """State of one job.

    Attributes:
        cancelled: whether its client cancelled it.
        account: client account that submitted it; empty on a public queue.
        steps: by "OCCURRENCE.STEP": "done", or the number of tasks in each
            state. Occurrences in a row in which a step is done are named by
            the first and the last, as in "0-41.0". Steps whose tasks may not
            run yet, and occurrences that are not opened yet, are left out.
        tasks: tasks that are not done, or that failed or crashed before.
        given_up: crashes because of which the job failed.
    """

    job: str
    queue: str
    state: str
    cancelled: bool
    steps: Mapping[str, str]
    tasks: tuple[TaskSummary, ...]
    given_up: tuple[str, ...]
    account: str = ""


@dataclasses.dataclass(frozen=True)
class PoolShareSummary:
    """What a client account has of one pool, and what it waits for.

    Long-running tasks are left out, since they don't compete for shares.

    Attributes:
        waiting_jobs: number of its jobs with a waiting task.
        longest_wait_ms: time since the oldest of these jobs was submitted, by
            the clock of the caller; None if it is unknown.
        share: largest part that it has of the processors, the memory or the
            accelerators.
        fair_share: the part that it would have if the pool were divided by
            weight between the accounts that have tasks in it.
    """

    waiting_jobs: int
    longest_wait_ms: int | None
    share: float
    fair_share: float


@dataclasses.dataclass(frozen=True)
class AccountSummary:
    """State of one client account.

    Attributes:
        keys: number of its API keys.
        weight: jobs a second that it is entitled to; 0 for any number.
        limit: what it may have running; 0 for no limit.
        running: what its jobs have running or about to start.
        jobs: number of its jobs by state.
        waiting_for_limit: ids of its jobs with a task that waits and would
            exceed the limit now.
        pools: what it has of the pools in which it has tasks.
    """

    account: str
    keys: int
    weight: float
    limit: accounts.ResourceLimit
    running: accounts.ResourceLimit
    jobs: Mapping[str, int]
    waiting_for_limit: tuple[str, ...]
    pools: Mapping[str, PoolShareSummary] = dataclasses.field(
        default_factory=dict
    )


@dataclasses.dataclass(frozen=True)
class InstanceSummary:
    """State of one instance.

    Attributes:
        state: "ready", "draining", or why its registration is unusable.
        born_ms: when it started, milliseconds since 1970; None if its
            registration does not say.
        runs: runs that are assigned to it in the progress rows of jobs, as
            "JOB OCCURRENCE.STEP.INDEX run N".
    """

    instance: str
    service: str
    address: str
    state: str
    capacity: fleet.Resources
    born_ms: int | None
    runs: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class WaveSummary:
    """State of one maintenance wave.

    Attributes:
        state: as last reported to the operators; empty if not reported yet.
        machines: number of machines of the wave.
        left: machines whose maintenance is not recorded as finished.
    """

    wave: str
    state: str
    machines: int
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class FleetSummary:
    """State of the whole fleet.

    Attributes:
        owner: name of the owning process; empty if there is none.
        queues: number of jobs by queue and state.
        services: number of instances by service and state.
        machines: number of machines by pool and state.
        unusable: why rows are unusable, by their keys.
        waiting_accounts: number of jobs with a waiting task, by client account.
    """

    owner: str
    owner_address: str
    queues: Mapping[str, Mapping[str, int]]
    services: Mapping[str, Mapping[str, int]]
    machines: Mapping[str, Mapping[str, int]]
    waves: tuple[WaveSummary, ...]
    unusable: Mapping[str, str]
    waiting_accounts: Mapping[str, int] = dataclasses.field(
        default_factory=dict
    )


def restore_entry(
    job_document: Mapping[str, Any], progress_document: Mapping[str, Any] | None
) -> job_tracker.JobEntry | unusable.Unusable:
    """Restores a job from its two rows, as an owner does.

    Args:
        job_document: content of the row written when the job was submitted.
        progress_document: content of the row that the owner writes; None
            before the job's first start.
    """
    job = job_rows.row_to_job(job_document)
    if isinstance(job, unusable.Unusable):
        return job
    entry = job_tracker.JobEntry(job, 0.0)
    problem = (
        entry.load_document(progress_document)
        if progress_document is not None
        else None
    )
    return problem or entry


def summarize_job(entry: job_tracker.JobEntry, cancelled: bool) -> JobSummary:
    """Returns a summary of a job."""
    steps = {}
    for number, first, last in entry.done_ranges:
        name = f"{first}" if first == last else f"{first}-{last}"
        steps[f"{name}.{number}"] = "done"
    tasks: list[TaskSummary] = []
    for step in entry.open_steps_by_key.values():
        key = f"{step.occurrence}.{step.number}"
        steps[key] = ", ".join(
            f"{count} {_TASK_STATE_NAMES[state]}"
            for state, count in _counts_by_state(step).items()
            if count
        )
        tasks.extend(
            _summarize_task(task) for task in step.tasks if _needs_summary(task)
        )
    return JobSummary(
        entry.job.job_id,
        entry.job.queue,
        entry.state.value,
        cancelled,
        dict(sorted(steps.items())),
        tuple(tasks),
        tuple(crash.text for crash in entry.fatal_crashes),
        entry.job.account,
    )


def summarize_account(
    account: accounts.ClientAccount,
    entries: Iterable[job_tracker.JobEntry],
    pools: Mapping[str, PoolShareSummary],
) -> AccountSummary:
    """Returns a summary of a client account.

    Args:
        account: the account as configured.
        entries: all jobs.
        pools: what it has of the pools, see ``summarize_shares``.
    """
    own = [entry for entry in entries if entry.job.account == account.name]
    usage = limits.AccountUsage()
    for entry in own:
        for step in entry.open_steps_by_key.values():
            count = _counts_by_state(step)[open_steps.TaskState.ASSIGNED]
            usage.add_tasks(account.name, step.step, count)
    used = usage.used(account.name)
    return AccountSummary(
        account.name,
        len(account.key_digests),
        account.weight,
        account.limit,
        used,
        dict(collections.Counter(entry.state.value for entry in own)),
        tuple(
            entry.job.job_id
            for entry in own
            if _waits_for_limit(entry, account.limit, used)
        ),
        pools,
    )


def summarize_shares(
    account: str,
    config: fleet.FleetConfig,
    entries: Iterable[job_tracker.JobEntry],
    registrations: Iterable[fleet.Registration],
    wall_ms: float,
) -> Mapping[str, PoolShareSummary]:
    """Returns what a client account has of the pools in which it has tasks.

    Args:
        account: name of the account.
        config: the configuration.
        entries: all jobs.
        registrations: all usable registrations of instances.
        wall_ms: time of day in milliseconds since 1970.
    """
    services = {queue.name: queue.service for queue in config.queues}
    by_pool: dict[str, list[open_steps.OpenStep]] = {}
    for entry in entries:
        service = services.get(entry.job.queue, entry.job.service)
        by_pool.setdefault(service, []).extend(_finite_steps(entry, wall_ms))
    found = {}
    for service, steps in sorted(by_pool.items()):
        own = [step for step in steps if step.entry.job.account == account]
        if own:
            found[service] = _summarize_share(
                _pool_shares(service, config, steps, registrations),
                account,
                [step.entry.job for step in own if step.has_waiting_task],
                wall_ms,
            )
    return found


def _finite_steps(
    entry: job_tracker.JobEntry, wall_ms: float
) -> list[open_steps.OpenStep]:
    """Returns the open steps whose tasks end by themselves."""
    return [
        step
        for step in entry.open_due_steps(wall_ms)
        if not step.step.long_running
    ]


def _pool_shares(
    service: str,
    config: fleet.FleetConfig,
    steps: Iterable[open_steps.OpenStep],
    registrations: Iterable[fleet.Registration],
) -> fair_shares.PoolShares:
    rooms = [item.capacity for item in registrations if item.service == service]
    capacity = fleet.Resources(
        sum(room.cpu for room in rooms),
        sum(room.mem_mb for room in rooms),
        sum(room.gpu for room in rooms),
    )
    shares = fair_shares.PoolShares(
        capacity,
        {
            name: fair_shares.weight_of(config.accounts.by_name.get(name))
            for name in {step.entry.job.account for step in steps}
        },
    )
    for step in steps:
        count = _counts_by_state(step)[open_steps.TaskState.ASSIGNED]
        shares.add(step.entry.job.account, step.demand, count)
    return shares


def _summarize_share(
    shares: fair_shares.PoolShares,
    account: str,
    waiting: Iterable[jobs.Job],
    wall_ms: float,
) -> PoolShareSummary:
    by_id = {job.job_id: job for job in waiting}
    submitted = [
        job.submitted_wall_ms for job in by_id.values() if job.submitted_wall_ms
    ]
    return PoolShareSummary(
        len(by_id),
        max(0, int(wall_ms - min(submitted))) if submitted else None,
        round(shares.share(account), 3),
        round(shares.fair_share(account), 3),
    )


def count_waiting_jobs(
    entries: Iterable[job_tracker.JobEntry], wall_ms: float
) -> Mapping[str, int]:
    """Returns the number of jobs with a waiting task, by client account."""
    counts = collections.Counter(
        entry.job.account
        for entry in entries
        if entry.job.account
        and any(step.has_waiting_task for step in entry.open_due_steps(wall_ms))
    )
    return dict(sorted(counts.items()))


def _waits_for_limit(
    entry: job_tracker.JobEntry,
    limit: accounts.ResourceLimit,
    used: accounts.ResourceLimit,
) -> bool:
    return any(
        step.has_waiting_task
        and not limits.startable_count(limit, used, step.step, step.step.count)
        for step in entry.open_due_steps(float("inf"))
    )


def _counts_by_state(
    step: open_steps.OpenStep,
) -> Mapping[open_steps.TaskState, int]:
    counts = step.counts
    return {
        open_steps.TaskState.WAITING: counts.waiting,
        open_steps.TaskState.ASSIGNED: (
            step.step.count - counts.waiting - counts.done
        ),
        open_steps.TaskState.DONE: counts.done,
    }


def _needs_summary(task: open_steps.Task) -> bool:
    done = task.state is open_steps.TaskState.DONE
    return not done or bool(task.failed_runs or task.crashes)


def _summarize_task(task: open_steps.Task) -> TaskSummary:
    return TaskSummary(
        task.name.path_in_job,
        _TASK_STATE_NAMES[task.state],
        task.run,
        task.instance,
        task.failed_runs,
        tuple(crash.text for crash in task.crashes),
        task.is_suspect,
    )


def summarize_instance(
    name: str,
    registration: fleet.Registration | unusable.Unusable,
    entries: Iterable[job_tracker.JobEntry],
) -> InstanceSummary:
    """Returns a summary of an instance.

    Args:
        name: its id.
        registration: its decoded registration.
        entries: all jobs.
    """
    runs = tuple(_runs_on(name, entries))
    if isinstance(registration, unusable.Unusable):
        no_capacity = fleet.Resources(0, 0)
        return InstanceSummary(
            name, "", "", registration.reason, no_capacity, None, runs
        )
    return InstanceSummary(
        name,
        registration.service,
        registration.address,
        _instance_state(registration),
        registration.capacity,
        registration.born_ms,
        runs,
    )


def _runs_on(
    name: str, entries: Iterable[job_tracker.JobEntry]
) -> Iterable[str]:
    for entry in entries:
        for step in entry.open_steps_by_key.values():
            for task in step.opened_tasks:
                is_on_instance = task.instance == name
                if (
                    is_on_instance
                    and task.state is open_steps.TaskState.ASSIGNED
                ):
                    label = task.name.path_in_job
                    yield f"{entry.job.job_id} {label} run {task.run}"


def _instance_state(
    registration: fleet.Registration | unusable.Unusable,
) -> str:
    if isinstance(registration, unusable.Unusable):
        return "unusable"
    return "draining" if registration.is_draining else "ready"


def summarize_wave(
    order: fleet.WaveOrder, finished: Iterable[str], state: str
) -> WaveSummary:
    """Returns a summary of a wave.

    Args:
        order: the wave that the operators ordered.
        finished: machines whose maintenance is recorded as finished.
        state: as last reported to the operators.
    """
    finished_machines = set(finished)
    left = tuple(
        name for name in order.machines if name not in finished_machines
    )
    return WaveSummary(order.name, state, len(order.machines), left)


def count_jobs(
    entries: Iterable[job_tracker.JobEntry],
) -> Mapping[str, Mapping[str, int]]:
    """Returns the number of jobs by queue and state."""
    return _count_by_state(
        (entry.job.queue, entry.state.value) for entry in entries
    )


def count_instances(
    registrations: Iterable[fleet.Registration],
) -> Mapping[str, Mapping[str, int]]:
    """Returns the number of instances by service and state."""
    return _count_by_state(
        (item.service, _instance_state(item)) for item in registrations
    )


def count_machines(
    machines: Iterable[fleet.Machine],
) -> Mapping[str, Mapping[str, int]]:
    """Returns the number of machines by pool and state."""
    return _count_by_state((item.pool, item.state.value) for item in machines)


def _count_by_state(
    pairs: Iterable[tuple[str, str]],
) -> Mapping[str, Mapping[str, int]]:
    counts: dict[str, dict[str, int]] = {}
    for (name, state), number in sorted(collections.Counter(pairs).items()):
        counts.setdefault(name, {})[state] = number
    return counts
