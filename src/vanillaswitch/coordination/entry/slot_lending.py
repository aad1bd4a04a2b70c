"""Borrows slots from peers for queued requests, and lends idle ones.

The task that owns the slot allocator and the queues calls this. It sends the
returned messages, which may arrive in any order or get lost.
"""

from collections.abc import Callable
import dataclasses
import random

from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import routing
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.protocol import peers

LoanMessage = peers.SlotAsk | peers.SlotGrant | peers.SlotReturn


@dataclasses.dataclass(frozen=True)
class AddressedMessage:
    """A message and the process to send it to."""

    recipient: str
    message: LoanMessage


class SlotLending:
    """Lends and borrows slots for one process."""

    def __init__(
        self,
        rng: random.Random,
        slots: slot_allocator.SlotAllocator,
        queue: Callable[[str], admission.ServiceQueue],
    ):
        """Initializes lending.

        Args:
            rng: random source; chooses the peer to ask.
            slots: the slot allocator, which holds the loans.
            queue: returns a service's queue.
        """
        self._rng = rng
        self._slots = slots
        self._queue = queue

    def update_loans(
        self, service: str, now: float
    ) -> tuple[AddressedMessage, ...]:
        """Returns idle loans, and requests loans if requests are queued.

        Call this after each change of a service's queue or slots.

        Returns:
            The messages to send.
        """
        if self._slots.policy_name != routing.LENT_SHARE_POLICY:
            return ()
        loans = self._slots.loans
        queue = self._queue(service)
        waiting = queue.highest_waiting_priority if queue.waiting else None
        envelopes = []
        if loans.has_borrowed(service):
            free_slots = self._slots.free_slots_by_instance(service, now)
            returns = loans.return_idle(service, free_slots, waiting, now)
            envelopes = [
                AddressedMessage(peer, message)
                for peer, message in returns.items()
            ]
        peer_entries = self._slots.live_entries[1:]
        if waiting is None or not peer_entries:
            return tuple(envelopes)
        if loans.may_request(service, waiting, now):
            peer = self._rng.choice(peer_entries)
            ask = loans.new_request(service, queue.waiting, waiting, now)
            envelopes.append(AddressedMessage(peer, ask))
        return tuple(envelopes)

    def handle_message(
        self, message: LoanMessage, now: float
    ) -> tuple[frozenset[str], tuple[AddressedMessage, ...]]:
        """Handles a message from a peer.

        Returns:
            Services whose queues have to be checked, and messages to send.
        """
        loans = self._slots.loans
        match message:
            case peers.SlotAsk():
                grant = loans.lend(
                    message, self._idle_instances(message, now), now
                )
                return frozenset(), (AddressedMessage(message.process, grant),)
            case peers.SlotGrant():
                loans.handle_grant(message, now)
                return frozenset((message.service,)), ()
            case peers.SlotReturn():
                return loans.handle_return(message), ()

    def _idle_instances(
        self, ask: peers.SlotAsk, now: float
    ) -> tuple[str, ...]:
        """Returns an instance for each idle slot, the most idle first.

        Requests queued here have precedence over equally or less urgent ones
        of the peer. Slots reserved for urgent requests are lent to such only.
        """
        if self._slots.policy_name != routing.LENT_SHARE_POLICY:
            return ()
        queue = self._queue(ask.service)
        if queue.waiting and queue.highest_waiting_priority <= ask.priority:
            return ()
        slots = self._slots.count_slots(ask.service, now)
        may_use_reserve = queue.may_use_reserve(ask.priority)
        reserved = 0 if may_use_reserve else queue.reserved_slots(slots)
        free_slots = dict(self._slots.free_slots_by_instance(ask.service, now))
        idle: list[str] = []
        while len(idle) < min(ask.slots, slots.free - reserved):
            most_idle = max(free_slots, key=lambda one: free_slots[one])
            free_slots[most_idle] -= 1
            idle.append(most_idle)
        return tuple(idle)
