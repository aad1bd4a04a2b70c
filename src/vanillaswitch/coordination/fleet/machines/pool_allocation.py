"""Divides the machines of the fleet among the pools while they compete.

Load pattern: queues have turns of 4 to 8 s in which they need four to five
times their mean capacity, more than their pool has. The backlog of a turn lasts
for many seconds after it, and most of it is late. Meanwhile the turn of another
queue begins, whose jobs can still be in time. If all waiting work counted
alike, the pool with the late backlog would keep its machines. In one run of
that case a scan queue kept them for 7 s after its turn, while 114 of 250 jobs
of a quick queue ended too late to be of use.

So machines are allocated level by level, one level for each group of urgency.
A pool that has more than its allocation releases busy machines: they get no new
work and move once their runs have ended. Work at low levels gets what is left
over, so all accepted work runs in the end.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import queue_order

MOVE_S = 1.5
"""Duration of a move."""

LISTING_S = 0.5
"""Time from the end of a move until the machine is listed and gets work."""

SETTLE_S = 3.0
"""How long a machine is not released after a move or a release that expired. A
move takes 2 s, so the machine serves its pool for longer than it was out of
service."""

CONFIRM_S = 0.2
"""How long a pool must lack machines before others release some for it. Idle
machines move at once. A lack that lasts for one plan is often covered by tasks
that are about to end."""

SURPLUS_S = 1.0
"""How long a pool must have a surplus before its idle machines move to work
that is late or worth less. The demand in a turn varies from one second to the
next, and a machine that has left takes 2 s to return."""

IN_TIME_MARGIN = 0.15
"""Share of its machines by which a pool may exceed its allocation before it
releases machines that its own jobs need to be in time. Both pools then lose
jobs, and a machine on its way serves neither of them for 2 s. In replays with
1.5 times the load of the fleet, the worst queue had 0.64, 0.60 and 0.58 of its
jobs in time with 0.15, 0.3 and 0.5."""

MAX_RELEASE_S = 3.0
"""How long a machine stays released. Its runs were expected to end sooner: a
task that overruns its estimate, or a move that is rejected, would otherwise
keep the rest of the machine idle beside a backlog."""

OVERRUN_SHARE = 0.25
"""Remaining time of a run that has exceeded its estimate, as a share of the
time for which it has run. Estimates are off by half and more, and the longer a
run exceeds its estimate, the longer its remaining time is on average."""

_LEVELS = tuple(queue_order.Group)
_LAST = _LEVELS[-1]

Machines = tuple[int, ...]
"""Numbers of machines by level (``queue_order.Group``). Each number includes
the levels before it."""


@dataclasses.dataclass(frozen=True)
class Demand:
    """What the tasks of a pool use or wait for, in thousandths of a core.

    Attributes:
        running: what its runs use, by the group that their jobs had when the
            runs were decided.
        waiting: what its ready tasks wait for, by group.
    """

    running: Mapping[queue_order.Group, int]
    waiting: Mapping[queue_order.Group, int]

    def waiting_until(self, level: queue_order.Group) -> int:
        """Returns what short tasks of a level and those before it wait for."""
        return sum(
            cpu
            for group, cpu in self.waiting.items()
            if queue_order.Group.LONG_RUNNING < group <= level
        )


@dataclasses.dataclass(frozen=True)
class Allocation:
    """The machines of one pool.

    Attributes:
        needs: what its work at each level needs.
        granted: what it gets of that.
    """

    needs: Machines
    granted: Machines

    @property
    def machine_count(self) -> int:
        """Machines that the pool gets for all levels."""
        return self.granted[_LAST]


def count_needs(
    demand: Demand,
    min_machines: int,
    growth_cpu: float,
    lost_cpu: float,
    usable_cpu: float,
) -> Machines:
    """Returns how many machines a pool needs, by level.

    Args:
        demand: what its tasks use and wait for.
        min_machines: machines that it needs at any load.
        growth_cpu: expected growth of the demand, thousandths of a core.
        lost_cpu: usable capacity that its machines lack, thousandths of a core.
        usable_cpu: usable capacity of one machine, thousandths of a core.
    """
    cpu_by_level = []
    for level in _LEVELS:
        waiting: float = demand.waiting.get(level, 0)
        if level is queue_order.Group.IN_TIME:
            waiting += growth_cpu
        cpu_by_level.append(demand.running.get(level, 0) + waiting)
    total = sum(cpu_by_level)
    # The machines lack capacity for all levels alike.
    scale = 1.0 + lost_cpu / total if total else 1.0
    needs: list[int] = []
    cumulative = 0.0
    for cpu in cpu_by_level:
        cumulative += cpu * scale
        needs.append(max(min_machines, math.ceil(cumulative / usable_cpu)))
    if not total:
        needs[_LAST] = max(min_machines, math.ceil(lost_cpu / usable_cpu))
    return tuple(needs)


def allocate(
    needs: Mapping[str, Machines], machine_count: int
) -> dict[str, Allocation]:
    """Divides machines among pools, level by level.

    Args:
        needs: what each pool needs.
        machine_count: machines that exist.
    """
    granted: dict[str, list[int]] = {name: [] for name in needs}
    remaining = machine_count
    for level in _LEVELS:
        before = {
            name: counts[-1] if counts else 0
            for name, counts in granted.items()
        }
        wanted = {name: needs[name][level] - before[name] for name in needs}
        given = _divide(wanted, remaining)
        remaining -= sum(given.values())
        for name, counts in granted.items():
            counts.append(before[name] + given[name])
    return {
        name: Allocation(needs[name], tuple(counts))
        for name, counts in granted.items()
    }


def _divide(wanted: Mapping[str, int], available: int) -> dict[str, int]:
    """Divides machines in proportion to what is wanted; one for each first."""
    if sum(wanted.values()) <= available:
        return dict(wanted)
    given = dict.fromkeys(wanted, 0)
    by_size = sorted(
        (name for name in wanted if wanted[name] > 0),
        key=lambda name: (-wanted[name], name),
    )
    for name in by_size[:available]:
        given[name] = 1
    rest = available - sum(given.values())
    if rest <= 0:
        return given
    lacking = {name: wanted[name] - 1 for name in by_size}
    total = sum(lacking.values())
    shares = {name: rest * lacking[name] / total for name in by_size}
    for name, share in shares.items():
        given[name] += math.floor(share)
    by_remainder = sorted(
        by_size, key=lambda name: math.floor(shares[name]) - shares[name]
    )
    for name in by_remainder[: available - sum(given.values())]:
        given[name] += 1
    return given


def expected_duration_s(
    waiting_cpu: float,
    arriving_cpu: float,
    capacity_cpu: float,
    mean_task_s: float,
) -> float:
    """Returns how long a pool's demand is expected to exceed its capacity.

    Args:
        waiting_cpu: what its tasks wait for, thousandths of a core.
        arriving_cpu: what arrives, thousandths of a core per second.
        capacity_cpu: usable capacity, thousandths of a core.
        mean_task_s: mean estimated duration of its short tasks, seconds.

    Returns:
        Seconds; infinite while more arrives than the pool can process.
    """
    if not waiting_cpu:
        return 0.0
    drained = capacity_cpu / mean_task_s if mean_task_s else math.inf
    if arriving_cpu >= drained:
        return math.inf
    return waiting_cpu / (drained - arriving_cpu)


def expected_free_s(runs: Iterable[instance_state.Run], now: float) -> float:
    """Returns in how many seconds all runs of an instance will have ended."""
    remaining_s = [0.0]
    for run in runs:
        began_at = run.decided_at if run.started_at is None else run.started_at
        elapsed_s = max(0.0, now - began_at)
        estimate_s = run.expected_ms / 1000
        remaining_s.append(
            max(estimate_s - elapsed_s, OVERRUN_SHARE * elapsed_s)
        )
    return max(remaining_s)


def end_soon(runs: Iterable[instance_state.Run]) -> bool:
    """Whether all runs end by themselves soon, and none depends on others.

    Nothing is known of the end of a run without an estimate, and filler tasks
    may be paced down to a fraction of their speed.
    """
    return not any(
        run.step.long_running
        or run.step.gang
        or run.step.fills
        or run.expected_ms <= 0
        or run.is_isolated
        or run.has_unknown_demand
        or run.awaits_first_report
        for run in runs
    )


@dataclasses.dataclass(frozen=True)
class Candidate:
    """A busy machine that its pool may release, or has released.

    Attributes:
        free_s: seconds until its runs are expected to have ended.
    """

    machine: str
    pool: str
    free_s: float


@dataclasses.dataclass(frozen=True)
class PoolShare:
    """What a pool has compared with its allocation.

    Attributes:
        machine_count: machines that serve the pool or are moving to it, without
            those that it has released.
        duration_s: how long its demand at a level, and at those before it, is
            expected to exceed its capacity.
    """

    name: str
    machine_count: int
    allocation: Allocation
    duration_s: Mapping[queue_order.Group, float]

    def shortage(self, level: queue_order.Group) -> int:
        """Returns how many machines it lacks for a level."""
        return max(0, self.allocation.granted[level] - self.machine_count)

    def spare(self, level: queue_order.Group) -> int:
        """Returns how many machines it can release for work of a level.

        Only work that can be in time is worth taking machines from work of the
        same level. Otherwise machines would move without any gain.
        """
        needs, granted = self.allocation.needs, self.allocation.granted
        if level is not queue_order.Group.IN_TIME:
            kept = max(granted[_LAST], needs[level])
        else:
            kept = granted[_LAST]
            if needs[level] > granted[level]:
                kept += math.ceil(IN_TIME_MARGIN * self.machine_count)
        return max(0, self.machine_count - kept)


_SERVED_LEVELS = (queue_order.Group.IN_TIME, queue_order.Group.LATE)
"""Levels for which busy machines are released. The work of the others has no
value to speak of, so it waits for idle machines."""


@dataclasses.dataclass(frozen=True)
class ReleasePlan:
    """Machines to release, and releases to cancel."""

    releases: Sequence[Candidate] = ()
    cancellations: Sequence[str] = ()


class ReleasePlanner:
    """Decides which busy machines are released, in successive plans."""

    def __init__(self) -> None:
        """Starts without any known shortage."""
        self._short_since: dict[str, float] = {}

    def plan(
        self,
        pools: Iterable[PoolShare],
        released: Iterable[Candidate],
        candidates: Iterable[Candidate],
        now: float,
    ) -> ReleasePlan:
        """Returns what to release and to cancel.

        Args:
            pools: all pools but standby.
            released: the machines that are released now.
            candidates: busy machines that may be released.
            now: monotonic seconds.
        """
        shares = {pool.name: pool for pool in pools}
        self._record_shortages(shares.values(), now)
        kept, cancelled = _cancel(shares, released)
        releases = self._choose(shares, len(kept), candidates, now)
        return ReleasePlan(releases, cancelled)

    def _record_shortages(
        self, shares: Iterable[PoolShare], now: float
    ) -> None:
        last = _SERVED_LEVELS[-1]
        self._short_since = {
            pool.name: self._short_since.get(pool.name, now)
            for pool in shares
            if pool.shortage(last)
        }

    def _choose(
        self,
        shares: Mapping[str, PoolShare],
        released_count: int,
        candidates: Iterable[Candidate],
        now: float,
    ) -> list[Candidate]:
        """Returns machines to release, for each pool those free soonest."""
        left = sorted(candidates, key=lambda item: (item.free_s, item.machine))
        taken = dict.fromkeys(shares, 0)
        chosen: list[Candidate] = []
        served = dict.fromkeys(shares, 0)
        for level in _SERVED_LEVELS:
            for name in self._receivers(shares, level, now):
                wanted = shares[name].shortage(level) - served[name]
                covered = min(wanted, released_count)
                released_count -= covered
                served[name] += covered
                lasts_s = shares[name].duration_s.get(level, 0.0)
                for item in list(left):
                    if served[name] >= shares[name].shortage(level):
                        break
                    if item.free_s + MOVE_S + LISTING_S > lasts_s:
                        break
                    donor = shares.get(item.pool)
                    if (
                        donor is None
                        or donor.name == name
                        or donor.spare(level) <= taken[donor.name]
                    ):
                        continue
                    left.remove(item)
                    chosen.append(item)
                    taken[donor.name] += 1
                    served[name] += 1
        return chosen

    def _receivers(
        self,
        shares: Mapping[str, PoolShare],
        level: queue_order.Group,
        now: float,
    ) -> list[str]:
        """Returns pools that have lacked machines for long enough."""
        short = [
            name
            for name, pool in shares.items()
            if pool.shortage(level)
            and now - self._short_since.get(name, now) >= CONFIRM_S
        ]
        return sorted(short, key=lambda name: -shares[name].shortage(level))


def _cancel(
    shares: dict[str, PoolShare], released: Iterable[Candidate]
) -> tuple[list[Candidate], list[str]]:
    """Cancels releases that nobody needs, those that are free last first.

    Args:
        shares: all pools; those that get machines back are replaced.
        released: the machines that are released now.

    Returns:
        The releases that stay, and the machines of the others.
    """
    wanted = sum(pool.shortage(_SERVED_LEVELS[-1]) for pool in shares.values())
    kept: list[Candidate] = []
    cancelled: list[str] = []
    by_pool: dict[str, list[Candidate]] = {}
    for item in sorted(released, key=lambda item: (item.free_s, item.machine)):
        by_pool.setdefault(item.pool, []).append(item)
    for name, items in by_pool.items():
        pool = shares.get(name)
        needed = len(items)
        if pool is not None:
            # The pool needs them itself again.
            needed = min(needed, pool.shortage(_LAST))
        kept.extend(items[: len(items) - needed])
        cancelled.extend(item.machine for item in items[len(items) - needed :])
    kept.sort(key=lambda item: (item.free_s, item.machine))
    cancelled.extend(item.machine for item in kept[wanted:])
    returned = set(cancelled)
    for name, items in by_pool.items():
        if name in shares:
            count = sum(item.machine in returned for item in items)
            shares[name] = dataclasses.replace(
                shares[name], machine_count=shares[name].machine_count + count
            )
    return kept[:wanted], cancelled
