"""Runs the duty that manages the pools of one service."""

from collections.abc import Collection
from collections.abc import Mapping

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_cache
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import pool_step
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

REPLACE_AFTER_S = 30.0
"""A worker with unplanned downtime of this length is replaced."""

FORGET_AFTER_S = 3600.0
"""The row of an instance that is unlisted and down this long is deleted."""

_DOWN_SINCE = "down-since"
_INITIALIZED = "settled-in"


@controller.duty_step(duty_names.POOL_GROUP)
def step(
    context: controller.DutyContext, name: str, fence: duty_assignment.Fence
) -> None:
    """Runs one planning step for the pools of a service."""
    service = duty_names.subject_of(name)
    cache = fleet_cache.cache_of(context)
    view = _build_view(context, cache, service)
    busy = False
    if view is not None:
        decided = pool_step.decide(view)
        changes.commit_and_call(context, fence, view.fleet, decided)
        wrote = not decided.changes.is_empty
        busy = bool(wrote or decided.calls or view.moves_to_begin)
    pause_s = cache.read_throttle.pause_s(context.clock.monotonic(), busy)
    context.set_pause(not busy, pause_s)


def _build_view(
    context: controller.DutyContext, cache: fleet_cache.FleetCache, service: str
) -> pool_step.PoolView | None:
    now = context.clock.monotonic()
    if not cache.refresh(context.platform, now):
        return None
    if not _refresh_services(context, cache, service):
        return None
    names = _names_in_scope(cache.fleet, context.config, {service}, service)
    statuses = cache.fetch_statuses(context.platform, names, now)
    if isinstance(statuses, platform.Unavailable):
        return None
    down_seconds = _down_seconds(context, names, statuses)
    lost = {
        name for name, age in down_seconds.items() if age >= REPLACE_AFTER_S
    }
    moves_to_begin = _plan_moves(context, cache, service, statuses, lost)
    # If another process has added a worker since the last full read, the
    # pool would get one worker too many.
    if moves_to_begin and cache.reread_if_old(context.platform, now):
        moves_to_begin = _plan_moves(context, cache, service, statuses, lost)
    # Workers may come from other services, whose statuses are still missing.
    sources = _source_services(cache.fleet, names, moves_to_begin) - {service}
    if sources:
        if not cache.refresh_services(context.platform, sources - {""}, now):
            return None
        more_names = _names_in_scope(
            cache.fleet, context.config, sources, service
        )
        more_statuses = cache.fetch_statuses(
            context.platform, set(more_names) - set(names), now
        )
        if isinstance(more_statuses, platform.Unavailable):
            return None
        names, statuses = {*names, *more_names}, {**statuses, **more_statuses}
        moves_to_begin = _plan_moves(context, cache, service, statuses, lost)
    fleet = cache.fleet.subset(names, statuses)
    to_remove = {
        name
        for name, age in down_seconds.items()
        if age >= FORGET_AFTER_S
        and name in fleet.members
        and fleet.members[name].listing is None
    }
    return pool_step.PoolView(
        service,
        fleet,
        cache.fleet,
        context.config,
        tuple(move for move in moves_to_begin if move.worker in fleet.members),
        frozenset(lost),
        frozenset(to_remove),
        context.clock.wall(),
        lambda: ids.new_id(context.rng),
    )


def _refresh_services(
    context: controller.DutyContext, cache: fleet_cache.FleetCache, service: str
) -> bool:
    """Updates the rows that this duty's decisions are based on.

    A new holder reads every service and the spare workers, because a move that
    its predecessor began is in the row of a worker of another service.
    """
    now = context.clock.monotonic()
    services = {service}
    spare: Collection[str] = ()
    if not context.soft_state.get(_INITIALIZED):
        services.update(context.config.services)
        spare = _names_in_scope(cache.fleet, context.config, {""}, service)
    elif pool_step.manages_spare(context.config, service):
        found = {m.row.service for m in cache.fleet.members.values()}
        services |= found - context.config.services.keys() - {""}
    refreshed = cache.refresh_services(context.platform, services, now, spare)
    context.soft_state[_INITIALIZED] = refreshed or context.soft_state.get(
        _INITIALIZED
    )
    return refreshed


def _names_in_scope(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    services: Collection[str],
    service: str,
) -> Collection[str]:
    """Returns the members of services, and those that the duty manages."""
    return {
        name
        for name, member in fleet.members.items()
        if member.row.service in services
        or pool_step.is_responsible_for(config, service, member.row)
    }


def _plan_moves(
    context: controller.DutyContext,
    cache: fleet_cache.FleetCache,
    service: str,
    statuses: Mapping[str, platform.InstanceStatus],
    lost: Collection[str],
) -> tuple[move_planner.Move, ...]:
    known = {n: one for n, one in statuses.items() if n in cache.fleet.members}
    whole = cache.fleet.with_statuses(known)
    return pool_step.plan_moves(whole, context.config, service, lost)


def _source_services(
    fleet: fleet_state.Fleet,
    names: Collection[str],
    moves_to_begin: Collection[move_planner.Move],
) -> set[str]:
    """Returns the services of workers that are moving or about to move."""
    moving = {move.worker for move in moves_to_begin}
    moving |= {name for name in names if fleet.members[name].row.target_pool}
    return {fleet.members[name].row.service for name in moving}


def _down_seconds(
    context: controller.DutyContext,
    names: Collection[str],
    statuses: Mapping[str, platform.InstanceStatus],
) -> dict[str, float]:
    """Returns the seconds of unplanned downtime of each down instance.

    Times are on this process's monotonic clock. A new holder starts from zero,
    which can delay a replacement but never makes it early.
    """
    now = context.clock.monotonic()
    before = context.soft_state.get(_DOWN_SINCE, {})
    since = {
        name: before.get(name, now)
        for name in names
        if _is_down(statuses.get(name))
    }
    context.soft_state[_DOWN_SINCE] = since
    return {name: now - then for name, then in since.items()}


def _is_down(status: platform.InstanceStatus | None) -> bool:
    return status is None or status.phase is platform.MaintenancePhase.DOWN
