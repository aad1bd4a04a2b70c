"""Decides which call is sent to the advice service next, and when.

The service handles the calls of one machine one at a time, in the order in
which they arrive. A call that its sender has given up stays in that order and
takes its time there. If each waiting step sent a call of its own and gave it up
after the duration of one call, the service would be busy with abandoned calls
and no answer would arrive in time, however long the steps wait.

So there is one open call as a rule, and it is given up only when it is certain
that its answer is lost: a later call has been answered. While there is no
answer at all, the service may be slow, or the answer may be lost. Another call
is sent then, after increasing pauses. It is for another step where there is
one, so that the service does not work in vain if it is merely slow.
"""

from collections.abc import Sequence
import dataclasses

from vanillaswitch.coordination.fleet.queue import ticket_requests
from vanillaswitch.coordination.fleet.queue import tickets

MAX_OPEN_CALLS = 8
"""Limit of calls that wait for an answer. The service queues 32."""

ANSWER_MARGIN_S = 1.0
"""Time that an answer may take in addition to the duration of the call."""

MAX_ANSWER_WAIT_S = 4.0
"""Longest time without an answer until another call is sent, unless the calls
usually take longer. A lost answer delays the start of tasks for so long."""

STALL_S = 15.0
"""Time without an answer after which the oldest of ``MAX_OPEN_CALLS`` calls is
taken for lost."""

RETRY_PAUSE_S = 0.1
"""Pause after a first failure; it doubles with each further one."""

MAX_RETRY_PAUSE_S = 1.0
"""Longest pause after a failure. A service that is back is used this soon."""


@dataclasses.dataclass(frozen=True)
class _OpenCall:
    """A call that waits for its answer; see ``CallWindow.open_call``."""

    expected_s: float
    sent_at: float


def retry_pause_s(failures: int) -> float:
    """Returns the pause after a number of failures in a row, from 1."""
    doublings = min(failures - 1, 10)
    return min(RETRY_PAUSE_S * 2.0**doublings, MAX_RETRY_PAUSE_S)


class CallWindow:
    """Limits the calls that one owner has waiting at the advice service.

    Times are monotonic seconds.
    """

    def __init__(self) -> None:
        """Creates a window without open calls."""
        self._calls: dict[int, _OpenCall] = {}
        self._last_number = 0
        self._last_event_at = float("-inf")
        self._last_answer_at = float("-inf")
        self._paused_until = float("-inf")
        self._failures = 0
        self._slowness = 1.0

    @property
    def open_count(self) -> int:
        """Number of calls whose answers are awaited."""
        return len(self._calls)

    def is_open(self, number: int) -> bool:
        """Whether the answer to a call is awaited."""
        return number in self._calls

    @property
    def next_call_at(self) -> float:
        """When the next call may be sent; in the past if it may be now."""
        if not self._calls:
            return self._paused_until
        return max(
            self._paused_until, self._last_event_at + self._answer_wait_s
        )

    @property
    def _answer_wait_s(self) -> float:
        """How long the open calls may go without an answer."""
        expected_s = sum(call.expected_s for call in self._calls.values())
        usual_s = expected_s + ANSWER_MARGIN_S
        if len(self._calls) >= MAX_OPEN_CALLS:
            return max(STALL_S, usual_s)
        observed_s = expected_s * self._slowness + ANSWER_MARGIN_S
        growing_s = observed_s * 2.0 ** (len(self._calls) - 1)
        return min(growing_s, max(MAX_ANSWER_WAIT_S, usual_s))

    def open_call(self, expected_s: float, now: float) -> int:
        """Records that a call is being sent.

        Args:
            expected_s: time that the service needs for it at its usual speed.
            now: the current time.

        Returns:
            The number of the call; later calls have higher numbers.
        """
        if len(self._calls) >= MAX_OPEN_CALLS:
            del self._calls[min(self._calls)]
        self._last_number += 1
        self._calls[self._last_number] = _OpenCall(expected_s, now)
        self._last_event_at = now
        return self._last_number

    def record_answer(self, number: int, now: float) -> None:
        """Records the answer to a call.

        The service has handled all earlier calls before, so their answers are
        lost.
        """
        call = self._calls.get(number)
        if call is not None and call.expected_s > 0:
            turn_began_at = max(call.sent_at, self._last_answer_at)
            took_s = now - turn_began_at
            self._slowness = max(1.0, took_s / call.expected_s)
        self._calls = {
            other: open_call
            for other, open_call in self._calls.items()
            if other > number
        }
        self._last_answer_at = self._last_event_at = now
        self._failures = 0
        self._paused_until = now

    def record_failure(
        self, number: int, now: float, min_pause_s: float = 0.0
    ) -> None:
        """Records that a call failed or was refused.

        Args:
            number: the call.
            now: the current time.
            min_pause_s: least time until the next call.
        """
        self._calls.pop(number, None)
        self._failures += 1
        pause_s = max(min_pause_s, retry_pause_s(self._failures))
        self._paused_until = max(self._paused_until, now + pause_s)


