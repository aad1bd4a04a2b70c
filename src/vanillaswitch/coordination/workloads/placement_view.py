"""What one placement duty reads, and the view that it plans on.

Each pool belongs to the placement duty of one data centre, chosen by
rendezvous hashing over the configured data centres. The duty places the pool's
tasks on the pool's workers in any data centre.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import quotas
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import usage_estimates
from vanillaswitch.coordination.workloads import worker_availability
from vanillaswitch.coordination.workloads import worker_capacity
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows


def is_owner(pool: str, data_centre: str, config: config_lib.Config) -> bool:
    """Returns whether a pool belongs to a data centre's placement duty."""
    owner = max(
        sorted(config.data_centres),
        key=lambda dc: duty_assignment.rendezvous_weight(pool, dc),
    )
    return owner == data_centre


@dataclasses.dataclass(frozen=True)
class PlacementSnapshot:
    """The rows and reports of one step.

    Attributes:
        tasks: rows of all pools' tasks, by name.
        jobs: rows of all pools' jobs, by name.
        quota_versions: version of each team's quota row.
        reports: by operation.
    """

    fleet: fleet_state.Fleet
    tasks: Mapping[str, fleet_state.Versioned[task_rows.Task]]
    jobs: Mapping[str, fleet_state.Versioned[job_progress.JobProgress]]
    quota_versions: Mapping[str, int]
    reports: Mapping[str, platform.TaskReport]


def read_snapshot(
    context: controller.DutyContext,
    services: Collection[str],
    previous: PlacementSnapshot | None = None,
) -> PlacementSnapshot | platform.Unavailable:
    """Reads what a step needs.

    Quota rows are read first. A start that another duty commits after this
    read changes one of them, so that a plan which did not count the started
    task conflicts.

    Args:
        context: of the step.
        services: those whose workers are asked for their status.
        previous: an earlier snapshot, whose unchanged rows are not parsed
            again.
    """
    source = context.platform
    found = []
    for prefix in (keys.QUOTAS, keys.TASKS, keys.JOBS):
        outcome = source.table.scan(prefix)
        if isinstance(outcome, platform.Unavailable):
            return outcome
        found.append(outcome.rows)
    fleet = worker_availability.read_fleet(context, services)
    if isinstance(fleet, platform.Unavailable):
        return fleet
    reports = source.workers.reports()
    if isinstance(reports, platform.Unavailable):
        return reports
    quota_rows, task_rows, job_rows = found
    return PlacementSnapshot(
        fleet,
        _parse_tasks(task_rows, previous.tasks if previous else {}),
        _parse_jobs(job_rows, previous.jobs if previous else {}),
        {keys.name_of(keys.QUOTAS, r.key): r.version for r in quota_rows},
        {report.operation: report for report in reports},
    )


def _parse_tasks(
    found: Iterable[platform.Row],
    previous: Mapping[str, fleet_state.Versioned[task_rows.Task]],
) -> dict[str, fleet_state.Versioned[task_rows.Task]]:
    parsed = {}
    for row in found:
        name = task_rows.name(row.value["job"], row.value["index"])
        known = previous.get(name)
        if known is None or known.version != row.version:
            task = rows.load(task_rows.Task, row.value)
            known = fleet_state.Versioned(row.version, task)
        parsed[name] = known
    return parsed


def _parse_jobs(
    found: Iterable[platform.Row],
    previous: Mapping[str, fleet_state.Versioned[job_progress.JobProgress]],
) -> dict[str, fleet_state.Versioned[job_progress.JobProgress]]:
    parsed = {}
    for row in found:
        name = keys.name_of(keys.JOBS, row.key)
        known = previous.get(name)
        if known is None or known.version != row.version:
            state = rows.load(job_progress.JobProgress, row.value)
            known = fleet_state.Versioned(row.version, state)
        parsed[name] = known
    return parsed


@dataclasses.dataclass(frozen=True)
class ViewInputs:
    """What a view is built from.

    Attributes:
        pools: pools that belong to the duty.
        states: of the pools' jobs, without failures on cordoned workers.
        released_tasks: names of tasks that use no capacity any more, though
            their rows still exist.
        usage_by_job: observed usage by job.
        refusing_workers: workers that refused a start recently.
    """

    snapshot: PlacementSnapshot
    config: config_lib.Config
    pools: frozenset[str]
    states: Mapping[str, job_progress.JobProgress]
    released_tasks: frozenset[str]
    usage_by_job: Mapping[str, usage_estimates.ObservedUsage]
    refusing_workers: frozenset[str] = frozenset()


