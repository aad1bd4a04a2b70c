"""Sizes the spare pool so that budgets hold when any one rack is lost.

Spare workers belong to the pool ``SPARE_POOL``, which serves no service. They
can replace a worker of any pool. The loss of a rack includes the spare workers
in it, and adds to the workers that are down for maintenance at that moment.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import functools

from vanillaswitch.internal import registry

SPARE_POOL = "spare"
"""Pool of the spare workers; never the name of a configured pool."""


@dataclasses.dataclass(frozen=True)
class ServiceDemand:
    """Input for sizing the spare pool: the workers and budget of a service.

    Attributes:
        service: the service.
        pool_count: number of its pools.
        workers_by_rack: number of its workers in each rack.
        max_down: number of its workers that may be down.
        in_maintenance: number of its workers that are down for maintenance.
    """

    service: str
    pool_count: int
    workers_by_rack: Mapping[str, int]
    max_down: int
    in_maintenance: int = 0

    @functools.cached_property
    def shortage_without_loss(self) -> int:
        """Workers missing beyond the budget when it loses no rack."""
        return self._shortage(0)

    @functools.cached_property
    def _worker_count(self) -> int:
        return sum(self.workers_by_rack.values())

    def shortage_after_loss(self, rack: str) -> int:
        """Returns the workers missing beyond the budget after a rack's loss."""
        return self._shortage(self.workers_by_rack.get(rack, 0))

    def _shortage(self, lost: int) -> int:
        down = min(self._worker_count, lost + self.in_maintenance)
        return max(0, down - self.max_down)


SizingPolicy = Callable[[Sequence[ServiceDemand]], int]
"""Maps the demands of all services to a number of spare workers."""

SIZING_POLICIES: registry.Registry[SizingPolicy] = registry.Registry(
    "buffer sizing"
)
DEFAULT_SIZING_POLICY = "shared"


def min_spare_size(demands: Sequence[ServiceDemand]) -> int:
    """Returns the smallest sufficient spare: the need of the worst rack."""
    return max(_required_by_rack(demands).values(), default=0)


@SIZING_POLICIES.register("shared")
def size_shared_spare(demands: Sequence[ServiceDemand]) -> int:
    """Sizes one spare pool for all services by the need of the worst rack.

    With the placement of ``place_spares``, the spare workers outside a lost
    rack cover its loss. Spare workers that fit in none of the current racks
    go to a rack without workers of any service, so the need of the worst rack
    is always enough.
    """
    return min_spare_size(demands)


@SIZING_POLICIES.register("guard-per-pool")
def size_per_pool(demands: Sequence[ServiceDemand]) -> int:
    """Sizes one spare worker for each pool; a baseline for comparisons."""
    return sum(demand.pool_count for demand in demands)


def uncovered_racks(
    demands: Sequence[ServiceDemand], spares_by_rack: Mapping[str, int]
) -> dict[str, int]:
    """Returns the spare workers missing for each rack that is not covered.

    Args:
        demands: the demands of all services.
        spares_by_rack: number of spare workers in each rack. The loss of a
            rack includes its spare workers.
    """
    total = sum(spares_by_rack.values())
    gaps = {
        rack: need - (total - spares_by_rack.get(rack, 0))
        for rack, need in _required_by_rack(demands).items()
    }
    return {rack: gap for rack, gap in gaps.items() if gap > 0}


def place_spares(demands: Sequence[ServiceDemand], size: int) -> dict[str, int]:
    """Places ``size`` spare workers so that no avoidable gap remains.

    A rack may hold at most ``size`` minus its own need. Spare workers that
    fit in none of the current racks go to a separate rack named "".

    Returns:
        The number of spare workers by rack.
    """
    placed = {}
    left = size
    for rack, need in sorted(_required_by_rack(demands).items()):
        count = min(left, max(0, size - need))
        if count:
            placed[rack] = count
            left -= count
    if left:
        placed[""] = left
    return placed


def _required_by_rack(demands: Sequence[ServiceDemand]) -> dict[str, int]:
    """Returns the number of spare workers that the loss of each rack needs.

    Most racks have workers of few services. The shortage of all other services
    is the same whichever rack is lost, so it is summed up once.
    """
    base = sum(demand.shortage_without_loss for demand in demands)
    racks = {rack for demand in demands for rack in demand.workers_by_rack}
    needs = dict.fromkeys(sorted(racks), base)
    for demand in demands:
        for rack in demand.workers_by_rack:
            needs[rack] += (
                demand.shortage_after_loss(rack) - demand.shortage_without_loss
            )
    return needs
