"""Random histories of owners with client accounts that have limits."""

import dataclasses

from hypothesis import stateful
from hypothesis import strategies as st

from standins import leased_instance
from tests.common import fleet_builders
from tests.common import owner_histories
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.protocol import accounts
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

ACCOUNTS = ("mare", "sahel")
LIMITS = (0, 2500, 4500, 9000)
"""Limits in thousandths of a core; the instances have 12,000 together."""

LARGEST_TASK = 3000
"""Thousandths of a core of the largest task, which may run alone."""


class AccountMachine(owner_histories.OwnershipMachine):
    """Owners whose jobs belong to accounts, and whose limits change."""

    def __init__(self) -> None:
        self.limits = dict.fromkeys(ACCOUNTS, 4500)
        self.has_changed_limits = False
        super().__init__()

    def _new_scheduler(self) -> schedulers.Scheduler:
        scheduler = super()._new_scheduler()
        scheduler.apply_config(self._config())
        return scheduler

    def _new_job(self, number: int, steps: tuple[jobs.Step, ...]) -> jobs.Job:
        account = ACCOUNTS[number % len(ACCOUNTS)]
        return fleet_builders.job(number, steps, account=account)

    def _config(self) -> fleet.FleetConfig:
        directory = accounts.AccountDirectory(
            accounts.ClientAccount(name, limit=accounts.ResourceLimit(cpu))
            for name, cpu in self.limits.items()
        )
        return dataclasses.replace(fleet_builders.config(), accounts=directory)

    @stateful.rule(
        account=st.sampled_from(ACCOUNTS), cpu=st.sampled_from(LIMITS)
    )
    def change_limit(self, account: str, cpu: int) -> None:
        """Operators change a limit; every owner learns of it."""
        self.limits[account] = cpu
        self.has_changed_limits = True
        for term in self.terms:
            term.scheduler.apply_config(self._config())

    @stateful.rule(choice=owner_histories.CHOICE)
    def plan_and_write(self, choice: int) -> None:
        """A process plans; what it adds stays within the limits."""
        scheduler = self._pick(self.terms, choice).scheduler
        before = self._usage(scheduler)
        super().plan_and_write(choice)
        for account, used in self._usage(scheduler).items():
            limit = self.limits[account]
            if limit and used > before[account]:
                assert used <= max(limit, LARGEST_TASK), (
                    f"{account} has {used} reserved, its limit is {limit}"
                )

    def _usage(self, scheduler: schedulers.Scheduler) -> dict[str, int]:
        usage = scheduler.account_usage
        return {account: usage.used(account).cpu for account in ACCOUNTS}

    @stateful.invariant()
    def usage_is_that_of_the_runs(self) -> None:
        """What an owner counts is the sum over the runs that it knows."""
        for term in self.terms:
            counted = dict.fromkeys(ACCOUNTS, 0)
            for instance in term.scheduler.instances.values():
                for run in instance.runs.values():
                    if run.account:
                        counted[run.account] += run.step.cpu
            assert self._usage(term.scheduler) == counted

    def _check_start(
        self, model: leased_instance.LeasedInstance, start: fleet.StartRequest
    ) -> None:
        super()._check_start(model, start)
        if self.has_changed_limits:
            # A start that was decided before may follow a lowered limit.
            return
        account = self.jobs[start.task.job_id].account
        used = sum(
            run.need.cpu
            for item in self._up()
            for run in item.running.values()
            if self.jobs[run.task.job_id].account == account
        )
        limit = self.limits[account]
        assert used <= max(limit, LARGEST_TASK), (
            f"{account} has {used} running, its limit is {limit}"
        )
