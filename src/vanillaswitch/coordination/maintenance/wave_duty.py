"""The duty that runs one maintenance wave."""

from collections.abc import Mapping
from typing import Any

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_cache
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import reboot_times
from vanillaswitch.coordination.maintenance import wave_candidates
from vanillaswitch.coordination.maintenance import wave_delays
from vanillaswitch.coordination.maintenance import wave_evaluation
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.coordination.maintenance import wave_step
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform

REBOOT_TIMEOUT_S = 600.0
"""An instance has failed if its reboot takes longer than this."""

UNAVAILABLE_TIMEOUT_S = 10.0
"""An instance has failed if it is down or doesn't answer for this long."""

MAX_SERVICES_PER_STEP = 12
"""Limit on the services evaluated in one step while instances are down.

It bounds the number of instances that a step asks for their status.
"""

_FLEET_READ = "seen"
_NEXT_SERVICE = "turn"
_PROBLEM_SINCE = "since"
_IDLE_VERSION = "settled"


@controller.duty_step(duty_names.WAVE)
def step_wave(
    context: controller.DutyContext, name: str, fence: duty_assignment.Fence
) -> None:
    """Runs one step of a wave; does nothing while the platform is away."""
    wave = duty_names.subject_of(name)
    cache = fleet_cache.cache_of(context)
    view = (
        _build_view(context, cache, wave)
        if wave in context.config.waves
        else None
    )
    is_busy = False
    if view is not None:
        decision = wave_step.decide(view)
        changes.commit_and_call(context, fence, view.fleet, decision)
        has_written = not decision.changes.is_empty
        is_busy = bool(has_written or decision.calls or view.under_way)
        if not is_busy:
            version = view.whole_fleet.waves[wave].version
            context.soft_state[_IDLE_VERSION] = version
    pause_s = cache.read_throttle.pause_s(context.clock.monotonic(), is_busy)
    context.set_pause(not is_busy, pause_s)


def _build_view(
    context: controller.DutyContext, cache: fleet_cache.FleetCache, wave: str
) -> wave_evaluation.WaveView | None:
    now = context.clock.monotonic()
    if not cache.refresh(context.platform, now) or _is_idle(
        context, cache, wave
    ):
        return None
    if not _read_current_rows(context, cache, wave):
        return None
    row = cache.fleet.wave_with_done(wave)
    services = _services_to_evaluate(context, cache.fleet, wave, row)
    if not cache.refresh_services(context.platform, services, now):
        return None
    whole_fleet = cache.fleet
    spec = context.config.waves[wave]
    soak_s = wave_delays.remaining_soak_s(context.soft_state, row, spec, now)
    names = {
        name
        for name, member in whole_fleet.members.items()
        if member.row.service in services or member.row.wave == wave
    }
    if soak_s:
        names |= set(row.rounds[0]) & whole_fleet.members.keys()
    unfinished_reboots = reboot_times.find_unfinished_reboots(
        context.soft_state, whole_fleet, wave, now
    )
    statuses = cache.fetch_statuses(
        context.platform, names - unfinished_reboots, now
    )
    if isinstance(statuses, platform.Unavailable):
        return None
    fleet = whole_fleet.subset(sorted(names), statuses)
    return wave_evaluation.WaveView(
        wave,
        fleet,
        whole_fleet,
        frozenset(services),
        unfinished_reboots,
        context.config,
        _find_failing(context, fleet, wave, row),
        wave_delays.find_slow_drains(
            context.soft_state,
            {n: m for n, m in fleet.members.items() if m.row.wave == wave},
            spec.drain_limit_s,
            now,
        ),
        soak_s,
        context.clock.wall(),
        lambda: ids.new_id(context.rng),
    )


def _is_idle(
    context: controller.DutyContext, cache: fleet_cache.FleetCache, name: str
) -> bool:
    """Returns whether a wave has nothing to do, reading at most its row.

    A wave is idle if it was never started, or if it is not running and its
    row has the version at which an earlier step found nothing to do. It also
    counts as idle while its row can't be read. The row of a running wave is
    not read again: each take-down checks its version, and a conflict returns
    the newer row.
    """
    found = cache.fleet.waves.get(name)
    running = found and found.row.state is wave_state.WaveState.RUNNING
    if not running or _FLEET_READ not in context.soft_state:
        now = context.clock.monotonic()
        if not cache.read_wave(context.platform, name, now):
            return True
        found = cache.fleet.waves.get(name)
    if found is None:
        return True
    running = found.row.state is wave_state.WaveState.RUNNING
    return (
        not running and context.soft_state.get(_IDLE_VERSION) == found.version
    )


