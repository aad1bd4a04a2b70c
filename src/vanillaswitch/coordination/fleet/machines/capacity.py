"""Which machines change their pool, and when.

Load pattern: queues take turns. Each asks several times its mean for some
seconds, more than its pool holds, and a fraction of it in between; the fleet
as a whole has room. A machine that moves is away for one to two seconds, a
move costs as much as one to two seconds of a machine, and a machine that
stands in a pool costs all the time, used or not. So machines follow the load
as soon as it shows, come from where they are idle, and go to standby when no
pool has wanted them for a while.

The need of a pool is what its tasks use and wait for, and what it will have
grown by when a machine arrives: the growth of the last moment is the first
sign of a turn, seconds before the pool is full.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math


@dataclasses.dataclass(frozen=True)
class Policy:
    """Figures by which machines follow the load.

    Attributes:
        utilisation: share of a pool's processors that is planned to be used:
            tasks of one to five cores do not fill 16 without gaps.
        growth_window_s: over how long growth is measured; a turn brings some
            jobs in that time.
        look_ahead_s: for how long growth is taken to go on at least, about
            half of a move: short tasks that end meanwhile make up for the
            rest.
        longest_look_ahead_s: the same for tasks that last longer than a
            machine takes to arrive (1.5 s of move and half a second until it
            is listed): what starts now still runs then.
        most_growth: growth counts up to so many times what the jobs of the
            last moment would bring at their usual size. One large job is no
            turn: without a limit a pool of 19 machines wanted 52 for a moment,
            and kept seven too many for 3 to 5 s.
        idle_s: a machine is given up only after its pool could spare it for
            so long: as long as its standing there costs what a move costs.
        settle_s: a new owner that sees no work gives no machine up for so
            long: where operators put machines is the best that is known of
            the load to come.
        familiar_s: once there is work, a new owner gives machines up after
            so long. It hears of all that runs within half a second; some more
            is for instances that answer late, whose machines seem idle until
            then.
    """

    utilisation: float = 0.9
    growth_window_s: float = 0.5
    look_ahead_s: float = 0.8
    longest_look_ahead_s: float = 2.0
    most_growth: float = 1.0
    idle_s: float = 1.5
    settle_s: float = 15.0
    familiar_s: float = 2.0


DEFAULT_POLICY = Policy()


@dataclasses.dataclass(frozen=True)
class PoolLoad:
    """What is known of one pool.

    Attributes:
        need_cpu: thousandths of a core that tasks use and wait for.
        least: machines that it needs whatever the load, for tasks that may
            not share an instance.
        have: machines that are up or on their way to it.
        idle: machines of it that run nothing; the first are best to move to
            another pool, the last to stand by.
        machine_cpu: thousandths of a core of one machine in full.
        task_s: mean estimate of its tasks that end by themselves, seconds.
        extra: machines that it gets besides what it needs, in place of those
            that are emptied for upkeep.
        standby: its machines are off.
        arriving_cpu_s: growth that the jobs of the last moment would bring at
            their usual size, thousandths of a core a second; None where jobs
            are not counted.
        lost_cpu: thousandths of a core that its machines lack of what they
            have in full, since their room has shrunk.
    """

    name: str
    need_cpu: int
    least: int
    have: int
    idle: Sequence[str]
    machine_cpu: int
    task_s: float = 0.0
    extra: int = 0
    standby: bool = False
    arriving_cpu_s: float | None = None
    lost_cpu: int = 0


@dataclasses.dataclass(frozen=True)
class Move:
    """A machine is to change its pool."""

    machine: str
    pool: str


class Capacity:
    """Decides moves from the loads as they come in."""

    def __init__(self, policy: Policy = DEFAULT_POLICY):
        self._policy = policy
        self._history: dict[str, collections.deque[tuple[float, int]]] = {}
        self._spare_since: dict[str, float] = {}
        self._wanted: dict[str, int] = {}
        self._began_at: float | None = None
        self._busy_at: float | None = None

    @property
    def growth_window_s(self) -> float:
        """Over how long growth is measured."""
        return self._policy.growth_window_s

    @property
    def wanted(self) -> Mapping[str, int]:
        """Machines that each pool was found to need last."""
        return self._wanted

    def forget_idle(self) -> None:
        """Counts anew for how long pools could spare machines.

        For times in which the load can't be seen: while the store is away
        clients are refused, and come back together when it is back.
        """
        self._spare_since.clear()

    def plan(self, loads: Iterable[PoolLoad], now: float) -> list[Move]:
        """Returns the moves to order now.

        Args:
            loads: all pools.
            now: monotonic seconds.
        """
        by_name = {load.name: load for load in loads}
        self._observe(by_name.values(), now)
        self._wanted = {
            name: 0 if load.standby else self._machines(load, now)
            for name, load in by_name.items()
        }
        spare = self._spare(by_name, now)
        lacking = {
            name: -self._surplus(load)
            for name, load in by_name.items()
            if self._surplus(load) < 0
        }
        moves = _share(spare, lacking)
        moves.extend(self._retire(by_name, moves, now))
        return moves

    def _observe(self, loads: Iterable[PoolLoad], now: float) -> None:
        """Notes when loads were seen first, and work that ends by itself."""
        if self._began_at is None:
            self._began_at = now
        if self._busy_at is None and any(load.task_s for load in loads):
            self._busy_at = now

    def _knows_load(self, now: float) -> bool:
        """Whether idle machines are known to be idle, not only new to us."""
        began_at = now if self._began_at is None else self._began_at
        if now - began_at >= self._policy.settle_s:
            return True
        if self._busy_at is None:
            return False
        return now - self._busy_at >= self._policy.familiar_s

    def _surplus(self, load: PoolLoad) -> int:
        """Returns how many machines a pool has too many; below 0, lacks."""
        return load.have - self._wanted[load.name] - load.extra

    def _machines(self, load: PoolLoad, now: float) -> int:
        policy = self._policy
        longest_s = policy.longest_look_ahead_s
        ahead_s = min(max(policy.look_ahead_s, load.task_s), longest_s)
        growth = self._growth(load, now)
        if load.arriving_cpu_s is not None:
            growth = min(growth, policy.most_growth * load.arriving_cpu_s)
        need = load.need_cpu + growth * ahead_s
        need += load.lost_cpu * policy.utilisation
        room = max(1, load.machine_cpu) * policy.utilisation
        return max(load.least, math.ceil(need / room))

    def _growth(self, load: PoolLoad, now: float) -> float:
        """Returns by how much the need grows a second; not below zero."""
        history = self._history.setdefault(load.name, collections.deque())
        history.append((now, load.need_cpu))
        window_s = self._policy.growth_window_s
        while len(history) > 2 and history[1][0] <= now - window_s:
            history.popleft()
        began, before = history[0]
        if now <= began:
            return 0.0
        return max(0.0, (load.need_cpu - before) / (now - began))

    def _spare(self, loads: Mapping[str, PoolLoad], now: float) -> list[str]:
        """Returns machines that may go at once, those in pools first.

        An idle machine in a pool costs already, one on standby only from
        when it is taken.
        """
        pooled: list[str] = []
        standby: list[str] = []
        for name, load in sorted(loads.items()):
            if load.standby:
                standby.extend(load.idle)
                continue
            surplus = self._surplus(load)
            if surplus <= 0:
                self._spare_since.pop(name, None)
                continue
            self._spare_since.setdefault(name, now)
            pooled.extend(load.idle[:surplus])
        return pooled + standby

    def _retire(
        self, loads: Mapping[str, PoolLoad], moves: Sequence[Move], now: float
    ) -> list[Move]:
        """Sends machines to standby that their pool has not wanted lately."""
        if not self._knows_load(now):
            return []
        target = next(
            (name for name, load in loads.items() if load.standby), None
        )
        if target is None:
            return []
        taken = {move.machine for move in moves}
        retired: list[Move] = []
        for name, since in sorted(self._spare_since.items()):
            load = loads.get(name)
            if load is None or now - since < self._policy.idle_s:
                continue
            left = [item for item in load.idle if item not in taken]
            leaving = len(load.idle) - len(left)
            surplus = self._surplus(load) - leaving
            # The last ones: see ``PoolLoad.idle``.
            given_up = (
                left[max(0, len(left) - surplus) :] if surplus > 0 else []
            )
            retired.extend(Move(machine, target) for machine in given_up)
        return retired


def _share(spare: Sequence[str], lacking: Mapping[str, int]) -> list[Move]:
    """Gives spare machines to the pools that lack some, one each by turns.

    A turn lacks a hundred machines and more, all that there are. Served first,
    it left the other pools without the one or two that their lasting tasks
    needed to get off machines that went into upkeep, for 13 s.
    """
    moves: list[Move] = []
    left = dict(lacking)
    machines = iter(spare)
    while left:
        for name in sorted(left):
            machine = next(machines, None)
            if machine is None:
                return moves
            moves.append(Move(machine, name))
            left[name] -= 1
            if not left[name]:
                del left[name]
    return moves
