"""Decides which tickets to request from the advice service next."""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import itertools

from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.protocol import fleet

MAX_INSTANCES = 100
"""Most instances that one call may name (a requirement)."""


@dataclasses.dataclass(frozen=True)
class TicketRequest:
    """A call to the advice service that should be made.

    Attributes:
        step: the step whose tasks wait.
        instances: names of the instances to ask about.
        expected_s: time that the service needs for the call.
        validity_s: how long its tickets are valid, unless it says otherwise.
    """

    step: job_tracker.OpenStep
    instances: Sequence[str]
    expected_s: float
    validity_s: float

    @property
    def path(self) -> str:
        """Occurrence and number of the step, as in "0.1"."""
        return f"{self.step.occurrence}.{self.step.number}"


def request_for(
    step: job_tracker.OpenStep,
    instances: Sequence[str],
    advice: fleet.AdvisorConfig,
) -> TicketRequest:
    """Returns the request for tickets of a step.

    Args:
        step: the step.
        instances: names of the instances to ask about.
        advice: settings of its queue's advisor.
    """
    named = instances[:MAX_INSTANCES]
    expected_ms = advice.decision_ms + advice.period_ms * len(named)
    return TicketRequest(
        step, named, expected_ms / 1000, advice.validity_ms / 1000
    )


def interleave(
    pools: Iterable[Sequence[TicketRequest]],
) -> list[TicketRequest]:
    """Returns the requests of all pools, the first of each pool first.

    Args:
        pools: the requests of each pool in queue order.
    """
    rows = itertools.zip_longest(*pools)
    return [request for row in rows for request in row if request is not None]
