"""Plans which workers change pool so that every pool has enough workers.

Workers come from pools with a surplus and from the spare pool, and go to pools
with a shortage. Each move fills one missing worker. A plan is therefore the
shortest if it has as many moves as workers are missing or, if that is fewer,
as workers are available.
"""

import collections
from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.internal import registry


@dataclasses.dataclass(frozen=True)
class PoolWorker:
    """A worker of a pool.

    Attributes:
        name: its name.
        rack: its failure domain.
        tasks: number of tasks that run on it.
        is_movable: whether it is up and has no operation in progress.
    """

    name: str
    rack: str
    tasks: int = 0
    is_movable: bool = True


@dataclasses.dataclass(frozen=True)
class Move:
    """A worker's move from one pool to another."""

    worker: str
    source: str
    target: str


WorkersByPool = Mapping[str, Sequence[PoolWorker]]
RequiredWorkers = Mapping[str, int]
Planner = Callable[[WorkersByPool, RequiredWorkers], tuple[Move, ...]]
"""Maps (workers by pool, required workers by pool) to moves."""

MOVE_PLANNERS: registry.Registry[Planner] = registry.Registry(
    "planner of moves"
)
DEFAULT_PLANNER = "fewest"


def min_moves(held: WorkersByPool, needs: RequiredWorkers) -> int:
    """Returns the fewest moves after which no further shortage can be filled.

    A move fills at most one missing worker, and takes at most one surplus or
    spare worker.
    """
    return min(
        sum(_missing(held, needs).values()),
        sum(len(workers) for workers in _surplus(held, needs).values()),
    )


@MOVE_PLANNERS.register("fewest")
def plan_fewest_moves(
    held: WorkersByPool, needs: RequiredWorkers
) -> tuple[Move, ...]:
    """Plans the fewest moves, with the spare pool's own need filled last.

    Surplus workers of pools and of the spare pool go first, then the remaining
    spare workers: if a required spare worker were taken while a pool has a
    surplus, a second move would have to refill the spare pool.
    If workers are too few, the pool that lacks the largest share of its need
    comes first. Among the available workers, the planner prefers the rack that
    the target pool uses least, so that the loss of a rack costs it least.
    """
    missing = _missing(held, needs)
    surplus = _surplus(held, needs)
    racks = {
        pool: collections.Counter(worker.rack for worker in held.get(pool, ()))
        for pool in missing
    }
    moves = []
    while missing and surplus:
        target = max(missing, key=lambda p: (missing[p] / needs[p], p))
        source = _choose_source(surplus, needs)
        worker = min(
            surplus[source],
            key=lambda w, used=racks[target]: (used[w.rack], w.tasks, w.name),  # type: ignore[misc]
        )
        moves.append(Move(worker.name, source, target))
        racks[target][worker.rack] += 1
        surplus[source].remove(worker)
        if not surplus[source]:
            del surplus[source]
        missing[target] -= 1
        if not missing[target]:
            del missing[target]
    return tuple(moves) + _refill_spare(held, needs, surplus)


@MOVE_PLANNERS.register("first-fit")
def plan_first_fit(
    held: WorkersByPool, needs: RequiredWorkers
) -> tuple[Move, ...]:
    """Fills one pool after another with workers in the order of their names.

    It ignores a worker's current pool; it is a baseline for comparisons.
    """
    pool_of = {w.name: pool for pool, group in held.items() for w in group}
    names = sorted(w.name for group in held.values() for w in group)
    names = [name for name in names if _is_movable(held, pool_of, name)]
    pools = [
        pool for pool in sorted(needs) if pool != spare_capacity.SPARE_POOL
    ]
    slots = [pool for pool in pools for _ in range(needs[pool])]
    return tuple(
        Move(name, pool_of[name], pool)
        for name, pool in zip(names, slots, strict=False)
        if pool_of[name] != pool
    )


def _missing(held: WorkersByPool, needs: RequiredWorkers) -> dict[str, int]:
    """Returns the shortage of each pool except the spare pool."""
    shortage = {
        pool: need - len(held.get(pool, ()))
        for pool, need in needs.items()
        if pool != spare_capacity.SPARE_POOL
    }
    return {pool: count for pool, count in shortage.items() if count > 0}


def _surplus(
    held: WorkersByPool, needs: RequiredWorkers
) -> dict[str, list[PoolWorker]]:
    """Returns the movable surplus workers by pool, fewest tasks first.

    Each worker of the spare pool is surplus.
    """
    surplus = {}
    for pool, workers in held.items():
        kept = 0 if pool == spare_capacity.SPARE_POOL else needs.get(pool, 0)
        excess = len(workers) - kept
        free = sorted(
            (worker for worker in workers if worker.is_movable),
            key=lambda worker: (worker.tasks, worker.name),
        )
        if excess > 0 and free:
            surplus[pool] = free[:excess]
    return surplus


def _choose_source(
    surplus: Mapping[str, list[PoolWorker]], needs: RequiredWorkers
) -> str:
    """Returns the pool from which the next move takes a worker.

    The spare pool comes first if it has more workers than it needs, then the
    pool with the largest surplus, then the rest of the spare pool.
    """
    spare = spare_capacity.SPARE_POOL
    if len(surplus.get(spare, ())) > needs.get(spare, 0):
        return spare
    pools = [pool for pool in surplus if pool != spare]
    return max(pools, key=lambda p: (len(surplus[p]), p), default=spare)


def _refill_spare(
    held: WorkersByPool,
    needs: RequiredWorkers,
    surplus: Mapping[str, list[PoolWorker]],
) -> tuple[Move, ...]:
    """Moves remaining surplus to the spare pool, up to what it needs."""
    spare = spare_capacity.SPARE_POOL
    shortage = needs.get(spare, 0) - len(held.get(spare, ()))
    excess = [
        Move(worker.name, pool, spare)
        for pool, workers in sorted(surplus.items())
        for worker in workers
        if pool != spare
    ]
    return tuple(excess[: max(0, shortage)])


def _is_movable(
    held: WorkersByPool, pool_of: Mapping[str, str], name: str
) -> bool:
    return any(w.name == name and w.is_movable for w in held[pool_of[name]])
