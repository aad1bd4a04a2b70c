"""Requests tickets from the advice service.

Tasks of a queue with an advice service (``Queue.advice``) may start only on
instances for which the service has issued a ticket. The ticket is sent with the
start. Tickets expire, so they are requested again while steps wait.

``advice_calls`` decides which call is sent next, and when.
"""

from collections.abc import Callable

import gevent.event
import gevent.pool

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import advice_calls
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import planning
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

CALL_TIMEOUT_S = 120.0
"""Time after which the connection of a call without an answer is closed. The
call does not hold up others for so long; see ``advice_calls``."""


class TicketRefresher:
    """Keeps the tickets of waiting steps valid during one term."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        advisor: fleet.Advisor,
        clock: clocks.Clock,
        wake_planner: gevent.event.Event,
        wall_ms: Callable[[], float],
        emit: Callable[[object], None],
    ):
        """Creates a refresher that has sent no call.

        Args:
            scheduler: knows the steps and receives tickets.
            advisor: issues tickets.
            clock: times the calls.
            wake_planner: set when tickets have arrived.
            wall_ms: returns the time of day in milliseconds since 1970.
            emit: receives events.
        """
        self._scheduler = scheduler
        self._wall_ms = wall_ms
        self._advisor = advisor
        self._clock = clock
        self._wake_planner = wake_planner
        self._emit = emit
        self._calls = advice_calls.AdviceCalls()
        self._wake = gevent.event.Event()

    def update_requests(self, pause: planning.Pause) -> None:
        """Finds out which tickets the waiting steps need after a plan.

        Args:
            pause: see ``Planning.plan``.
        """
        if not self._scheduler.has_advised_queue:
            self._calls.update_requests(())
            return
        now = self._clock.monotonic()
        plan_time = queue_order.PlanTime(now, self._wall_ms())
        self._calls.update_requests(
            self._scheduler.missing_tickets(plan_time, pause)
        )
        if self._calls.has_requests:
            self._wake.set()

    def run(self) -> None:
        """Sends calls until it is killed, and then drops the open ones."""
        group = gevent.pool.Group()
        try:
            while True:
                self._wake.clear()
                now = self._clock.monotonic()
                found = self._calls.next_call(now)
                if isinstance(found, advice_calls.Call):
                    group.spawn(self._make_call, found)
                else:
                    self._wake.wait(None if found is None else found - now)
        finally:
            group.kill(block=False)

    def _make_call(self, call: advice_calls.Call) -> None:
        request = call.request
        sent_at = self._clock.monotonic()
        outcome = self._advisor.request_tickets(
            f"{request.step.entry.job.job_id}.{request.path}",
            request.instances,
            CALL_TIMEOUT_S,
            call.new_connection,
        )
        now = self._clock.monotonic()
        self._emit_call(call, outcome, now - sent_at)
        if isinstance(outcome, fleet.Tickets):
            self._calls.record_answer(call, now)
            validity_s = outcome.validity_s or request.validity_s
            self._scheduler.record_advice(
                request.step,
                request.instances,
                outcome.by_instance,
                now,
                validity_s,
            )
            self._wake_planner.set()
        elif isinstance(outcome, fleet.AdvisorOverloaded):
            self._calls.record_failure(call, now, request.expected_s)
        else:
            self._calls.record_failure(call, now)
        self._wake.set()

    def _emit_call(
        self,
        call: advice_calls.Call,
        outcome: fleet.AdviceOutcome,
        waited_s: float,
    ) -> None:
        request = call.request
        name, reason, good = _describe(outcome)
        self._emit(
            events.AdviceCall(
                request.step.entry.job.job_id,
                request.step.entry.job.queue,
                request.path,
                name,
                reason,
                len(request.instances),
                good,
                int(waited_s * 1000),
                call.open_before,
                call.calls_before,
            )
        )


def _describe(outcome: fleet.AdviceOutcome) -> tuple[str, str, int]:
    """Returns the outcome of a call, its reason and the number of tickets."""
    match outcome:
        case fleet.Tickets(by_instance=tickets):
            return "answered", "", len(tickets)
        case fleet.AdvisorOverloaded():
            return "refused", "too many calls are waiting", 0
        case fleet.NoAnswer(may_take_effect=was_sent, reason=reason):
            return "unanswered" if was_sent else "unsent", reason, 0
