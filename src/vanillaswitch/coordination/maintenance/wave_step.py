"""Decides one step of a maintenance wave, without side effects.

A step first records failures, then advances or undoes the maintenance of
instances that are down, and last takes down the next instances of the round.
"""

import dataclasses

from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import wave_candidates
from vanillaswitch.coordination.maintenance import wave_delays
from vanillaswitch.coordination.maintenance import wave_evaluation
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.coordination.maintenance import wave_wait_reasons
from vanillaswitch.protocol import platform


def decide(view: wave_evaluation.WaveView) -> changes.StepPlan:
    """Returns the next step of a wave that was started."""
    draft = changes.ChangesBuilder(view.fleet)
    wave = wave_evaluation.record_failures(view)
    wave = wave_evaluation.stop_if_correlated(view, wave, draft)
    calls, done = _advance_instances(view, wave, draft)
    wave = wave_evaluation.record_done(wave, done)
    wave = wave_evaluation.finish_if_complete(view, wave, draft)
    started = False
    if wave.state is wave_state.WaveState.RUNNING and not view.remaining_soak_s:
        started = _start_next(view, wave, draft)
    wave = wave_wait_reasons.record_wait_reason(view, wave, started, draft)
    wave = wave_delays.record_slow_drains(view, wave, draft)
    if not wave.equals_except_done(view.wave):
        draft.put_wave(view.name, wave)
    # If an operator paused the wave meanwhile, the take-down conflicts.
    if started:
        draft.require_unchanged_wave(view.name)
    return changes.StepPlan(draft.build(), tuple(calls))


def _advance_instances(
    view: wave_evaluation.WaveView,
    wave: wave_state.Wave,
    draft: changes.ChangesBuilder,
) -> tuple[list[instance_steps.PlatformCall], list[str]]:
    """Advances the instances in maintenance.

    Returns:
        The calls to make, and the instances that are done.
    """
    drains_to_undo = _drains_to_undo(view, wave)
    calls = []
    done = []
    for member in view.under_way:
        if member.name in view.unfinished_reboots:
            continue
        step = instance_steps.next_step(
            member.name,
            member.row,
            member.status,
            member.name in drains_to_undo,
            member.row.service,
            view.new_operation,
        )
        if isinstance(step, instance_steps.PlatformCall):
            calls.append(step)
        if not isinstance(step, instance_steps.Advance):
            continue
        row = step.row
        if not instance_steps.is_in_progress(row) and _has_rebooted(member):
            row = dataclasses.replace(
                row, maintained=wave.completion_mark(view.name)
            )
            done.append(member.name)
        draft.put_instance(member.name, row)
    return calls, done


def _has_rebooted(member: fleet_state.Member) -> bool:
    return bool(member.status and member.status.boots > member.row.boots)


def _drains_to_undo(
    view: wave_evaluation.WaveView, wave: wave_state.Wave
) -> frozenset[str]:
    """Returns the draining instances to return to service without a reboot.

    A stopped wave must not reboot more instances, as others did not come back
    from that reboot. A paused wave completes the maintenance that it started.
    """
    draining = [
        member
        for member in view.under_way
        if member.row.phase is platform.MaintenancePhase.DRAINING
    ]
    evaluated = [
        m for m in draining if m.row.service in view.evaluated_services
    ]
    if wave.state is wave_state.WaveState.STOPPED:
        return frozenset(member.name for member in draining)
    return budgets.drains_to_undo(view.fleet, view.config, evaluated)


def _start_next(
    view: wave_evaluation.WaveView,
    wave: wave_state.Wave,
    draft: changes.ChangesBuilder,
) -> bool:
    """Takes down the next instances of the round; returns whether any."""
    waiting = [
        member
        for member in wave_candidates.waiting_members(wave, view.fleet)
        if member.row.service in view.evaluated_services
    ]
    kind = wave_plan.KIND_BY_TARGET[view.config.waves[view.name].targets]
    started = False
    for service in sorted({member.row.service for member in waiting}):
        group = [m for m in waiting if m.row.service == service]
        started |= _start_service(view, wave, draft, service, kind, group)
    return started


def _start_service(
    view: wave_evaluation.WaveView,
    wave: wave_state.Wave,
    draft: changes.ChangesBuilder,
    service: str,
    kind: platform.InstanceKind,
    waiting: list[fleet_state.Member],
) -> bool:
    chosen, headroom = _choose_next(view, service, kind, waiting)
    for member in chosen:
        assert member.status is not None  # only members that answered are up
        row = instance_steps.begin_drain(
            member.row, member.status, view.new_operation()
        )
        draft.put_instance(
            member.name, dataclasses.replace(row, wave=view.name)
        )
    if chosen:
        figures = {
            "round": float(
                wave_candidates.round_index(wave, chosen[0].name) + 1
            ),
            "headroom": float(headroom),
            "taken": float(len(chosen)),
        }
        names = ", ".join(member.name for member in chosen)
        cause = f"{service}: {names} are next in {chosen[0].domain}"
        draft.add_decision(
            wave_evaluation.build_decision(
                view, cause, "headroom of budget", figures
            )
        )
    return bool(chosen)


def _choose_next(
    view: wave_evaluation.WaveView,
    service: str,
    kind: platform.InstanceKind,
    waiting: list[fleet_state.Member],
) -> tuple[list[fleet_state.Member], int]:
    """Returns the instances to take down and the headroom before that.

    Cordoned instances already count as down, so taking them down uses no
    headroom.
    """
    planned = view.fleet.budget(service).row.down
    headroom = budgets.headroom(view.fleet, view.config, service, kind)
    ready = [
        member
        for member in waiting
        if budgets.down_reason(member, planned) is None
        or budgets.is_down_only_by_cordon(member, planned)
    ]
    if headroom < 0:
        return [], headroom
    members = budgets.members_of(view.fleet, service, kind)
    selected = wave_candidates.select_one_domain(members, planned, ready)
    cordoned = [member for member in selected if member.row.cordoned]
    others = [member for member in selected if not member.row.cordoned]
    return cordoned + others[:headroom], headroom
