"""What the advice service has said about instances and steps.

Whether an instance may run a step never changes, so it is asked about an
instance that may not run a step only once. A ticket for one that may is valid
for a short time, and for one incarnation of the instance.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

StepKey = tuple[str, int, int]
"""Job, occurrence and number of a step."""

USABLE_SHARE = 0.9
"""Share of its validity for which a ticket is used. A start is stored before it
is sent, and an instance refuses a start whose ticket has expired meanwhile."""


@dataclasses.dataclass(frozen=True, slots=True)
class _Ticket:
    """A ticket; times are monotonic seconds."""

    text: str
    received_at: float
    usable_until: float


@dataclasses.dataclass(slots=True)
class _Advice:
    """What is known of one step.

    Attributes:
        tickets: newest ticket of each instance that may run the step.
        unsuitable: instances that may not run it.
        empty_answers: answers in a row that contained no ticket.
    """

    tickets: dict[str, _Ticket] = dataclasses.field(default_factory=dict)
    unsuitable: set[str] = dataclasses.field(default_factory=set)
    empty_answers: int = 0


_NOTHING = _Advice()


class TicketBook:
    """The tickets of one owner, by step and instance.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Creates an empty book."""
        self._steps: dict[StepKey, _Advice] = {}

    def __len__(self) -> int:
        """Returns the number of steps of which anything is known."""
        return len(self._steps)

    def record_answer(
        self,
        step: StepKey,
        named: Collection[str],
        tickets: Mapping[str, str],
        now: float,
        validity_s: float,
    ) -> None:
        """Records an answer of the service.

        Args:
            step: the step.
            named: the instances that the call named.
            tickets: tickets of those that may run the step.
            now: when the answer arrived. The ticket may have been issued
                earlier, but the time in the queue of the service must not
                count.
            validity_s: how long the tickets are valid.
        """
        advice = self._steps.setdefault(step, _Advice())
        usable_until = now + validity_s * USABLE_SHARE
        for name, text in tickets.items():
            advice.tickets[name] = _Ticket(text, now, usable_until)
        advice.unsuitable.update(name for name in named if name not in tickets)
        advice.unsuitable.difference_update(tickets)
        if tickets:
            advice.empty_answers = 0
        else:
            advice.empty_answers += 1

    def usable(self, step: StepKey, now: float) -> Mapping[str, str]:
        """Returns the tickets of a step that may be used, by instance."""
        return {
            name: ticket.text
            for name, ticket in self._of(step).tickets.items()
            if now < ticket.usable_until
        }

    def suitable(self, step: StepKey) -> Collection[str]:
        """Returns the instances that are known to be able to run a step."""
        return self._of(step).tickets.keys()

    def unsuitable(self, step: StepKey) -> Collection[str]:
        """Returns the instances that are known not to be able to run it."""
        return self._of(step).unsuitable

    def empty_answers(self, step: StepKey) -> int:
        """Returns how many answers in a row contained no ticket."""
        return self._of(step).empty_answers

    def expire(self, step: StepKey, instance: str, used_at: float) -> bool:
        """Ends the use of a ticket that its instance has refused.

        Args:
            step: the step.
            instance: the instance.
            used_at: when the refused start was decided. A ticket that arrived
                since then was not refused.

        Returns:
            Whether it is the newest ticket for the instance.
        """
        tickets = self._of(step).tickets
        ticket = tickets.get(instance)
        if ticket is None or ticket.received_at > used_at:
            return False
        tickets[instance] = dataclasses.replace(ticket, usable_until=used_at)
        return True

    def forget_instance(self, instance: str) -> None:
        """Forgets an instance that has restarted, maybe as another kind."""
        for advice in self._steps.values():
            advice.tickets.pop(instance, None)
            advice.unsuitable.discard(instance)

    def retain(self, steps: Iterable[StepKey]) -> None:
        """Forgets all other steps."""
        kept = set(steps)
        self._steps = {
            step: advice for step, advice in self._steps.items() if step in kept
        }

    def _of(self, step: StepKey) -> _Advice:
        return self._steps.get(step, _NOTHING)
