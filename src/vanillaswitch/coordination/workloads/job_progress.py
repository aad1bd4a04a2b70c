"""Progress and failures of jobs, and whether the job or a worker is at fault.

A job that is at fault, or that can never run for another reason, is set aside:
none of its tasks is started. A worker that is at fault is cordoned.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib

from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import usage_estimates
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

FAULTY_JOB_WORKERS = 3
"""A job that failed on this many workers is at fault itself."""

FAULTY_JOB_FAILURES = 6
"""So is a job that failed this often, for pools with fewer workers."""

FAULTY_WORKER_JOBS = 3
"""A worker on which this many jobs failed in a row is at fault, if one of them
runs well elsewhere."""

FAULTY_WORKER_UNPROVEN_JOBS = 6
"""So is a worker on which this many jobs failed while none of them runs
elsewhere: there may be no capacity elsewhere to prove that they can run."""


@dataclasses.dataclass(frozen=True)
class JobProgress:
    """``job/<name>``: what is known of a job beyond its declaration.

    Attributes:
        shape: digest of the declared sizes to which the failures belong.
        failed_on: number of failures by worker, since ``shape`` last changed.
        finished: indices of finished tasks.
        checkpoints: newest checkpoint by index of the task.
        aside: why the job is set aside; empty while it may run.
    """

    shape: str = ""
    failed_on: Mapping[str, int] = dataclasses.field(default_factory=dict)
    finished: tuple[int, ...] = ()
    checkpoints: Mapping[str, str] = dataclasses.field(default_factory=dict)
    aside: str = ""


def reset_if_resized(state: JobProgress, job: config_lib.Job) -> JobProgress:
    """Returns the state under a job's current declaration.

    A new size or pool clears the failures, as the job may run now. Finished
    tasks stay finished.
    """
    shape = shape_digest(job)
    if state.shape == shape:
        return state
    return dataclasses.replace(state, shape=shape, failed_on={}, aside="")


def shape_digest(job: config_lib.Job) -> str:
    """Returns a digest of the pool and sizes, which decide if a job can run."""
    shape = (job.pool, job.cores, job.memory_mb, job.accelerators)
    return hashlib.blake2b(repr(shape).encode(), digest_size=8).hexdigest()


def record_task_end(
    state: JobProgress,
    task: task_rows.Task,
    report: platform.TaskReport,
    counts_failure: bool,
) -> JobProgress:
    """Returns the state after one of the job's tasks has ended.

    Args:
        state: before the end.
        task: the task.
        report: its last report.
        counts_failure: whether a failure counts; False when the worker itself
            went down for maintenance.
    """
    if report.checkpoint:
        checkpoints = {**state.checkpoints, str(task.index): report.checkpoint}
        state = dataclasses.replace(state, checkpoints=checkpoints)
    if report.state is platform.ReportedTaskState.FINISHED:
        finished = tuple(sorted({*state.finished, task.index}))
        return dataclasses.replace(state, finished=finished)
    if report.state is platform.ReportedTaskState.FAILED and counts_failure:
        count = state.failed_on.get(task.worker, 0) + 1
        failed_on = {**state.failed_on, task.worker: count}
        return dataclasses.replace(state, failed_on=failed_on)
    return state


def without_failures_on(
    state: JobProgress, workers: Collection[str]
) -> JobProgress:
    """Returns the state without its failures on some workers.

    Such failures are no evidence against the job if the worker turned out to
    be at fault, and none against the worker if another job has finished on
    it since.
    """
    left = {w: n for w, n in state.failed_on.items() if w not in workers}
    if len(left) == len(state.failed_on):
        return state
    return dataclasses.replace(state, failed_on=left)


def unrunnable_reason(
    state: JobProgress,
    job: config_lib.Job,
    capacities: Collection[task_rows.ResourceVector],
    quota: task_rows.ResourceVector,
) -> str:
    """Returns why a job can never run; empty when it may run.

    Args:
        state: of the job.
        job: its declaration.
        capacities: of all workers of its pool, including those that are down.
        quota: of its team.
    """
    failures = sum(state.failed_on.values())
    if (
        len(state.failed_on) >= FAULTY_JOB_WORKERS
        or failures >= FAULTY_JOB_FAILURES
    ):
        where = ", ".join(sorted(state.failed_on))
        return f"failed {failures} times, on {where}"
    need = usage_estimates.min_need(job)
    if capacities and not any(need.fits_within(one) for one in capacities):
        return (
            f"fits no worker of pool {job.pool}: {job.cores} cores, "
            f"{job.memory_mb} MB, {job.accelerators} accelerators"
        )
    if not need.fits_within(quota):
        return f"one task exceeds the quota of team {job.team}"
    return ""


def faulty_workers(
    states: Mapping[str, JobProgress],
    proven_workers: Collection[str],
    healthy_jobs: Collection[str],
) -> dict[str, tuple[str, ...]]:
    """Returns workers on which several jobs failed in a row, with those jobs.

    A few broken jobs that happen to start first on one worker must not get it
    cordoned. Broken jobs run nowhere, while some of the jobs that fail on a
    faulty worker run elsewhere.

    Args:
        states: of all jobs; those set aside are at fault themselves and do
            not count.
        proven_workers: workers on which a task runs.
        healthy_jobs: jobs that have a finished task or one that has run for
            a while.
    """
    failed: dict[str, list[str]] = {}
    for name, state in sorted(states.items()):
        for worker in () if state.aside else state.failed_on:
            failed.setdefault(worker, []).append(name)
    return {
        worker: tuple(names)
        for worker, names in failed.items()
        if len(names) >= _faulty_threshold(names, healthy_jobs)
        and worker not in proven_workers
    }


def _faulty_threshold(
    failed: Collection[str], healthy_jobs: Collection[str]
) -> int:
    """Returns how many failed jobs show that their worker is at fault."""
    runs_elsewhere = any(name in healthy_jobs for name in failed)
    return FAULTY_WORKER_JOBS if runs_elsewhere else FAULTY_WORKER_UNPROVEN_JOBS


def choose_cordons(
    faulty: Mapping[str, tuple[str, ...]], allowance: int
) -> tuple[str, ...]:
    """Returns the workers to cordon, those with the most failed jobs first.

    Args:
        faulty: result of ``faulty_workers``.
        allowance: how many more workers of the service may be down.
    """
    ranked = sorted(faulty, key=lambda worker: (-len(faulty[worker]), worker))
    return tuple(ranked[: max(0, allowance)])


def unplaced_indices(
    job: config_lib.Job, state: JobProgress, placed: Collection[int]
) -> Iterable[int]:
    """Returns the indices of a job's tasks that still need a worker."""
    skipped = {*state.finished, *placed}
    return (index for index in range(job.tasks) if index not in skipped)
