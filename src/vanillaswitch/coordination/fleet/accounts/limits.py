"""What client accounts have running, and how much more they may start.

Load pattern: one account submits many times its usual work, or its limit is
lowered while it has more running than the new limit. Starts beyond the limit
wait, and the jobs of other accounts behind them go on. Nothing is stopped.
"""

from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import jobs

NO_LIMIT = accounts.ResourceLimit()

_QUANTITIES = ("cpu", "mem_mb", "gpu")


class AccountUsage:
    """The resources that each account has reserved, over all instances.

    A run counts from the decision to start it until it is certainly over, in
    the same way as on its instance.
    """

    def __init__(self) -> None:
        self._used: dict[str, accounts.ResourceLimit] = {}

    def copy(self) -> "AccountUsage":
        """Returns a copy that changes independently."""
        copied = AccountUsage()
        copied._used = dict(self._used)
        return copied

    def used(self, account: str) -> accounts.ResourceLimit:
        """Returns what an account has reserved."""
        return self._used.get(account, NO_LIMIT)

    def add_tasks(self, account: str, step: jobs.Step, count: int) -> None:
        """Adds tasks of a step to an account; removes them if negative.

        Jobs of public queues belong to no account and are not counted.
        """
        if not account:
            return
        used = self.used(account)
        changed = accounts.ResourceLimit(
            used.cpu + step.cpu * count,
            used.mem_mb + step.mem_mb * count,
            used.gpu + step.gpu * count,
        )
        if changed == NO_LIMIT:
            self._used.pop(account, None)
        else:
            self._used[account] = changed


def exceeds_alone(limit: accounts.ResourceLimit, step: jobs.Step) -> bool:
    """Whether the least that can start of a step is over a limit by itself.

    That is one task, or all tasks of a gang.
    """
    count = step.count if step.gang else 1
    return any(
        getattr(limit, quantity)
        and getattr(step, quantity) * count > getattr(limit, quantity)
        for quantity in _QUANTITIES
    )


def startable_count(
    limit: accounts.ResourceLimit,
    used: accounts.ResourceLimit,
    step: jobs.Step,
    wanted: int,
) -> int:
    """Returns how many tasks of a step may start within a limit.

    Either all tasks of a gang may start or none of them. An account that has
    nothing running may start one task even if that exceeds the limit. Otherwise
    an accepted job with a large task could never run after the limit was
    lowered. With anything else running the task waits: orders overtake each
    other, so a small task could start last and find the limit exceeded.

    Args:
        limit: the limit of the account.
        used: what the account has reserved.
        step: the step.
        wanted: how many of its tasks wait.
    """
    tasks_at_once = step.count if step.gang else 1
    count = wanted
    for quantity in _QUANTITIES:
        most = getattr(limit, quantity)
        need = getattr(step, quantity)
        if not most or not need:
            continue
        taken = getattr(used, quantity)
        fitting = max(0, most - taken) // (need * tasks_at_once)
        count = min(count, fitting * tasks_at_once)
    if not count and used == NO_LIMIT and not step.gang:
        return min(1, wanted)
    return count