def _read_current_rows(
    context: controller.DutyContext, cache: fleet_cache.FleetCache, name: str
) -> bool:
    """Reads the rows that earlier holders of the duty may have written.

    Instances of the wave that are missing from the cache are read by name.
    They may have joined their pool after this process read the fleet, so a
    missing entry does not mean that the instance is gone.

    Returns:
        False when the platform did not answer.
    """
    wave = cache.fleet.waves[name].row
    names = {one for names in wave.rounds for one in names}
    unknown = names - cache.fleet.members.keys() - wave.failed.keys()
    services: set[str] = set()
    if _FLEET_READ not in context.soft_state:
        planned = _planned_members(cache.fleet, wave)
        services = {member.row.service for member in planned} - {""}
        services.update(context.config.waves[name].services)
    if services or unknown:
        now = context.clock.monotonic()
        if not cache.refresh_services(context.platform, services, now, unknown):
            return False
        context.soft_state[_FLEET_READ] = True
    return True


def _services_to_evaluate(
    context: controller.DutyContext,
    whole_fleet: fleet_state.Fleet,
    name: str,
    wave: wave_state.Wave,
) -> set[str]:
    """Returns the services whose budgets this step evaluates.

    These are the services that wait and may have headroom, and those with
    drains that may have to be undone. While instances of the wave are down,
    each step evaluates only some of them, in rotation.
    """
    planned = _planned_members(whole_fleet, wave)
    under_way = [m for m in planned if m.row.wave == name]
    draining = platform.MaintenancePhase.DRAINING
    services = {m.row.service for m in under_way if m.row.phase is draining}
    if wave.state is wave_state.WaveState.RUNNING:
        config = context.config
        kind = wave_plan.KIND_BY_TARGET[config.waves[name].targets]
        services |= wave_candidates.find_startable_services(
            wave, whole_fleet, config, kind
        )
        if not under_way:
            services |= {
                m.row.service
                for m in wave_candidates.waiting_members(wave, whole_fleet)
            }
    if not under_way or len(services) <= MAX_SERVICES_PER_STEP:
        return services
    ordered = sorted(services)
    first = context.soft_state.get(_NEXT_SERVICE, 0) % len(ordered)
    context.soft_state[_NEXT_SERVICE] = first + MAX_SERVICES_PER_STEP
    rotated = ordered[first:] + ordered[:first]
    return set(rotated[:MAX_SERVICES_PER_STEP])


def _find_failing(
    context: controller.DutyContext,
    fleet: fleet_state.Fleet,
    name: str,
    wave: wave_state.Wave,
) -> dict[str, str]:
    """Returns the wave's instances that count as failed, with the reason.

    A problem is timed on this process's monotonic clock from when the process
    first sees it. A new holder of the duty starts timing again, so it may
    detect a failure late but never too early. A wall-clock time in the row
    could jump. Instances that this step did not ask keep their times.
    """
    now = context.clock.monotonic()
    previous: Mapping[tuple[str, str], float] = context.soft_state.get(
        _PROBLEM_SINCE, {}
    )
    since = {k: v for k, v in previous.items() if k[0] not in fleet.members}
    failing = {}
    for member in _planned_members(fleet, wave):
        for problem, timeout_s in _find_problems(member, name).items():
            key = (member.name, problem)
            since[key] = previous.get(key, now)
            if now - since[key] >= timeout_s:
                failing[member.name] = f"{problem} for {timeout_s:.0f} s"
    memory: dict[str, Any] = context.soft_state
    memory[_PROBLEM_SINCE] = since
    return failing


def _planned_members(
    fleet: fleet_state.Fleet, wave: wave_state.Wave
) -> list[fleet_state.Member]:
    names = {one for names in wave.rounds for one in names}
    return [fleet.members[one] for one in sorted(names & fleet.members.keys())]


def _find_problems(member: fleet_state.Member, wave: str) -> dict[str, float]:
    """Returns each problem of an instance with the seconds it may last."""
    problems: dict[str, float] = {}
    if member.row.wave not in ("", wave):
        return problems
    if member.status is None:
        # An instance doesn't answer during its reboot, so the short timeout
        # would be too early.
        rebooting = member.row.phase is platform.MaintenancePhase.REBOOTING
        problems["silent"] = (
            REBOOT_TIMEOUT_S if rebooting else UNAVAILABLE_TIMEOUT_S
        )
    elif member.status.phase is platform.MaintenancePhase.DOWN:
        problems["down"] = UNAVAILABLE_TIMEOUT_S
    if member.row.phase in (
        platform.MaintenancePhase.REBOOTING,
        platform.MaintenancePhase.DRAINED,
    ):
        problems[f"not back ({member.row.phase})"] = REBOOT_TIMEOUT_S
    return problems
