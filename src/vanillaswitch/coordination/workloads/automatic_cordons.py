"""Cordons of workers on which jobs fail, within the service's budget."""

from collections.abc import Collection
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys

FailedJobs = Mapping[str, tuple[str, ...]]
"""Names of the jobs that failed, by worker."""


def cordon_faulty_workers(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    snapshot: placement_view.PlacementSnapshot,
    states: Mapping[str, job_progress.JobProgress],
    healthy_jobs: Collection[str],
) -> None:
    """Cordons faulty workers, those with the most failed jobs first.

    Args:
        context: of the step.
        fence: of the duty.
        snapshot: rows and reports that the step decides on.
        states: of the duty's jobs.
        healthy_jobs: jobs that have a finished task or one that has run for
            a while.
    """
    proven_workers = placement_view.proven_workers(snapshot)
    by_service: dict[str, dict[str, tuple[str, ...]]] = {}
    for worker, failed in job_progress.faulty_workers(
        states, proven_workers, healthy_jobs
    ).items():
        member = snapshot.fleet.members.get(worker)
        if member is not None and not member.row.cordoned:
            found = by_service.setdefault(member.row.service, {})
            found[worker] = failed
    for service, found in sorted(by_service.items()):
        allowance = budgets.headroom(
            snapshot.fleet,
            context.config,
            service,
            platform.InstanceKind.WORKER,
        )
        chosen = job_progress.choose_cordons(found, allowance)
        if chosen:
            decided = _cordon_changes(
                context, fence, snapshot.fleet, {w: found[w] for w in chosen}
            )
            # The budget row is written unchanged. A wave that takes workers
            # down at the same time then conflicts with this transaction.
            budget = snapshot.fleet.budget(service).row
            decided = dataclasses.replace(decided, budgets={service: budget})
            changes.commit(context, fence, snapshot.fleet, decided)


def _cordon_changes(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    fleet: fleet_state.Fleet,
    chosen: FailedJobs,
) -> changes.Changes:
    reasons = {
        worker: "failed several jobs in a row: " + ", ".join(failed)
        for worker, failed in chosen.items()
    }
    return changes.Changes(
        instances={
            worker: dataclasses.replace(
                fleet.members[worker].row, cordoned=True, reason=reason
            )
            for worker, reason in reasons.items()
        },
        decisions=tuple(
            decision_records.Decision(
                subject=decision_records.instance_subject(worker),
                cause=reason,
                rule="a worker that fails several jobs is cordoned",
                figures={"jobs": len(chosen[worker])},
                actor=keys.name_of(keys.DUTIES, fence.key),
                wall_s=context.clock.wall(),
            )
            for worker, reason in reasons.items()
        ),
    )
