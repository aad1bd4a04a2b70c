"""Queues of waiting requests, one per request class of a service."""

import collections
from collections.abc import Iterator
import dataclasses

from vanillaswitch.state import config as config_lib

LONG_FACTOR = 4.0
"""Ratio of slot times from which requests of a lower class are long.

It relates a class to each more urgent class; see ``ClassQueues.is_long``.
"""

_MIN_GAIN = 0.1
_MIN_SLOT_TIME_S = 0.0001


@dataclasses.dataclass(frozen=True)
class QueuedRequest:
    """A request that waits for a slot.

    Attributes:
        request_number: number of the request, unique in this process and
            increasing.
        class_name: name of the request class.
        definition: configuration of the request class.
        arrived_at: monotonic seconds.
        deadline: monotonic seconds.
    """

    request_number: int
    class_name: str
    definition: config_lib.RequestClass
    arrived_at: float
    deadline: float


class ClassQueue:
    """Queue, mean slot time and scheduling credit of one request class."""

    def __init__(self, definition: config_lib.RequestClass):
        self._definition = definition
        self._slot_time_s = max(_MIN_SLOT_TIME_S, definition.expected_ms / 1000)
        self._sample_count = 0
        self._credit_s = 0.0
        self._waiting: collections.deque[QueuedRequest] = collections.deque()

    @property
    def definition(self) -> config_lib.RequestClass:
        """The class as last configured."""
        return self._definition

    @definition.setter
    def definition(self, definition: config_lib.RequestClass) -> None:
        self._definition = definition

    @property
    def slot_time_s(self) -> float:
        """Smoothed time that a request of this class holds a slot."""
        return self._slot_time_s

    @property
    def waiting(self) -> collections.deque[QueuedRequest]:
        """The waiting requests, oldest first."""
        return self._waiting

    @property
    def has_credit(self) -> bool:
        """Whether the credit covers one request."""
        return self._credit_s >= self._slot_time_s

    def record_slot_time(self, slot_time_s: float) -> None:
        """Adds the slot time of one finished request to the average.

        The first samples weigh more: the configured estimate is often far off
        and would otherwise distort wait estimates and shares for a long time.
        """
        self._sample_count += 1
        gain = max(_MIN_GAIN, 1 / self._sample_count)
        smoothed = self._slot_time_s + gain * (slot_time_s - self._slot_time_s)
        self._slot_time_s = max(_MIN_SLOT_TIME_S, smoothed)

    def add_credit(self, credit_s: float) -> None:
        """Adds credit, in seconds of slot time."""
        self._credit_s += credit_s

    def charge_start(self) -> None:
        """Subtracts one request from the credit, which may become negative.

        Starts in slots that no other class wanted are charged too. If they
        were free, a class that is already served well would still go before
        urgent requests. The debt is limited to one request, so a class that
        used much idle capacity does not lose its share later.
        """
        self._credit_s = max(self._credit_s, 0.0) - self._slot_time_s

    def take_all(self) -> list[QueuedRequest]:
        """Empties the queue and returns its requests."""
        taken = list(self._waiting)
        self._waiting.clear()
        return taken

    def reset_idle_credit(self) -> None:
        """Resets the credit of a class without waiting requests.

        Credit accumulated while idle would let a lower class go first for
        equally long afterwards.
        """
        if not self._waiting:
            self._credit_s = 0.0


class ClassQueues:
    """The queues of all request classes of one service seen so far."""

    def __init__(self) -> None:
        self._class_queues: dict[str, ClassQueue] = {}

    def __iter__(self) -> Iterator[ClassQueue]:
        """Iterates over the queues in no particular order."""
        return iter(self._class_queues.values())

    def queue_of(self, arrival: QueuedRequest) -> ClassQueue:
        """Returns the queue for a request, creating it if necessary.

        Updates the queue's class definition to that of the request.
        """
        queue = self._class_queues.get(arrival.class_name)
        if queue is None:
            queue = self._class_queues[arrival.class_name] = ClassQueue(
                arrival.definition
            )
        queue.definition = arrival.definition
        return queue

    def by_priority(self) -> list[ClassQueue]:
        """Returns the queues with waiting requests, most urgent first.

        Queues of equal priority are ordered by their oldest request.
        """
        waiting = [queue for queue in self if queue.waiting]
        waiting.sort(
            key=lambda queue: (
                queue.definition.priority,
                queue.waiting[0].request_number,
            )
        )
        return waiting

    def choose_next(self, free: int, reserved: int) -> ClassQueue | None:
        """Returns the queue whose oldest request starts next, if any.

        Args:
            free: number of slots that may be used now.
            reserved: how many of them are closed to long requests, unless the
                credit of their class covers one request.
        """
        waiting = self.by_priority()
        if free <= 0 or not waiting:
            return None
        for queue in waiting[1:]:
            if queue.has_credit:
                return queue
        first = waiting[0]
        if free <= reserved and self.is_long(first) and not first.has_credit:
            return None
        return first

    def is_long(self, queue: ClassQueue) -> bool:
        """Whether requests of a class can block a more urgent class for long.

        Running requests are not preempted. Classes with short slot times free
        their slots soon enough, whatever their priority.
        """
        return any(
            other.definition.priority < queue.definition.priority
            and other.slot_time_s * LONG_FACTOR <= queue.slot_time_s
            for other in self
        )

    def pop_oldest(self, queue: ClassQueue) -> QueuedRequest:
        """Removes and returns the oldest request of a queue."""
        return queue.waiting.popleft()

    def account_start(self, started: ClassQueue) -> None:
        """Charges the started class and credits the lower classes.

        Every lower class with waiting requests, and the started class if it is
        a lower one, earns its share by weight of the slot time of each start,
        so that over time it gets exactly that share.
        """
        started.charge_start()
        competing = [
            queue for queue in self if queue.waiting or queue is started
        ]
        highest_priority = min(queue.definition.priority for queue in competing)
        total_weight = sum(queue.definition.weight for queue in competing)
        for queue in competing:
            if queue.definition.priority > highest_priority:
                share = queue.definition.weight / max(1, total_weight)
                queue.add_credit(started.slot_time_s * share)
        for queue in self:
            queue.reset_idle_credit()

    def backlog_ahead_s(self, queue: ClassQueue) -> float:
        """Returns the slot time queued ahead of a new request of a class."""
        priority = queue.definition.priority
        return sum(
            len(other.waiting) * other.slot_time_s
            for other in self
            if other.definition.priority <= priority
        )

    def remove(self, ticket: int) -> None:
        """Removes a request from the queue that it waits in, if any."""
        for queue in self:
            for arrival in queue.waiting:
                if arrival.request_number == ticket:
                    queue.waiting.remove(arrival)
                    return
