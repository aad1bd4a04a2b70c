"""One step of a service's pools as a pure decision.

In this order: carry on moves, bring back what is drained without reason,
adopt instances that the list shows for the first time, begin moves, forget
instances that are gone.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import dataclasses
import functools

from vanillaswitch.coordination import budgets
from vanillaswitch.coordination import buffer
from vanillaswitch.coordination import changes
from vanillaswitch.coordination import explain
from vanillaswitch.coordination import fleet_state
from vanillaswitch.coordination import instance_steps
from vanillaswitch.coordination import moves
from vanillaswitch.coordination import pool_needs
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows

ADOPTED_AT_ONCE = 50
"""Instances adopted in one transaction."""


@dataclasses.dataclass(frozen=True)
class View:
    """What a step decides on.

    Attributes:
        service: whose pools these are.
        lost: workers that are down for so long that their pool has to be
            given another one.
        gone: instances to forget.
        wall_s: wall-clock time.
    """

    service: str
    fleet: fleet_state.Fleet
    config: config_lib.Config
    lost: frozenset[str]
    gone: frozenset[str]
    wall_s: float
    new_operation: Callable[[], str]

    @functools.cached_property
    def wanted_moves(self) -> tuple[moves.Move, ...]:
        """The moves that this service's duty has to begin."""
        held = pool_needs.held(self.fleet, self.lost)
        needs = pool_needs.needs(self.fleet, self.config)
        planned = moves.PLANNERS.get(moves.DEFAULT_PLANNER)(held, needs)
        return tuple(move for move in planned if _begins(self, move))

    @property
    def keeps_spare(self) -> bool:
        """This service's duty also looks after what is no service's."""
        return keeps_spare(self.config, self.service)

    def is_mine(self, row: rows.Instance) -> bool:
        """Tells whether this service's duty has an instance to look after.

        A begun move is the target's: that pool is short of a worker.
        """
        if row.target_pool:
            service = service_of(self.config, row.target_pool)
        else:
            service = row.service
        if service not in self.config.services:
            return self.keeps_spare
        return service == self.service


def keeps_spare(config: config_lib.Config, service: str) -> bool:
    """Tells whether a service's duty looks after what is no service's.

    That are the spare workers and instances of services that the
    configuration lacks; the duty of the first service by name does it.
    """
    return service == min(config.services, default="")


def service_of(config: config_lib.Config, pool: str) -> str:
    """Returns the service of a pool of workers; empty for the spare."""
    found = config.pools.get(pool)
    return found.service if found else ""


def decide(view: View) -> changes.Decided:
    """Returns the next step of one service's pools."""
    draft = changes.Draft(view.fleet)
    calls = _carry(view, draft)
    _bring_back(view, draft)
    _adopt(view, draft)
    _begin_moves(view, draft)
    for name in sorted(view.gone):
        if view.is_mine(view.fleet.members[name].row):
            draft.delete_instance(name)
    return changes.Decided(draft.build(), tuple(calls))


def sources(view: View) -> frozenset[str]:
    """Returns the services whose workers this step moves or may begin to."""
    members = view.fleet.members
    names = [move.worker for move in view.wanted_moves]
    begun = [member.name for member in _under_way(view)]
    return frozenset(members[name].row.service for name in begun + names)


def _begins(view: View, move: moves.Move) -> bool:
    if move.target == buffer.SPARE_POOL:
        return view.keeps_spare
    return service_of(view.config, move.target) == view.service


def _under_way(view: View) -> Iterator[fleet_state.Member]:
    """Yields what is under way and no wave's duty looks after."""
    for _, member in sorted(view.fleet.members.items()):
        if not instance_steps.is_under_way(member.row):
            continue
        # A wave that was taken out of the configuration has no duty any more;
        # what it left drained would never serve again.
        orphan = member.row.wave not in view.config.waves
        if orphan and view.is_mine(member.row):
            yield member


def _carry(view: View, draft: changes.Draft) -> list[instance_steps.Call]:
    members = list(_under_way(view))
    undone = _to_undo(view, members)
    calls = []
    for member in members:
        step = instance_steps.step(
            member.name,
            member.row,
            member.status,
            member.name in undone,
            service_of(view.config, member.row.target_pool),
            view.new_operation,
        )
        if isinstance(step, instance_steps.Call):
            calls.append(step)
        elif isinstance(step, instance_steps.Advance):
            draft.put_instance(member.name, step.row)
    return calls


