"""Decides one planning step for a service's pools, without side effects.

A step advances moves in progress, resumes instances that are drained without
a planned operation, adopts newly listed instances, begins moves, and deletes
the rows of instances that no longer exist, in this order.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import pool_demand
from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows

MAX_ADOPTED_PER_STEP = 50
"""Most instances of a kind adopted in one transaction."""


@dataclasses.dataclass(frozen=True)
class PoolView:
    """Input of a step.

    Attributes:
        service: the service whose pools are managed.
        fleet: the members that this step decides on, with their statuses.
        full_fleet: all members, without statuses.
        config: the configuration in force.
        moves_to_begin: moves to begin, as planned by ``plan_moves``.
        lost: workers that have been down so long that their pool needs a
            replacement.
        to_remove: instances whose rows to delete.
        wall_s: wall-clock time, seconds since the Unix epoch.
        new_operation: generates the id of a new operation.
    """

    service: str
    fleet: fleet_state.Fleet
    full_fleet: fleet_state.Fleet
    config: config_lib.Config
    moves_to_begin: tuple[move_planner.Move, ...]
    lost: frozenset[str]
    to_remove: frozenset[str]
    wall_s: float
    new_operation: Callable[[], str]

    def is_responsible_for(self, row: rows.Instance) -> bool:
        """Returns whether this service's duty manages an instance."""
        return is_responsible_for(self.config, self.service, row)


def is_responsible_for(
    config: config_lib.Config, service: str, row: rows.Instance
) -> bool:
    """Returns whether a service's duty manages an instance.

    The target's duty manages a moving worker, because that pool lacks it.
    """
    owner = row.service
    if row.target_pool:
        owner = service_of_pool(config, row.target_pool)
    if owner not in config.services:
        return manages_spare(config, service)
    return owner == service


def manages_spare(config: config_lib.Config, service: str) -> bool:
    """Returns whether a service's duty manages instances without a service.

    These are the spare workers and the instances of services that are not in
    the configuration. The duty of the first service by name manages them.
    """
    return service == min(config.services, default="")


def service_of_pool(config: config_lib.Config, pool: str) -> str:
    """Returns the service of a worker pool; empty for the spare pool."""
    found = config.pools.get(pool)
    return found.service if found else ""


def decide(view: PoolView) -> changes.StepPlan:
    """Decides the next step for the pools of one service."""
    draft = changes.ChangesBuilder(view.fleet)
    calls = _advance_members(view, draft)
    _resume_drained(view, draft)
    _adopt(view, draft)
    _begin_moves(view, draft)
    for name in sorted(view.to_remove):
        if view.is_responsible_for(view.fleet.members[name].row):
            draft.delete_instance(name)
    return changes.StepPlan(draft.build(), tuple(calls))


def plan_moves(
    whole: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    lost: Collection[str],
) -> tuple[move_planner.Move, ...]:
    """Plans the moves that a service's duty has to begin.

    Args:
        whole: all members, with the statuses that are available.
        config: the configuration in force.
        service: the duty's service.
        lost: workers to replace.
    """
    held = pool_demand.workers_by_pool(whole, lost)
    if not _is_short(held, config, service):
        return ()
    needs = pool_demand.required_workers(whole, config)
    planned = move_planner.MOVE_PLANNERS.get(move_planner.DEFAULT_PLANNER)(
        held, needs
    )
    return tuple(
        move for move in planned if _is_begun_by(config, service, move.target)
    )


def _is_short(
    held: move_planner.WorkersByPool, config: config_lib.Config, service: str
) -> bool:
    """Returns whether this service's duty may have moves to begin."""
    if manages_spare(config, service):
        return True
    return any(
        pool.service == service and len(held.get(name, ())) < pool.workers
        for name, pool in config.pools.items()
    )


def _is_begun_by(config: config_lib.Config, service: str, target: str) -> bool:
    if target == spare_capacity.SPARE_POOL:
        return manages_spare(config, service)
    return service_of_pool(config, target) == service


def _under_way(view: PoolView) -> Iterator[fleet_state.Member]:
    """Yields members with an operation in progress that no wave manages."""
    for _, member in sorted(view.fleet.members.items()):
        if not instance_steps.is_in_progress(member.row):
            continue
        # A wave that was removed from the configuration has no duty any more.
        # The instances that it left drained would never serve again.
        without_wave = member.row.wave not in view.config.waves
        if without_wave and view.is_responsible_for(member.row):
            yield member


def _advance_members(
    view: PoolView, draft: changes.ChangesBuilder
) -> list[instance_steps.PlatformCall]:
    """Advances operations in progress; returns the platform calls to send."""
    members = list(_under_way(view))
    undone = _moves_to_undo(view, members)
    calls = []
    for member in members:
        step = instance_steps.next_step(
            member.name,
            member.row,
            member.status,
            member.name in undone,
            service_of_pool(view.config, member.row.target_pool),
            view.new_operation,
        )
        if isinstance(step, instance_steps.PlatformCall):
            calls.append(step)
        elif isinstance(step, instance_steps.Advance):
            draft.put_instance(member.name, step.row)
    return calls


