"""Supply and demand of pools, as input of the move and spare planners."""

import collections
from collections.abc import Collection

from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib


def list_workers(fleet: fleet_state.Fleet) -> tuple[fleet_state.Member, ...]:
    """Returns all workers, sorted by name."""
    return tuple(
        member
        for _, member in sorted(fleet.members.items())
        if member.row.kind is platform.InstanceKind.WORKER
    )


def workers_by_pool(
    fleet: fleet_state.Fleet, lost: Collection[str] = ()
) -> dict[str, list[move_planner.PoolWorker]]:
    """Returns the workers of each pool.

    A worker that is moving counts in its target pool.

    Args:
        fleet: current state of the fleet.
        lost: workers to leave out, because they need a replacement.
    """
    pools: dict[str, list[move_planner.PoolWorker]] = {}
    for member in list_workers(fleet):
        if member.name in lost:
            continue
        row = member.row
        serving = (
            row.phase is platform.MaintenancePhase.SERVING and not row.cordoned
        )
        tasks = member.status.in_flight if member.status else 0
        worker = move_planner.PoolWorker(
            member.name, member.domain, tasks, serving
        )
        pools.setdefault(row.target_pool or row.pool, []).append(worker)
    return pools


def required_workers(
    fleet: fleet_state.Fleet, config: config_lib.Config
) -> dict[str, int]:
    """Returns the required workers of each pool and of the spare pool."""
    needed = {name: pool.workers for name, pool in config.pools.items()}
    needed[spare_capacity.SPARE_POOL] = spare_capacity.SIZING_POLICIES.get(
        spare_capacity.DEFAULT_SIZING_POLICY
    )(service_demands(fleet, config))
    return needed


def service_demands(
    fleet: fleet_state.Fleet, config: config_lib.Config
) -> list[spare_capacity.ServiceDemand]:
    """Returns each service's input for sizing the spare pool."""
    racks: dict[str, dict[str, int]] = {name: {} for name in config.services}
    planned = dict.fromkeys(config.services, 0)
    for member in list_workers(fleet):
        service = member.row.service
        if service not in racks:
            continue
        by_rack = racks[service]
        by_rack[member.domain] = by_rack.get(member.domain, 0) + 1
        planned[service] += bool(member.row.wave)
    pools = collections.Counter(p.service for p in config.pools.values())
    return [
        spare_capacity.ServiceDemand(
            name,
            pools[name],
            racks[name],
            service.availability_budget.workers_down,
            planned[name],
        )
        for name, service in config.services.items()
    ]
