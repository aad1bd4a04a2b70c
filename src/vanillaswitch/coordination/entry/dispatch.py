"""The dispatcher: a task that owns slots and queues and assigns minions.

Each request runs in its own task and exchanges messages with the dispatcher.
"""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import itertools
import random
import sys
from typing import Any

import gevent
import gevent.event
import gevent.queue

from vanillaswitch import errors
from vanillaswitch.coordination.entry import admission
from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import dispatch_messages
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.coordination.entry import slot_lending
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib

POLL_S = 0.01
"""Interval at which waiting requests are checked without other events."""


@dataclasses.dataclass(frozen=True)
class _AdmittedRequest:
    """A request that is waiting or holds a slot.

    Attributes:
        service: name of the service.
        reply: result for the request's task: its minion or a refusal.
        minion: minion that the request has a slot at, if any.
        taken_at: monotonic seconds when it took the slot.
    """

    service: str
    reply: Any
    minion: minions_lib.Minion | None = None
    taken_at: float = 0.0


class Dispatcher:
    """Admits requests and tracks which are in flight."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        rng: random.Random,
        slots: slot_allocator.SlotAllocator,
        send: Callable[[slot_lending.AddressedMessage], None],
    ):
        """Initializes the dispatcher; it works while ``running`` is entered.

        Args:
            clock: source of time.
            rng: random source.
            slots: slot counts; only this dispatcher may use them from now on.
            send: sends a message about slot loans without blocking.
        """
        self._clock = clock
        self._slots = slots
        self._send = send
        self._lending = slot_lending.SlotLending(rng, slots, self._queue_of)
        self._inbox = gevent.queue.Queue()
        self._tickets = itertools.count(1)
        self._queues: dict[str, admission.ServiceQueue] = {}
        self._admitted: dict[int, _AdmittedRequest] = {}
        self._last_poll_at = 0.0

    @property
    def in_flight_by_minion(self) -> Mapping[str, int]:
        """This process's requests in flight, by minion instance, for peers."""
        return self._slots.in_flight_by_minion(self._clock.monotonic())

    def handle_peer_message(self, message: slot_lending.LoanMessage) -> None:
        """Queues a peer's message about slot loans; never blocks."""
        self._inbox.put(dispatch_messages.PeerMessage(message))

    @contextlib.contextmanager
    def running(self) -> Iterator[None]:
        """Runs the dispatcher's task until the block exits."""
        task = gevent.spawn(self._run)
        try:
            yield
        finally:
            task.kill()

    def forecast(
        self, request: requests.Request, definition: config_lib.RequestClass
    ) -> requests.Refusal | None:
        """Returns the refusal that a request would get now, if any."""
        reply = gevent.event.AsyncResult()
        arrival = self._make_arrival(request, definition)
        self._inbox.put(
            dispatch_messages.Forecast(arrival, request.service, reply)
        )
        refusal: requests.Refusal | None = reply.get()
        return refusal

    @contextlib.contextmanager
    def admit(
        self, request: requests.Request, definition: config_lib.RequestClass
    ) -> Iterator[
        tuple[
            dispatch_messages.SlotHandle, minions_lib.Minion | requests.Refusal
        ]
    ]:
        """Waits for a slot, yields its minion and releases the slot on exit.

        Yields:
            A handle for the request's slot, and its minion or the refusal.
        """
        arrival = self._make_arrival(request, definition)
        slot = dispatch_messages.SlotHandle(
            self._inbox.put, arrival.request_number
        )
        reply = gevent.event.AsyncResult()
        self._inbox.put(
            dispatch_messages.Admit(arrival, request.service, reply)
        )
        try:
            yield slot, reply.get()
        finally:
            self._inbox.put(
                dispatch_messages.Finish(
                    arrival.request_number, slot.attempt_result
                )
            )

    def _make_arrival(
        self, request: requests.Request, definition: config_lib.RequestClass
    ) -> class_queues.QueuedRequest:
        return class_queues.QueuedRequest(
            request_number=next(self._tickets),
            class_name=request.request_class,
            definition=definition,
            arrived_at=self._clock.monotonic(),
            deadline=request.deadline,
        )

    def _run(self) -> None:
        """Processes messages until killed; stops the process on any error.

        If the process continued without this task, every request would wait
        until its deadline.
        """
        try:
            self._process_messages()
        except Exception:
            gevent.get_hub().handle_system_error(*sys.exc_info()[:2])
            raise

    def _process_messages(self) -> None:
        while True:
            message = self._next_message()
            now = self._clock.monotonic()
            if message is not None:
                self._handle(message, now)
            if message is None or now - self._last_poll_at >= POLL_S:
                self._last_poll_at = now
                for service in self._queues:
                    self._poll(service, now)

    def _next_message(self) -> dispatch_messages.Message | None:
        """Returns the next message, or None when it is time to poll.

        Polling is necessary while requests wait: no message announces that a
        peer has freed a slot or that a deadline is near.
        """
        waiting = any(queue.waiting for queue in self._queues.values())
        try:
            message: dispatch_messages.Message = self._inbox.get(
                timeout=POLL_S if waiting else None
            )
        except gevent.queue.Empty:
            return None
        return message

    def _handle(self, message: dispatch_messages.Message, now: float) -> None:
        match message:
            case dispatch_messages.Forecast(arrival, service, reply):
                queue = self._queue_of(service)
                slots = self._slots.count_slots(service, now)
                reply.set(queue.forecast(arrival, slots, now))
            case dispatch_messages.Admit(arrival, service, reply):
                self._admitted[arrival.request_number] = _AdmittedRequest(
                    service, reply
                )
                slots = self._slots.count_slots(service, now)
                actions = self._queue_of(service).enqueue(arrival, slots, now)
                self._apply(actions, now)
                self._update_loans(service, now)
            case dispatch_messages.Reassign(
                ticket, attempt_result, excluded, reply
            ):
                reply.set(self._reassign(ticket, attempt_result, excluded, now))
            case dispatch_messages.Finish(ticket, attempt_result):
                self._finish(ticket, attempt_result, now)
            case dispatch_messages.PeerMessage(peer_message):
                services, envelopes = self._lending.handle_message(
                    peer_message, now
                )
                self._send_all(envelopes)
                for service in services:
                    self._poll(service, now)

    def _queue_of(self, service: str) -> admission.ServiceQueue:
        if service not in self._queues:
            self._queues[service] = admission.ServiceQueue()
        return self._queues[service]

    def _poll(self, service: str, now: float) -> None:
        queue = self._queue_of(service)
        if queue.waiting:
            self._apply(
                queue.poll(self._slots.count_slots(service, now), now), now
            )
        self._update_loans(service, now)

    def _update_loans(self, service: str, now: float) -> None:
        self._send_all(self._lending.update_loans(service, now))

    def _send_all(
        self, envelopes: tuple[slot_lending.AddressedMessage, ...]
    ) -> None:
        for envelope in envelopes:
            self._send(envelope)

    def _apply(self, actions: tuple[admission.Action, ...], now: float) -> None:
        for action in actions:
            admitted = self._admitted[action.request_number]
            match action:
                case admission.Refuse(refusal=refusal):
                    admitted.reply.set(refusal)
                case admission.Start(request_number=ticket):
                    admitted.reply.set(
                        self._start_request(ticket, admitted, now)
                    )

    def _start_request(
        self, ticket: int, admitted: _AdmittedRequest, now: float
    ) -> minions_lib.Minion:
        minion = self._take_slot(ticket, admitted, frozenset(), now)
        if minion is None:
            raise errors.InvariantError(
                "admission started a request although no minion has a free slot"
            )
        return minion

    def _take_slot(
        self,
        ticket: int,
        admitted: _AdmittedRequest,
        excluded: frozenset[str],
        now: float,
    ) -> minions_lib.Minion | None:
        minion = self._slots.allocate(admitted.service, excluded, now, ticket)
        self._admitted[ticket] = dataclasses.replace(
            admitted, minion=minion, taken_at=now
        )
        return minion

    def _reassign(
        self,
        ticket: int,
        attempt_result: slot_allocator.AttemptResult,
        excluded: frozenset[str],
        now: float,
    ) -> minions_lib.Minion | None:
        admitted = self._admitted[ticket]
        self._release_slot(ticket, admitted, attempt_result, now)
        return self._take_slot(ticket, admitted, excluded, now)

    def _release_slot(
        self,
        ticket: int,
        admitted: _AdmittedRequest,
        attempt_result: slot_allocator.AttemptResult,
        now: float,
    ) -> None:
        if admitted.minion:
            self._slots.release(
                admitted.minion, attempt_result, admitted.taken_at, now, ticket
            )

    def _finish(
        self,
        ticket: int,
        attempt_result: slot_allocator.AttemptResult,
        now: float,
    ) -> None:
        admitted = self._admitted.pop(ticket)
        self._release_slot(ticket, admitted, attempt_result, now)
        queue = self._queues[admitted.service]
        measured = attempt_result is not slot_allocator.AttemptResult.NOT_SENT
        queue.remove(ticket, now, record_duration=measured)
        self._poll(admitted.service, now)
