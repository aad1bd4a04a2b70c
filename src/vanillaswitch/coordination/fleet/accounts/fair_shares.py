"""How the capacity of a pool is divided between the client accounts that wait.

Load pattern: one account has several times its usual work waiting, and a pool
is full. In an order by urgency alone the account with the most jobs gets the
most capacity, and the jobs of the others miss their objective.

Shares are dominant: of processors, memory and accelerators the one counts of
which an account has the largest part of the pool. They are weighted, so an
account of twice the weight is entitled to twice the share. A share is computed
anew in each plan from what runs and what waits. So what an account leaves
unused is lent to the others, it is returned with the next tasks that end, and a
new owner divides in the same way as its predecessor.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet

MIN_WEIGHT = 1e-6
"""Least weight that counts, in jobs a second: one job in twelve days. With a
weight near zero the ratio of two shares can't be computed."""

DEFAULT_WEIGHT = 1.0
"""Weight of jobs without an account and of accounts without a weight."""

TOLERATED_FAIR_SHARES = 3.0
"""Fair shares that an account may have before its jobs go after the others.

Accounts that ask alike differ by chance while they wait. In replays of ten
accounts, a limit of one fair share cost 0.02 of all value, two cost 0.01, three
nothing that could be measured."""

MAX_TOLERATED_SHARE = 0.5
"""Part of a pool that an account may have beyond its fair share before its jobs
go after the others. With three accounts or fewer, three fair shares would be
the whole pool."""


def weight_of(account: accounts.ClientAccount | None) -> float:
    """Returns the weight by which an account gets a share of a pool."""
    if account is None or account.weight <= 0:
        return DEFAULT_WEIGHT
    return max(account.weight, MIN_WEIGHT)


class PoolShares:
    """What accounts have of one pool beside their fair share.

    A fair share is the part of the pool that an account would get if it were
    divided by weight between all accounts that have tasks in it.
    """

    def __init__(self, capacity: fleet.Resources, weights: Mapping[str, float]):
        """Creates shares of a pool of which no account has anything.

        Args:
            capacity: what the pool has for tasks that end by themselves.
            weights: weights of the accounts that have running or waiting
                tasks in the pool; all are positive.
        """
        self._capacity = (capacity.cpu, capacity.mem_mb, capacity.gpu)
        total = sum(weights.values())
        self._fair = {name: weight / total for name, weight in weights.items()}
        self._tolerated = {
            name: max(
                fair, min(TOLERATED_FAIR_SHARES * fair, MAX_TOLERATED_SHARE)
            )
            for name, fair in self._fair.items()
        }
        self._taken = dict.fromkeys(weights, (0, 0, 0))

    def add(self, account: str, demand: fleet.Resources, count: int) -> None:
        """Adds tasks to what an account has.

        Args:
            account: one of the accounts with a weight.
            demand: what each task reserves.
            count: number of tasks.
        """
        cpu, mem_mb, gpu = self._taken[account]
        self._taken[account] = (
            cpu + demand.cpu * count,
            mem_mb + demand.mem_mb * count,
            gpu + demand.gpu * count,
        )

    def share(self, account: str) -> float:
        """Returns the dominant share that an account has of the pool."""
        return max(
            taken / most if most > 0 else 0.0
            for taken, most in zip(
                self._taken[account], self._capacity, strict=True
            )
        )

    def fair_share(self, account: str) -> float:
        """Returns the part of the pool that an account is entitled to."""
        return self._fair[account]

    def levels(
        self, claims: Iterable[tuple[str, fleet.Resources, int]]
    ) -> list[int]:
        """Returns how many tolerated shares its account has before each claim.

        Claims of a lower level go first; within a level the order by urgency
        holds. All of an account with less than its fair share are in level 0.

        Args:
            claims: account, demand of a task and number of waiting tasks, in
                the order in which each account wants them. They are added.
        """
        found = []
        for account, demand, count in claims:
            found.append(int(self.share(account) / self._tolerated[account]))
            self.add(account, demand, count)
        return found
