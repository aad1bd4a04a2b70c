"""Which tasks have ended or must stop, and how that changes their jobs."""

from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement_soft_state
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.coordination.workloads import quotas
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import worker_availability
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

MAX_ENDED_PER_STEP = 256

UNCONFIGURED_GRACE_S = 10.0
"""How long a task is missing from the configuration before it is stopped.

A holder may have taken the duty over with an older configuration than the one
that declared the task. A new configuration is in force everywhere within
seconds.
"""

CHECKPOINT_REPORT_TIMEOUT_S = 10.0
"""How long a stopped task's row waits for the report of its checkpoint."""

HEALTHY_RUN_S = 10.0
"""A task that has run for this long shows that its job can run."""

_LEASE_EXPIRED_S = task_rows.LEASE_S * task_rows.EXPIRY_MARGIN


def find_ended(
    own_tasks: Mapping[str, task_rows.Task],
    reports: Mapping[str, platform.TaskReport],
    soft_state: placement_soft_state.SoftState,
    now: float,
) -> dict[str, platform.TaskReport]:
    """Returns the last report of each task that has ended, by name.

    Args:
        own_tasks: the duty's tasks, by name.
        reports: by operation.
        soft_state: of the duty.
        now: monotonic seconds.
    """
    found = {}
    for name, task in own_tasks.items():
        report = reports.get(task.operation)
        if report and report.state in task_rows.TERMINAL_STATES:
            found[name] = report
        elif _is_stopped(soft_state, task, now):
            found[name] = _substitute_report(
                name, task, platform.ReportedTaskState.STOPPED
            )
        elif _has_lost_lease(soft_state, task, now) or _is_start_unaccepted(
            soft_state, task, now
        ):
            found[name] = _substitute_report(
                name, task, platform.ReportedTaskState.LEASE_EXPIRED
            )
    return dict(list(found.items())[:MAX_ENDED_PER_STEP])


def _has_lost_lease(
    soft_state: placement_soft_state.SoftState, task: task_rows.Task, now: float
) -> bool:
    """Returns whether a task's lease has certainly expired on its worker.

    A worker that does not answer may still run its tasks, and a second start
    elsewhere would run them twice. After the lease's term without a renewal
    the worker has ended them itself.
    """
    since = max(
        soft_state.last_answer_at.get(task.worker, 0.0), soft_state.taken_at
    )
    return now - since > _LEASE_EXPIRED_S


def _is_stopped(
    soft_state: placement_soft_state.SoftState, task: task_rows.Task, now: float
) -> bool:
    """Returns whether the row of a stopped task may be deleted.

    The row of a task that was asked for a checkpoint is kept until the lagging
    report names the checkpoint; otherwise the task would start from scratch.
    """
    stopped_at = soft_state.stopped_at.get(task.operation)
    if stopped_at is None:
        return False
    no_checkpoint = task.operation not in soft_state.checkpoint_requested
    return no_checkpoint or now - stopped_at > CHECKPOINT_REPORT_TIMEOUT_S


def stopped_tasks(
    own_tasks: Mapping[str, task_rows.Task],
    soft_state: placement_soft_state.SoftState,
) -> frozenset[str]:
    """Returns the names of stopped tasks, which use no capacity any more."""
    return frozenset(
        name
        for name, task in own_tasks.items()
        if task.operation in soft_state.stopped_at
    )


def _is_start_unaccepted(
    soft_state: placement_soft_state.SoftState, task: task_rows.Task, now: float
) -> bool:
    """Returns whether no start was accepted for longer than a lease.

    An earlier copy of the start may have been delayed. The refusal of a later
    copy alone therefore does not show that the task does not run.
    """
    if task.operation in soft_state.confirmed_starts:
        return False
    return (
        now - soft_state.start_sent_at.get(task.operation, now)
        > _LEASE_EXPIRED_S
    )


def _substitute_report(
    name: str, task: task_rows.Task, state: platform.ReportedTaskState
) -> platform.TaskReport:
    """Returns the report that the worker would send if it could."""
    return platform.TaskReport(name, task.operation, task.worker, state, 0.0, 0)


