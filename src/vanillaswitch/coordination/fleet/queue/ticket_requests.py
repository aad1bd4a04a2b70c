"""Decides which tickets to request from the advice service.

Load pattern: jobs come in bursts, and each step needs tickets of a service that
answers a few calls per second. A call takes longer with each instance that it
names. So a step is asked for only if its tasks could start now or soon, and a
call names a few instances that have capacity then. If none of them may run the
step, the next call names twice as many. Naming all instances of a large pool
would leave the service time for two steps per second.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
import math

from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.coordination.fleet.queue import placement
from vanillaswitch.coordination.fleet.queue import tickets
from vanillaswitch.protocol import fleet

MAX_INSTANCES = 100
"""Most instances that one call may name (a requirement)."""

MIN_INSTANCES = 4
"""Instances that a call names at least if it is unknown which are suitable."""

NAMING_SHARE = 0.5
"""Time for naming instances, as a share of the time for the decision. With
more, a call takes longer than it has to; with less, more calls are needed."""

MAX_REQUESTS_PER_POOL = 8
"""Limit of the requests after one plan. The next plan comes before the service
has answered so many calls."""

LEAD_SHARE = 0.3
"""Tickets are requested in advance for capacity that is expected to become free
within this share of their validity."""

UNKNOWN_SHARE = 0.5
"""Expected share of suitable instances among those that were not named yet."""


@dataclasses.dataclass(frozen=True)
class TicketRequest:
    """A call to the advice service that should be made.

    Attributes:
        step: the step whose tasks wait.
        instances: names of the instances to ask about.
        expected_s: time that the service needs for the call.
        validity_s: how long its tickets are valid, unless it says otherwise.
    """

    step: open_steps.OpenStep
    instances: Sequence[str]
    expected_s: float
    validity_s: float

    @property
    def path(self) -> str:
        """Occurrence and number of the step, as in "0.1"."""
        return f"{self.step.occurrence}.{self.step.number}"


def interleave(
    pools: Iterable[Sequence[TicketRequest]],
) -> list[TicketRequest]:
    """Returns the requests of all pools, the first of each pool first.

    Args:
        pools: the requests of each pool in queue order.
    """
    rows = itertools.zip_longest(*pools)
    return [request for row in rows for request in row if request is not None]


class PoolRequests:
    """The requests for the steps of one pool after a plan.

    The plan has started all tasks that have tickets and fit. Capacity that is
    free now or soon is set aside for the steps in queue order, so that no
    tickets are requested for steps behind them in vain. For steps that have
    tickets, only capacity that becomes free later is set aside: what is free
    now, they can't use.
    """

    def __init__(
        self,
        instances: Sequence[instance_state.Instance],
        reserved: Mapping[str, tickets.StepKey],
        book: tickets.TicketBook,
        now: float,
        lead_s: float,
    ):
        """Creates an empty list of requests.

        Args:
            instances: the instances of the pool that take new work.
            reserved: instances that the plan has reserved, and for which step.
            book: what is known of steps and instances.
            now: monotonic seconds.
            lead_s: how long in advance tickets are requested.
        """
        self._instances = {instance.name: instance for instance in instances}
        self._reserved = reserved
        self._book = book
        self._now = now
        self._free = {
            instance.name: _soon_free(instance, now, lead_s)
            for instance in instances
        }
        self._largest = _largest(self._free.values())
        self.requests: list[TicketRequest] = []

    @property
    def is_full(self) -> bool:
        """Whether no further requests are of use before the next plan."""
        return len(self.requests) >= MAX_REQUESTS_PER_POOL

    def add(
        self,
        step: open_steps.OpenStep,
        count: int,
        advice: fleet.AdvisorConfig,
    ) -> None:
        """Adds a request for a step if tickets would let tasks of it start.

        Args:
            step: a step with waiting tasks.
            count: how many of its tasks may start.
            advice: settings of its queue's advisor.
        """
        may_fit = self._largest.fitting_count(step.demand) > 0
        if not count or not (may_fit or step.has_crashed):
            return
        slots = self._slots(step, count)
        if step.step.gang and sum(slots.values()) < count:
            return
        usable = self._book.usable(step.key, self._now)
        missing = count - self._set_aside_later_capacity(
            step, [name for name in slots if name in usable], slots, count
        )
        candidates = [
            self._instances[name] for name in slots if name not in usable
        ]
        if missing <= 0 or not candidates:
            return
        chosen = self._choose(step, candidates, slots, missing, advice)
        self._set_aside(step, {name: slots[name] for name in chosen}, missing)
        expected_ms = advice.decision_ms + advice.period_ms * len(chosen)
        self.requests.append(
            TicketRequest(
                step, chosen, expected_ms / 1000, advice.validity_ms / 1000
            )
        )

    def _slots(self, step: open_steps.OpenStep, count: int) -> dict[str, int]:
        """Returns how many tasks fit on each instance that may run the step.

        Args:
            step: the step.
            count: how many of its tasks may start.
        """
        slots = {}
        key, need = step.key, step.demand
        requires, limit = step.step.requires, step.step.anti_affinity
        unsuitable = self._book.unsuitable(key)
        for name, instance in self._instances.items():
            if name in unsuitable or self._reserved.get(name, key) != key:
                continue
            if requires and requires not in instance.registration.labels:
                continue
            fitting = min(count, self._free[name].fitting_count(need))
            if step.has_crashed:
                # A suspect task may reserve an instance until it fits.
                fitting = max(1, fitting)
            if limit:
                present = instance.count_step_runs(step.task(0).name)
                fitting = min(fitting, limit - present)
            if fitting > 0:
                slots[name] = fitting
        return slots

    def _choose(
        self,
        step: open_steps.OpenStep,
        candidates: Iterable[instance_state.Instance],
        slots: Mapping[str, int],
        missing: int,
        advice: fleet.AdvisorConfig,
    ) -> list[str]:
        """Returns the instances to ask about, in the order of preference.

        Suitable instances come first. Others are named until enough of them
        are expected to be suitable.
        """
        suitable = self._book.suitable(step.key)
        task = step.first_waiting_task
        ordered = sorted(
            candidates,
            key=lambda instance: (
                instance.name not in suitable,
                placement.preference(step, task, instance),
            ),
        )
        least = _least_instances(advice, self._book.empty_answers(step.key))
        chosen: list[str] = []
        expected = 0.0
        unknown = 0
        for instance in ordered[:MAX_INSTANCES]:
            if expected >= missing and (not unknown or len(chosen) >= least):
                break
            name = instance.name
            chosen.append(name)
            if name in suitable:
                expected += slots[name]
            else:
                expected += slots[name] * UNKNOWN_SHARE
                unknown += 1
        return chosen

    def _set_aside_later_capacity(
        self,
        step: open_steps.OpenStep,
        names: Iterable[str],
        slots: Mapping[str, int],
        count: int,
    ) -> int:
        """Sets capacity aside on instances that a step has tickets for.

        Args:
            step: the step.
            names: the instances.
            slots: how many tasks fit on each instance now or soon.
            count: how many of its tasks may start.

        Returns:
            How many of its tasks fit on these instances now or soon.
        """
        later = {}
        fitting = 0
        for name in names:
            fitting += slots[name]
            free = self._instances[name].free
            later[name] = slots[name] - free.fitting_count(step.demand)
        self._set_aside(step, later, count)
        return fitting

    def _set_aside(
        self,
        step: open_steps.OpenStep,
        slots: Mapping[str, int],
        count: int,
    ) -> None:
        """Sets capacity aside for at most so many tasks of a step."""
        need = step.demand
        for name, fitting in slots.items():
            taken = max(0, min(count, fitting))
            free = self._free[name]
            self._free[name] = fleet.Resources(
                free.cpu - taken * need.cpu,
                free.mem_mb - taken * need.mem_mb,
                free.gpu - taken * need.gpu,
            )
            count -= taken
        if slots:
            self._largest = _largest(self._free.values())


def _soon_free(
    instance: instance_state.Instance, now: float, lead_s: float
) -> fleet.Resources:
    """Returns the unreserved capacity that an instance has soon.

    A run that is overdue for longer has proved its estimate wrong.
    """
    free = instance.free
    ending = [
        run.demand
        for run in instance.runs.values()
        if run.expected_ms > 0
        and not run.step.long_running
        and abs(now - run.decided_at - run.expected_ms / 1000) <= lead_s
    ]
    return fleet.Resources(
        free.cpu + sum(demand.cpu for demand in ending),
        free.mem_mb + sum(demand.mem_mb for demand in ending),
        free.gpu + sum(demand.gpu for demand in ending),
    )


def _largest(amounts: Collection[fleet.Resources]) -> fleet.Resources:
    """Returns the largest amount of each resource."""
    return fleet.Resources(
        max((amount.cpu for amount in amounts), default=-1),
        max((amount.mem_mb for amount in amounts), default=-1),
        max((amount.gpu for amount in amounts), default=-1),
    )


def _least_instances(advice: fleet.AdvisorConfig, empty_answers: int) -> int:
    """Returns how many instances a call names at least.

    Naming them takes a certain share of the time of the decision. Each answer
    without a suitable instance doubles their number.
    """
    if not advice.period_ms:
        return MAX_INSTANCES
    named = math.ceil(NAMING_SHARE * advice.decision_ms / advice.period_ms)
    doublings = min(empty_answers, 10)
    least: int = max(MIN_INSTANCES, named) * 2**doublings
    return min(least, MAX_INSTANCES)
