"""Messages from request tasks to the dispatcher, and a handle to send them."""

from collections.abc import Callable
import dataclasses
from typing import Any

import gevent.event

from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.protocol import minions as minions_lib


@dataclasses.dataclass(frozen=True)
class Forecast:
    """Asks for the refusal that a request would get now."""

    arrival: class_queues.QueuedRequest
    service: str
    reply: Any


@dataclasses.dataclass(frozen=True)
class Admit:
    """Asks for a slot at a minion."""

    arrival: class_queues.QueuedRequest
    service: str
    reply: Any


@dataclasses.dataclass(frozen=True)
class Reassign:
    """Releases the slot at a minion and asks for one at another."""

    ticket: int
    attempt_result: slot_allocator.AttemptResult
    excluded: frozenset[str]
    reply: Any


@dataclasses.dataclass(frozen=True)
class Finish:
    """Ends a request, which may never have had a slot."""

    ticket: int
    attempt_result: slot_allocator.AttemptResult


@dataclasses.dataclass(frozen=True)
class PeerMessage:
    """A peer's message about slot loans."""

    message: slot_lending.LoanMessage


Message = Forecast | Admit | Reassign | Finish | PeerMessage


class SlotHandle:
    """A request's slot, for use by the request's own task."""

    def __init__(self, send: Callable[[Message], None], ticket: int):
        self._send = send
        self._ticket = ticket
        self._attempt_result = slot_allocator.AttemptResult.NOT_SENT

    @property
    def attempt_result(self) -> slot_allocator.AttemptResult:
        """What the last attempt showed about the current minion."""
        return self._attempt_result

    def record_result(
        self, attempt_result: slot_allocator.AttemptResult
    ) -> None:
        """Records what an attempt showed about the current minion."""
        self._attempt_result = attempt_result

    def reassign(self, excluded: frozenset[str]) -> minions_lib.Minion | None:
        """Releases the slot and takes one at another minion.

        Returns:
            The new minion, or None if no other one has a free slot.
        """
        reply = gevent.event.AsyncResult()
        self._send(
            Reassign(self._ticket, self._attempt_result, excluded, reply)
        )
        self._attempt_result = slot_allocator.AttemptResult.NOT_SENT
        minion: minions_lib.Minion | None = reply.get()
        return minion