def stop_reason(
    task: task_rows.Task,
    config: config_lib.Config,
    soft_state: placement_soft_state.SoftState,
    now: float,
) -> str:
    """Returns why a task must stop; empty when it may go on."""
    job = config.jobs.get(task.job)
    if job is None or job.pool != task.pool or task.index >= job.tasks:
        since = soft_state.unconfigured_since.setdefault(task.operation, now)
        return (
            "no longer configured"
            if now - since >= UNCONFIGURED_GRACE_S
            else ""
        )
    soft_state.unconfigured_since.pop(task.operation, None)
    if job.cancelled:
        return "job is cancelled"
    # A worker may have lost the task and still accept renewals for it. The
    # task would then count as running for ever, so it is stopped.
    last_known_at = soft_state.last_reported_at.get(
        task.operation,
        soft_state.start_sent_at.get(task.operation, soft_state.taken_at),
    )
    return (
        "worker does not report it"
        if now - last_known_at > _LEASE_EXPIRED_S
        else ""
    )


def healthy_jobs(
    own_tasks: Mapping[str, task_rows.Task],
    reports: Mapping[str, platform.TaskReport],
    soft_state: placement_soft_state.SoftState,
    states: Mapping[str, job_progress.JobProgress],
    now: float,
) -> frozenset[str]:
    """Returns the jobs with a task that finished or has run for a while.

    Args:
        own_tasks: the duty's tasks, by name.
        reports: by operation.
        soft_state: of the duty.
        states: of the jobs.
        now: monotonic seconds.
    """
    found = {name for name, state in states.items() if state.finished}
    for task in own_tasks.values():
        report = reports.get(task.operation)
        started_at = soft_state.start_sent_at.get(
            task.operation, soft_state.taken_at
        )
        is_running = (
            report and report.state is platform.ReportedTaskState.RUNNING
        )
        if is_running and now - started_at >= HEALTHY_RUN_S:
            found.add(task.job)
    return frozenset(found)


def find_tasks_to_stop(
    own_tasks: Mapping[str, task_rows.Task],
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    soft_state: placement_soft_state.SoftState,
    evictions: Mapping[str, str],
    now: float,
) -> dict[str, str]:
    """Returns the reason by name of each task that must begin to stop.

    Args:
        own_tasks: the duty's tasks that have not ended, by name.
        fleet: with all workers.
        config: the configuration in force.
        soft_state: of the duty.
        evictions: reasons of the plan, by name.
        now: monotonic seconds.
    """
    stops = {}
    for name, task in own_tasks.items():
        if task.stopping:
            continue
        reason = (
            stop_reason(task, config, soft_state, now)
            or worker_availability.drain_reason(fleet.members.get(task.worker))
            or evictions.get(name, "")
        )
        if reason:
            stops[name] = reason
    return stops


def updated_states(
    snapshot: placement_view.PlacementSnapshot,
    config: config_lib.Config,
    pools: frozenset[str],
    ended: Mapping[str, platform.TaskReport],
) -> dict[str, job_progress.JobProgress]:
    """Returns the state of each of the pools' jobs after some tasks ended."""
    found = {}
    for name, job in config.jobs.items():
        if job.pool in pools:
            row = snapshot.jobs.get(name)
            state = row.row if row else job_progress.JobProgress()
            found[name] = job_progress.reset_if_resized(state, job)
    for name, report in ended.items():
        task = snapshot.tasks[name].row
        if task.job in found:
            member = snapshot.fleet.members.get(task.worker)
            counts_failure = not worker_availability.drain_reason(member)
            found[task.job] = job_progress.record_task_end(
                found[task.job], task, report, counts_failure
            )
    cleared_workers = {
        report.worker
        for report in ended.values()
        if report.state is platform.ReportedTaskState.FINISHED
    }
    cleared_workers |= {
        n for n, m in snapshot.fleet.members.items() if m.row.cordoned
    }
    capacities = worker_availability.capacities_by_pool(snapshot.fleet)
    return {
        name: _set_aside_if_unrunnable(
            config,
            capacities,
            name,
            job_progress.without_failures_on(state, cleared_workers),
        )
        for name, state in found.items()
    }


def _set_aside_if_unrunnable(
    config: config_lib.Config,
    capacities: Mapping[str, list[task_rows.ResourceVector]],
    name: str,
    state: job_progress.JobProgress,
) -> job_progress.JobProgress:
    job = config.jobs[name]
    quota = quotas.quota_of(config, job.team)
    reason = job_progress.unrunnable_reason(
        state, job, capacities.get(job.pool, []), quota
    )
    return dataclasses.replace(state, aside=reason)
