"""Decides which waiting request of a service starts next or is refused.

Requests start in order of their class's priority. A lower class that is passed
over earns credit, its share by weight of the slot time used by others, and goes
first once the credit covers one of its requests. Credit works with a single
slot too, and with classes whose slot times differ by orders of magnitude.
Slots set aside for each class would not, and could stay idle while others need
them.

Running requests are not preempted, so some slots are reserved for urgent ones;
see ``slot_reserve``.

This module does no I/O: callers pass the time and the slots with each call and
carry out the actions that it returns.
"""

from collections.abc import Iterator
import dataclasses

from vanillaswitch.coordination.entry import class_queues
from vanillaswitch.coordination.entry import slot_reserve
from vanillaswitch.protocol import requests

NO_MINIONS_RETRY_AFTER_S = 1.0


@dataclasses.dataclass(frozen=True)
class SlotCounts:
    """Slot counts of a service as this process knows them.

    Attributes:
        total: slots of all minions that accept new requests.
        free: how many more requests this process may send now.
        usable: maximum of ``total`` that this process may use at once; None
            for all of them.
    """

    total: int
    free: int
    usable: int | None = None


@dataclasses.dataclass(frozen=True)
class Start:
    """Start the request: a slot is free."""

    request_number: int


@dataclasses.dataclass(frozen=True)
class Refuse:
    """Refuse the request without running it."""

    request_number: int
    refusal: requests.Refusal


Action = Start | Refuse


@dataclasses.dataclass(frozen=True)
class _RunningRequest:
    class_queue: class_queues.ClassQueue
    started_at: float


