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
from vanillaswitch.coordination.maintenance import buffer
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import explain
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import moves
from vanillaswitch.coordination.maintenance import pool_needs
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
        whole: all members, without statuses.
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
    whole: fleet_state.Fleet
    config: config_lib.Config
    moves_to_begin: tuple[moves.Move, ...]
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


def decide(view: PoolView) -> changes.Decided:
    """Decides the next step for the pools of one service."""
    draft = changes.Draft(view.fleet)
    calls = _advance_members(view, draft)
    _resume_drained(view, draft)
    _adopt(view, draft)
    _begin_moves(view, draft)
    for name in sorted(view.to_remove):
        if view.is_responsible_for(view.fleet.members[name].row):
            draft.delete_instance(name)
    return changes.Decided(draft.build(), tuple(calls))


def plan_moves(
    whole: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    lost: Collection[str],
) -> tuple[moves.Move, ...]:
    """Plans the moves that a service's duty has to begin.

    Args:
        whole: all members, with the statuses that are available.
        config: the configuration in force.
        service: the duty's service.
        lost: workers to replace.
    """
    held = pool_needs.held(whole, lost)
    if not _is_short(held, config, service):
        return ()
    needs = pool_needs.needs(whole, config)
    planned = moves.PLANNERS.get(moves.DEFAULT_PLANNER)(held, needs)
    return tuple(
        move for move in planned if _is_begun_by(config, service, move.target)
    )


def _is_short(
    held: moves.Held, config: config_lib.Config, service: str
) -> bool:
    """Returns whether this service's duty may have moves to begin."""
    if manages_spare(config, service):
        return True
    return any(
        pool.service == service and len(held.get(name, ())) < pool.workers
        for name, pool in config.pools.items()
    )


def _is_begun_by(config: config_lib.Config, service: str, target: str) -> bool:
    if target == buffer.SPARE_POOL:
        return manages_spare(config, service)
    return service_of_pool(config, target) == service


def _under_way(view: PoolView) -> Iterator[fleet_state.Member]:
    """Yields members with an operation in progress that no wave manages."""
    for _, member in sorted(view.fleet.members.items()):
        if not instance_steps.is_under_way(member.row):
            continue
        # A wave that was removed from the configuration has no duty any more.
        # The instances that it left drained would never serve again.
        without_wave = member.row.wave not in view.config.waves
        if without_wave and view.is_responsible_for(member.row):
            yield member


def _advance_members(
    view: PoolView, draft: changes.Draft
) -> list[instance_steps.Call]:
    """Advances operations in progress; returns the platform calls to send."""
    members = list(_under_way(view))
    undone = _moves_to_undo(view, members)
    calls = []
    for member in members:
        step = instance_steps.step(
            member.name,
            member.row,
            member.status,
            member.name in undone,
            service_of_pool(view.config, member.row.target_pool),
            view.new_operation,
        )
        if isinstance(step, instance_steps.Call):
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
        if member.row.phase is platform.Phase.DRAINING
    ]
    pools = {*view.config.pools, buffer.SPARE_POOL}
    without_target = frozenset(
        m.name for m in draining if m.row.target_pool not in pools
    )
    return without_target | budgets.to_return(view.fleet, view.config, draining)


def _resume_drained(view: PoolView, draft: changes.Draft) -> None:
    """Resumes instances that are drained without a planned operation.

    An instance that reboots unexpectedly comes back drained and would stay
    drained.
    """
    for name, member in sorted(view.fleet.members.items()):
        status = member.status
        if member.row.phase is not platform.Phase.SERVING or status is None:
            continue
        drained = status.phase is platform.Phase.DRAINED
        if drained and view.is_responsible_for(member.row):
            row = instance_steps.begin_resume(
                member.row, status, view.new_operation()
            )
            draft.put_instance(name, row)


def _adopt(view: PoolView, draft: changes.Draft) -> None:
    """Assigns newly listed instances to their first pool."""
    minions = [
        listing
        for listing in view.fleet.strangers
        if listing.kind is platform.InstanceKind.MINION
        and listing.service == view.service
    ]
    for listing in minions[:MAX_ADOPTED_PER_STEP]:
        draft.put_instance(
            listing.instance, _new_row(listing, view.service, view.service)
        )
    if manages_spare(view.config, view.service):
        _adopt_workers(view, draft)


def _adopt_workers(view: PoolView, draft: changes.Draft) -> None:
    """Assigns new workers to pools with a shortage, others to the spare."""
    workers = [
        listing
        for listing in view.fleet.strangers
        if listing.kind is platform.InstanceKind.WORKER
    ][:MAX_ADOPTED_PER_STEP]
    held = dict(pool_needs.held(view.whole, view.lost))
    new = [moves.Worker(one.instance, _rack(one)) for one in workers]
    # Plan for the new workers only: those of the pools stay where they are.
    fixed = {
        pool: [dataclasses.replace(one, movable=False) for one in group]
        for pool, group in held.items()
        if pool != buffer.SPARE_POOL
    }
    needs = pool_needs.needs(view.whole, view.config)
    planned = moves.fewest({**fixed, buffer.SPARE_POOL: new}, needs)
    pools = {move.worker: move.target for move in planned}
    for listing in workers:
        pool = pools.get(listing.instance, buffer.SPARE_POOL)
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


def _begin_moves(view: PoolView, draft: changes.Draft) -> None:
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
        row = instance_steps.take_down(
            member.row, member.status, view.new_operation()
        )
        row = dataclasses.replace(row, target_pool=move.target)
        draft.put_instance(move.worker, row)
        draft.explain(_decision(view, move, headroom))


def _decision(
    view: PoolView, move: moves.Move, headroom: Mapping[str, int]
) -> explain.Decision:
    figures = {f"headroom of {name}": float(n) for name, n in headroom.items()}
    return explain.Decision(
        explain.pool_subject(move.target),
        f"{move.worker} comes from {move.source}: a worker is missing",
        "fewest moves",
        figures,
        f"duty pool-group/{view.service}",
        view.wall_s,
    )