@dataclasses.dataclass
class _StepCalls:
    """Calls for one step.

    Attributes:
        last_number: number of the last one in the window.
        count: how many of them are over.
        failures: how many have failed since the last answer.
        retry_at: monotonic seconds until which there is no further one.
    """

    last_number: int = 0
    count: int = 0
    failures: int = 0
    retry_at: float = float("-inf")


@dataclasses.dataclass(frozen=True)
class Call:
    """A call to send now.

    Attributes:
        number: number in the window.
        calls_before: earlier calls for the same step that are over.
        open_before: calls whose answers are awaited already.
        new_connection: whether an open connection may be broken.
    """

    request: ticket_requests.TicketRequest
    number: int
    calls_before: int
    open_before: int
    new_connection: bool


class AdviceCalls:
    """Chooses the calls of one owner. Times are monotonic seconds."""

    def __init__(self) -> None:
        """Creates the state before the first call."""
        self._window = CallWindow()
        self._steps: dict[tickets.StepKey, _StepCalls] = {}
        self._requests: Sequence[ticket_requests.TicketRequest] = ()

    @property
    def has_requests(self) -> bool:
        """Whether any step needs tickets."""
        return bool(self._requests)

    def update_requests(
        self, requests: Sequence[ticket_requests.TicketRequest]
    ) -> None:
        """Replaces the requests.

        Args:
            requests: the tickets that steps need, the most urgent first.
        """
        self._requests = requests
        wanted = {request.step.key for request in requests}
        self._steps = {
            key: calls
            for key, calls in self._steps.items()
            if key in wanted or self._window.is_open(calls.last_number)
        }

    def next_call(self, now: float) -> Call | float | None:
        """Returns the call to send now, and records it as sent.

        Returns:
            The call; if none may be sent now, the time at which one may be; or
            None if there is nothing to request.
        """
        request = self._next_request(now)
        if request is None:
            return min(
                (
                    self._steps[request.step.key].retry_at
                    for request in self._requests
                ),
                default=None,
            )
        if now < self._window.next_call_at:
            return self._window.next_call_at
        open_before = self._window.open_count
        calls = self._steps.setdefault(request.step.key, _StepCalls())
        calls.last_number = self._window.open_call(request.expected_s, now)
        return Call(
            request,
            calls.last_number,
            calls.count,
            open_before,
            new_connection=open_before > 0 or calls.failures > 0,
        )

    def _next_request(self, now: float) -> ticket_requests.TicketRequest | None:
        """Returns the first request without an open call.

        If each of them has one, the one with the oldest call may have lost its
        answer.
        """
        oldest: ticket_requests.TicketRequest | None = None
        oldest_number = 0
        for request in self._requests:
            calls = self._steps.get(request.step.key)
            if calls is None:
                return request
            if now < calls.retry_at:
                continue
            if not self._window.is_open(calls.last_number):
                return request
            if oldest is None or calls.last_number < oldest_number:
                oldest, oldest_number = request, calls.last_number
        return oldest

    def record_answer(self, call: Call, now: float) -> None:
        """Records the answer to a call; its request is done."""
        self._window.record_answer(call.number, now)
        step_key = call.request.step.key
        calls = self._steps.setdefault(step_key, _StepCalls())
        calls.count += 1
        calls.failures, calls.retry_at = 0, now
        self._requests = [
            request
            for request in self._requests
            if request.step.key != step_key
        ]

    def record_failure(
        self, call: Call, now: float, min_pause_s: float = 0.0
    ) -> None:
        """Records that a call failed or was refused.

        Args:
            call: the call.
            now: the current time.
            min_pause_s: least time until the next call of any step.
        """
        if not self._window.is_open(call.number):
            return
        self._window.record_failure(call.number, now, min_pause_s)
        calls = self._steps.setdefault(call.request.step.key, _StepCalls())
        calls.count += 1
        calls.failures += 1
        calls.retry_at = now + retry_pause_s(calls.failures)
