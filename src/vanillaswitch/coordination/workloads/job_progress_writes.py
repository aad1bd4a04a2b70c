"""Writes of job rows, each with the decision that explains it."""

from collections.abc import Mapping

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

_SET_ASIDE_RULE = "a job that can never run is put aside"
_WAIT_RULE = "a job waits until there is room for it"


def changed_state_puts(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    snapshot: placement_view.PlacementSnapshot,
    states: Mapping[str, job_progress.JobProgress],
    wait_reasons: Mapping[str, str],
) -> list[platform.Put]:
    """Returns the writes of the job states that differ from their rows.

    Args:
        context: of the step.
        fence: of the duty.
        snapshot: rows and reports that the step decides on.
        states: of the duty's jobs.
        wait_reasons: reason by waiting job, to be written as decisions.
    """
    changed = []
    decisions = [
        _decision(context, fence, name, reason, _WAIT_RULE, {})
        for name, reason in sorted(wait_reasons.items())
    ]
    for name, state in states.items():
        found = snapshot.jobs.get(name)
        before = (
            found.row if found else job_progress.JobProgress(shape=state.shape)
        )
        if state == before:
            continue
        version = found.version if found else platform.ABSENT
        changed.append(platform.Put(keys.job(name), version, rows.dump(state)))
        if state.aside and state.aside != before.aside:
            decisions.append(_set_aside_decision(context, fence, name, state))
    return changed + _decision_puts(context, decisions)


def _set_aside_decision(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    name: str,
    state: job_progress.JobProgress,
) -> decision_records.Decision:
    figures = {"failures": float(sum(state.failed_on.values()))}
    return _decision(
        context, fence, name, state.aside, _SET_ASIDE_RULE, figures
    )


def _decision(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    name: str,
    cause: str,
    rule: str,
    figures: Mapping[str, float],
) -> decision_records.Decision:
    return decision_records.Decision(
        subject=decision_records.job_subject(name),
        cause=cause,
        rule=rule,
        figures=figures,
        actor=keys.name_of(keys.DUTIES, fence.key),
        wall_s=context.clock.wall(),
    )


def _decision_puts(
    context: controller.DutyContext, decisions: list[decision_records.Decision]
) -> list[platform.Put]:
    """Returns the writes of the decisions; none if their rows can't be read."""
    if not decisions:
        return []
    found = context.platform.table.read(
        decision_records.history_keys(decisions)
    )
    if isinstance(found, platform.Unavailable):
        return []
    return list(decision_records.build_puts(decisions, found.rows))