def proven_workers(snapshot: PlacementSnapshot) -> frozenset[str]:
    """Returns the workers on which a task is reported as running."""
    return frozenset(
        report.worker
        for report in snapshot.reports.values()
        if report.state is platform.ReportedTaskState.RUNNING
    )


def build_view(inputs: ViewInputs) -> placement.PlannerInput:
    """Returns the view to plan on."""
    workers = _workers(inputs)
    placed = [
        (name, found.row)
        for name, found in sorted(inputs.snapshot.tasks.items())
        if name not in inputs.released_tasks
    ]
    team_needs = [(task.team, _need_of(inputs, task)) for _, task in placed]
    return placement.PlannerInput(
        workers=workers,
        placed=tuple(
            _placed_task(inputs, name, task)
            for name, task in placed
            if task.pool in inputs.pools
        ),
        pending=tuple(_pending_tasks(inputs)),
        quotas={
            team: quotas.quota_of(inputs.config, team)
            for team in inputs.config.teams
        },
        used=quotas.usage_by_team(team_needs),
    )


def _workers(inputs: ViewInputs) -> tuple[worker_capacity.Worker, ...]:
    proven = proven_workers(inputs.snapshot)
    found = []
    for name, member in sorted(inputs.snapshot.fleet.members.items()):
        capacity = worker_availability.capacity_of(member)
        if member.row.pool not in inputs.pools or capacity is None:
            continue
        is_schedulable = (
            worker_availability.is_schedulable(member)
            and name not in inputs.refusing_workers
        )
        found.append(
            worker_capacity.Worker(
                name, member.row.pool, capacity, is_schedulable, name in proven
            )
        )
    return tuple(found)


def _need_of(
    inputs: ViewInputs, task: task_rows.Task
) -> task_rows.ResourceVector:
    job = inputs.config.jobs.get(task.job)
    observed = inputs.usage_by_job.get(task.job)
    if job is None or observed is None or task.pool not in inputs.pools:
        return task.need
    return usage_estimates.estimate_need(job, observed)


def _placed_task(
    inputs: ViewInputs, name: str, task: task_rows.Task
) -> worker_capacity.PlacedTask:
    report = inputs.snapshot.reports.get(task.operation)
    job = inputs.config.jobs.get(task.job)
    return worker_capacity.PlacedTask(
        name,
        task.worker,
        _need_of(inputs, task),
        urgent=job is not None and job.urgent,
        is_stopping=bool(task.stopping),
        memory_mb_used=report.memory_mb_used if report else 0,
    )


def _pending_tasks(inputs: ViewInputs) -> list[worker_capacity.PendingTask]:
    placed_indices: dict[str, set[int]] = {}
    for found in inputs.snapshot.tasks.values():
        placed_indices.setdefault(found.row.job, set()).add(found.row.index)
    capacities = worker_availability.capacities_by_pool(inputs.snapshot.fleet)
    pending: list[worker_capacity.PendingTask] = []
    for name, job in sorted(inputs.config.jobs.items()):
        state = inputs.states.get(name, job_progress.JobProgress())
        if job.pool not in inputs.pools or job.cancelled or state.aside:
            continue
        observed = inputs.usage_by_job.get(
            name, usage_estimates.ObservedUsage()
        )
        need = _feasible_need(job, observed, capacities.get(job.pool, []))
        pending += [
            worker_capacity.PendingTask(
                task_rows.name(name, index),
                name,
                job.pool,
                job.team,
                need,
                job.urgent,
                frozenset(state.failed_on),
            )
            for index in job_progress.unplaced_indices(
                job, state, placed_indices.get(name, ())
            )
        ]
    return pending


def _feasible_need(
    job: config_lib.Job,
    observed: usage_estimates.ObservedUsage,
    capacities: list[task_rows.ResourceVector],
) -> task_rows.ResourceVector:
    """Returns a job's need, capped at the largest worker if none can meet it.

    The declaration may be twice what the task uses, so that starting it on
    an empty worker may succeed.
    """
    need = usage_estimates.estimate_need(job, observed)
    if not capacities or any(need.fits_within(one) for one in capacities):
        return need
    largest = max(capacities, key=lambda one: (one.memory_mb, one.cores))
    return usage_estimates.cap_need(need, largest)