def _to_undo(view: View, members: list[fleet_state.Member]) -> frozenset[str]:
    draining = [
        member
        for member in members
        if member.row.phase is platform.Phase.DRAINING
    ]
    pools = {*view.config.pools, buffer.SPARE_POOL}
    aimless = frozenset(
        m.name for m in draining if m.row.target_pool not in pools
    )
    return aimless | budgets.to_return(view.fleet, view.config, draining)


def _bring_back(view: View, draft: changes.Draft) -> None:
    """Makes instances serve that are drained and that nobody has down.

    An instance that reboots by itself comes back drained, and would stay so.
    """
    for name, member in sorted(view.fleet.members.items()):
        status = member.status
        if member.row.phase is not platform.Phase.SERVING or status is None:
            continue
        drained = status.phase is platform.Phase.DRAINED
        if drained and view.is_mine(member.row):
            row = instance_steps.bring_back(
                member.row, status, view.new_operation()
            )
            draft.put_instance(name, row)


def _adopt(view: View, draft: changes.Draft) -> None:
    """Gives listed instances that are new their first and only pool."""
    minions = [
        listing
        for listing in view.fleet.strangers
        if listing.kind is platform.InstanceKind.MINION
        and listing.service == view.service
    ]
    for listing in minions[:ADOPTED_AT_ONCE]:
        draft.put_instance(
            listing.instance, _adopted(listing, view.service, view.service)
        )
    if view.keeps_spare:
        _adopt_workers(view, draft)


def _adopt_workers(view: View, draft: changes.Draft) -> None:
    workers = [
        listing
        for listing in view.fleet.strangers
        if listing.kind is platform.InstanceKind.WORKER
    ][:ADOPTED_AT_ONCE]
    held = dict(pool_needs.held(view.fleet, view.lost))
    new = [moves.Worker(one.instance, _rack(one)) for one in workers]
    # Only the new ones may go anywhere: what pools have now stays put.
    fixed = {
        pool: [dataclasses.replace(one, movable=False) for one in group]
        for pool, group in held.items()
        if pool != buffer.SPARE_POOL
    }
    needs = pool_needs.needs(view.fleet, view.config)
    planned = moves.fewest({**fixed, buffer.SPARE_POOL: new}, needs)
    pools = {move.worker: move.target for move in planned}
    for listing in workers:
        pool = pools.get(listing.instance, buffer.SPARE_POOL)
        service = service_of(view.config, pool)
        draft.put_instance(listing.instance, _adopted(listing, pool, service))


def _adopted(
    listing: platform.Listing, pool: str, service: str
) -> rows.Instance:
    return rows.Instance(
        pool, listing.kind, service, listing.data_centre, listing.rack
    )


def _rack(listing: platform.Listing) -> str:
    return f"{listing.data_centre}/{listing.rack}"


def _begin_moves(view: View, draft: changes.Draft) -> None:
    room: dict[str, int] = {}
    worker = platform.InstanceKind.WORKER
    for move in view.wanted_moves:
        member = view.fleet.members[move.worker]
        service = member.row.service
        if service in view.config.services and service not in room:
            room[service] = budgets.headroom(
                view.fleet, view.config, service, worker
            )
        planned = view.fleet.budget(service).row.down
        if member.status is None or budgets.down_reason(member, planned):
            continue
        if service in room and room[service] <= 0:
            continue
        room[service] = room.get(service, 0) - 1
        row = instance_steps.take_down(
            member.row, member.status, view.new_operation()
        )
        row = dataclasses.replace(row, target_pool=move.target)
        draft.put_instance(move.worker, row)
        draft.explain(_decision(view, move, room))


def _decision(
    view: View, move: moves.Move, room: Mapping[str, int]
) -> explain.Decision:
    figures = {f"headroom of {name}": float(n) for name, n in room.items()}
    return explain.Decision(
        explain.pool_subject(move.target),
        f"{move.worker} comes from {move.source}: a worker is missing",
        "fewest moves",
        figures,
        f"duty pool-group/{view.service}",
        view.wall_s,
    )