class ServiceQueue:
    """Waiting and running requests of one service in one process."""

    def __init__(self) -> None:
        self._class_queues = class_queues.ClassQueues()
        self._running: dict[int, _RunningRequest] = {}
        self._reserve = slot_reserve.SlotReserve()

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(
            len(class_queue.waiting) for class_queue in self._class_queues
        )

    @property
    def running(self) -> int:
        """Number of requests that hold a slot."""
        return len(self._running)

    @property
    def highest_waiting_priority(self) -> int:
        """Priority of the most urgent waiting request.

        Raises:
            IndexError: no request is waiting.
        """
        return self._class_queues.by_priority()[0].definition.priority

    def may_use_reserve(self, priority: int) -> bool:
        """Whether requests of a priority may use the reserved slots."""
        return not any(
            self._class_queues.is_long(class_queue)
            for class_queue in self._class_queues
            if class_queue.definition.priority == priority
        )

    def reserved_slots(self, slots: SlotCounts) -> int:
        """Returns the number of free slots closed to long requests."""
        usable = slots.total if slots.usable is None else slots.usable
        return self._reserve.reserved_slots(usable)

    def enqueue(
        self, arrival: class_queues.QueuedRequest, slots: SlotCounts, now: float
    ) -> tuple[Action, ...]:
        """Queues a request and returns the actions that follow.

        The new request may be started or refused at once.
        """
        self._class_queues.queue_of(arrival).waiting.append(arrival)
        return self.poll(slots, now)

    def forecast(
        self, arrival: class_queues.QueuedRequest, slots: SlotCounts, now: float
    ) -> requests.Refusal | None:
        """Returns the refusal that a request would get now, if any.

        Changes no state. Callers check this before they write a claim, so that
        requests refused because of overload cause no writes.
        """
        if slots.total <= 0:
            return _no_minions()
        class_queue = self._class_queues.queue_of(arrival)
        if slots.free > 0 and not self.waiting:
            return None
        ahead_s = (
            self._class_queues.backlog_ahead_s(class_queue)
            + class_queue.slot_time_s
        )
        wait_s = ahead_s / self._capacity(slots)
        if len(class_queue.waiting) >= class_queue.definition.queue_limit:
            return _queue_full(wait_s)
        if now + wait_s + class_queue.slot_time_s > arrival.deadline:
            return _too_late(wait_s)
        return None

    def remove(self, ticket: int, now: float, record_duration: bool) -> None:
        """Removes a request, whether it is waiting, running or unknown.

        Args:
            ticket: number of the request.
            now: monotonic seconds.
            record_duration: whether to record the time since its start as slot
                time.
        """
        running_request = self._running.pop(ticket, None)
        if running_request is None:
            self._class_queues.remove(ticket)
        elif record_duration:
            running_request.class_queue.record_slot_time(
                now - running_request.started_at
            )
        self._update_reserve(now)

    def poll(self, slots: SlotCounts, now: float) -> tuple[Action, ...]:
        """Starts requests in free slots and refuses those that are too late."""
        self._update_reserve(now)
        if slots.total <= 0:
            return tuple(self._refuse_all())
        actions: list[Action] = []
        free = slots.free
        while class_queue := self._class_queues.choose_next(
            free, self.reserved_slots(slots)
        ):
            arrival = self._class_queues.pop_oldest(class_queue)
            if _is_too_late(arrival, class_queue, now):
                wait_s = class_queue.slot_time_s / self._capacity(slots)
                actions.append(
                    Refuse(arrival.request_number, _too_late(wait_s))
                )
                continue
            self._class_queues.account_start(class_queue)
            self._running[arrival.request_number] = _RunningRequest(
                class_queue, now
            )
            self._update_reserve(now)
            actions.append(Start(arrival.request_number))
            free -= 1
        remaining = SlotCounts(slots.total, free)
        actions.extend(self._prune_waiting(remaining, now))
        return tuple(actions)

    def _update_reserve(self, now: float) -> None:
        urgent_count = sum(
            not self._class_queues.is_long(running_request.class_queue)
            for running_request in self._running.values()
        )
        self._reserve.record_urgent(urgent_count, now)

    def _capacity(self, slots: SlotCounts) -> int:
        """Slots that this process can use: those it holds and the free ones."""
        return max(1, slots.free + len(self._running))

    def _refuse_all(self) -> Iterator[Action]:
        for class_queue in self._class_queues:
            for arrival in class_queue.take_all():
                yield Refuse(arrival.request_number, _no_minions())

    def _prune_waiting(self, slots: SlotCounts, now: float) -> Iterator[Action]:
        """Refuses requests beyond the queue limit or too late to start.

        They are refused right away: after waiting until its deadline, the
        caller would have no time left to try elsewhere.
        """
        capacity = self._capacity(slots)
        ahead_s = 0.0
        for class_queue in self._class_queues.by_priority():
            kept = 0
            for arrival in class_queue.take_all():
                wait_s = (ahead_s + class_queue.slot_time_s) / capacity
                if kept >= class_queue.definition.queue_limit:
                    yield Refuse(arrival.request_number, _queue_full(wait_s))
                elif now + wait_s + class_queue.slot_time_s > arrival.deadline:
                    yield Refuse(arrival.request_number, _too_late(wait_s))
                else:
                    class_queue.waiting.append(arrival)
                    ahead_s += class_queue.slot_time_s
                    kept += 1


def _is_too_late(
    arrival: class_queues.QueuedRequest,
    class_queue: class_queues.ClassQueue,
    now: float,
) -> bool:
    """Whether a request that gets a slot now has too little time left.

    A request that gets a slot on arrival starts whatever the mean slot time
    is. Otherwise, after a slow period that raised the mean above what callers
    allow, no request of the class would ever run and lower it again.
    """
    needed = 0.0 if now <= arrival.arrived_at else class_queue.slot_time_s
    return now + needed >= arrival.deadline


def _refusal(code: str, detail: str, retry_s: float) -> requests.Refusal:
    return requests.Refusal(
        requests.Outcome.NOT_RUN, 503, code, detail, retry_s
    )


def _queue_full(wait_s: float) -> requests.Refusal:
    return _refusal("queue-full", "Too many requests wait already.", wait_s)


def _too_late(wait_s: float) -> requests.Refusal:
    return _refusal(
        "cannot-start-in-time",
        "The requests ahead leave no time before the deadline.",
        wait_s,
    )


def _no_minions() -> requests.Refusal:
    return _refusal(
        "no-minions",
        "No minion of the service takes new work.",
        NO_MINIONS_RETRY_AFTER_S,
    )
