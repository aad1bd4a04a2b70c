"""Capacity of workers, and whether they take tasks."""

from collections.abc import Collection

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.maintenance import fleet_cache
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.protocol import platform


def read_fleet(
    context: controller.DutyContext, services: Collection[str]
) -> fleet_state.Fleet | platform.Unavailable:
    """Returns all members of the fleet.

    Only the workers of ``services`` are asked for their status.
    """
    cache = fleet_cache.cache_of(context)
    source = context.platform
    now = context.clock.monotonic()
    if not cache.refresh(source, now):
        return platform.Unavailable("the fleet's rows or list are unavailable")
    if not cache.refresh_services(source, services, now):
        return platform.Unavailable("the budget rows are unavailable")
    workers = {
        name
        for name, member in cache.fleet.members.items()
        if member.row.service in services
        and member.row.kind is platform.InstanceKind.WORKER
    }
    statuses = cache.fetch_statuses(source, workers, now)
    if isinstance(statuses, platform.Unavailable):
        return statuses
    return cache.fleet.with_statuses(statuses)


def capacity_of(member: fleet_state.Member) -> task_rows.ResourceVector | None:
    """Returns a worker's capacity; None while the list does not show it."""
    listing = member.listing
    if listing is None or listing.cores <= 0 or listing.memory_mb <= 0:
        return None
    return task_rows.ResourceVector(
        listing.cores, listing.memory_mb, listing.accelerators
    )


def capacities_by_pool(
    fleet: fleet_state.Fleet,
) -> dict[str, list[task_rows.ResourceVector]]:
    """Returns the capacities of each pool's workers that the list shows."""
    found: dict[str, list[task_rows.ResourceVector]] = {}
    for member in fleet.members.values():
        capacity = capacity_of(member)
        if capacity is not None:
            found.setdefault(member.row.pool, []).append(capacity)
    return found


def drain_reason(member: fleet_state.Member | None) -> str:
    """Returns why tasks must leave a worker; empty when they may stay."""
    if member is None:
        return ""
    if member.row.target_pool:
        return f"worker moves to pool {member.row.target_pool}"
    if member.row.phase is not platform.MaintenancePhase.SERVING:
        return f"worker is {member.row.phase}"
    if member.listing and member.listing.state is not platform.ListedState.LIVE:
        return "worker is leaving"
    return ""


def is_schedulable(member: fleet_state.Member) -> bool:
    """Returns whether a worker takes new tasks."""
    is_serving = (
        member.status is not None
        and member.status.phase is platform.MaintenancePhase.SERVING
    )
    return is_serving and not member.row.cordoned and not drain_reason(member)
