"""Finds the reasons why a running wave makes no progress.

Without them, an operator would see only "running" for a wave that is blocked,
for example after the loss of a rack.
"""

from collections.abc import Iterator
import dataclasses

from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import wave_candidates
from vanillaswitch.coordination.maintenance import wave_evaluation
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state


def record_wait_reason(
    view: wave_evaluation.WaveView,
    wave: wave_state.Wave,
    started: bool,
    draft: changes.ChangesBuilder,
) -> wave_state.Wave:
    """Returns the wave with its reason to wait, and explains a new one.

    Args:
        view: input of the step.
        wave: the wave after the step.
        started: whether the step takes an instance down.
        draft: receives the explanation.
    """
    running = wave.state is wave_state.WaveState.RUNNING
    is_idle = running and not started and not view.under_way
    reasons = list(_wait_reasons(view, wave)) if is_idle else []
    wait_reason = "; ".join(reasons)
    if wait_reason == wave.waits:
        return wave
    if wait_reason:
        figures = {
            "waiting": float(
                len(wave_candidates.waiting_members(wave, view.fleet))
            )
        }
        draft.add_decision(
            wave_evaluation.build_decision(
                view, wait_reason, "wave waits", figures
            )
        )
    return dataclasses.replace(wave, waits=wait_reason)


def _wait_reasons(
    view: wave_evaluation.WaveView, wave: wave_state.Wave
) -> Iterator[str]:
    if view.remaining_soak_s:
        soak_s = view.config.waves[view.name].soak_s
        yield f"the first round serves for {soak_s:g} s before the next begins"
        return
    members = wave_candidates.waiting_members(wave, view.fleet)
    kind = wave_plan.KIND_BY_TARGET[view.config.waves[view.name].targets]
    for service in sorted({member.row.service for member in members}):
        if service not in view.config.services:
            yield f"{service}: the configuration has no such service"
            continue
        usage = budgets.budget_status(view.fleet, view.config, service, kind)
        if usage.headroom <= 0:
            yield _exhausted_budget(usage)
            continue
        for member in members:
            if member.row.service == service and member.name in usage.down:
                yield f"{member.name}: {usage.down[member.name]}"


def _exhausted_budget(usage: budgets.BudgetStatus) -> str:
    names = ", ".join(sorted(usage.down))
    missing = usage.meant - usage.members
    more = f" and {missing} that never were there" if missing > 0 else ""
    return (
        f"{usage.service}: budget used up, {usage.down_count} of "
        f"{usage.allowed} allowed {usage.kind}s are down ({names}{more})"
    )