def _moves_to_undo(
    view: PoolView, members: list[fleet_state.Member]
) -> frozenset[str]:
    """Returns draining members without a valid target or budget headroom."""
    draining = [
        member
        for member in members
        if member.row.phase is platform.MaintenancePhase.DRAINING
    ]
    pools = {*view.config.pools, spare_capacity.SPARE_POOL}
    without_target = frozenset(
        m.name for m in draining if m.row.target_pool not in pools
    )
    return without_target | budgets.drains_to_undo(
        view.fleet, view.config, draining
    )


def _resume_drained(view: PoolView, draft: changes.ChangesBuilder) -> None:
    """Resumes instances that are drained without a planned operation.

    An instance that reboots unexpectedly comes back drained and would stay
    drained.
    """
    for name, member in sorted(view.fleet.members.items()):
        status = member.status
        if (
            member.row.phase is not platform.MaintenancePhase.SERVING
            or status is None
        ):
            continue
        drained = status.phase is platform.MaintenancePhase.DRAINED
        if drained and view.is_responsible_for(member.row):
            row = instance_steps.begin_resume(
                member.row, status, view.new_operation()
            )
            draft.put_instance(name, row)


def _adopt(view: PoolView, draft: changes.ChangesBuilder) -> None:
    """Assigns newly listed instances to their first pool."""
    minions = [
        listing
        for listing in view.fleet.unassigned
        if listing.kind is platform.InstanceKind.MINION
        and listing.service == view.service
    ]
    for listing in minions[:MAX_ADOPTED_PER_STEP]:
        draft.put_instance(
            listing.instance, _new_row(listing, view.service, view.service)
        )
    if manages_spare(view.config, view.service):
        _adopt_workers(view, draft)


def _adopt_workers(view: PoolView, draft: changes.ChangesBuilder) -> None:
    """Assigns new workers to pools with a shortage, others to the spare."""
    workers = [
        listing
        for listing in view.fleet.unassigned
        if listing.kind is platform.InstanceKind.WORKER
    ][:MAX_ADOPTED_PER_STEP]
    held = dict(pool_demand.workers_by_pool(view.full_fleet, view.lost))
    new = [move_planner.PoolWorker(one.instance, _rack(one)) for one in workers]
    # Plan for the new workers only: those of the pools stay where they are.
    fixed = {
        pool: [dataclasses.replace(one, is_movable=False) for one in group]
        for pool, group in held.items()
        if pool != spare_capacity.SPARE_POOL
    }
    needs = pool_demand.required_workers(view.full_fleet, view.config)
    planned = move_planner.plan_fewest_moves(
        {**fixed, spare_capacity.SPARE_POOL: new}, needs
    )
    pools = {move.worker: move.target for move in planned}
    for listing in workers:
        pool = pools.get(listing.instance, spare_capacity.SPARE_POOL)
        service = service_of_pool(view.config, pool)
        draft.put_instance(listing.instance, _new_row(listing, pool, service))


def _new_row(
    listing: platform.Listing, pool: str, service: str
) -> rows.Instance:
    return rows.Instance(
        pool, listing.kind, service, listing.data_centre, listing.rack
    )


def _rack(listing: platform.Listing) -> str:
    return f"{listing.data_centre}/{listing.rack}"


def _begin_moves(view: PoolView, draft: changes.ChangesBuilder) -> None:
    """Starts the drains of planned moves as far as budgets allow."""
    headroom: dict[str, int] = {}
    worker = platform.InstanceKind.WORKER
    for move in view.moves_to_begin:
        member = view.fleet.members[move.worker]
        service = member.row.service
        if service in view.config.services and service not in headroom:
            headroom[service] = budgets.headroom(
                view.fleet, view.config, service, worker
            )
        planned = view.fleet.budget(service).row.down
        if member.status is None or budgets.down_reason(member, planned):
            continue
        if service in headroom and headroom[service] <= 0:
            continue
        headroom[service] = headroom.get(service, 0) - 1
        row = instance_steps.begin_drain(
            member.row, member.status, view.new_operation()
        )
        row = dataclasses.replace(row, target_pool=move.target)
        draft.put_instance(move.worker, row)
        draft.add_decision(_decision(view, move, headroom))


def _decision(
    view: PoolView, move: move_planner.Move, headroom: Mapping[str, int]
) -> decision_records.Decision:
    figures = {f"headroom of {name}": float(n) for name, n in headroom.items()}
    return decision_records.Decision(
        decision_records.pool_subject(move.target),
        f"{move.worker} comes from {move.source}: a worker is missing",
        "fewest moves",
        figures,
        f"duty pool-group/{view.service}",
        view.wall_s,
    )
