"""Requests tickets from the advice service.

Tasks of a queue with an advice service (``Queue.advice``) may start only on
instances for which the service has issued a ticket. The ticket is sent with the
start. Tickets expire, so they are requested again while steps wait.
"""

from collections.abc import Callable

import gevent
import gevent.event

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet

TIMEOUT_MARGIN_S = 1.0
"""Time that an advice call may take in addition to its configured duration."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed call before tickets are requested again."""


class TicketRefresher:
    """Keeps the tickets of waiting steps valid, with one call per step."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        advisor: fleet.Advisor,
        clock: clocks.Clock,
        wake_planner: gevent.event.Event,
        wall_ms: Callable[[], float],
        emit: Callable[[object], None],
    ):
        self._scheduler = scheduler
        self._wall_ms = wall_ms
        self._advisor = advisor
        self._clock = clock
        self._wake_planner = wake_planner
        self._emit = emit
        self._requested_steps: set[tuple[str, int, int]] = set()
        self._calls_by_step: dict[tuple[str, int, int], int] = {}

    def request_missing_tickets(self) -> None:
        """Requests tickets for ready steps that need them."""
        if not any(queue.advice for queue in self._scheduler.queues.values()):
            return
        now = self._clock.monotonic()
        plan_time = queue_order.PlanTime(now, self._wall_ms())
        for steps in self._scheduler.ready_steps(plan_time).values():
            for step in steps:
                step_key = (step.entry.job.job_id, step.occurrence, step.number)
                tickets = self._scheduler.tickets_for(step, now)
                if (
                    tickets is None
                    or tickets
                    or step_key in self._requested_steps
                ):
                    continue
                self._requested_steps.add(step_key)
                gevent.spawn(self._request, step, step_key)

    def _request(
        self, step: job_tracker.OpenStep, step_key: tuple[str, int, int]
    ) -> None:
        try:
            self._request_once(step)
        finally:
            self._requested_steps.discard(step_key)

    def _request_once(self, step: job_tracker.OpenStep) -> None:
        """Requests tickets for a step and passes them to the scheduler."""
        queue = self._scheduler.queues.get(step.entry.job.queue)
        if queue is None or queue.advice is None:
            return
        requested_at = self._clock.monotonic()
        names = [
            instance.name
            for instance in self._scheduler.pool_instances(queue.service)
            if instance.is_schedulable(requested_at)
        ]
        if not names:
            return
        expected_ms = queue.advice.decision_ms
        expected_ms += queue.advice.period_ms * len(names)
        job_id = step.entry.job.job_id
        path = f"{step.occurrence}.{step.number}"
        open_calls = len(self._requested_steps) - 1
        outcome = self._advisor.request_tickets(
            f"{job_id}.{path}",
            names,
            expected_ms / 1000 + TIMEOUT_MARGIN_S,
        )
        step_key = (job_id, step.occurrence, step.number)
        calls_before = self._calls_by_step.get(step_key, 0)
        self._calls_by_step[step_key] = calls_before + 1
        name, reason, good = _describe(outcome)
        self._emit(
            events.AdviceCall(
                job_id,
                queue.name,
                path,
                name,
                reason,
                len(names),
                good,
                int((self._clock.monotonic() - requested_at) * 1000),
                open_calls,
                calls_before,
            )
        )
        if not isinstance(outcome, fleet.Tickets):
            self._clock.sleep(RETRY_PAUSE_S)
            return
        validity_s = outcome.validity_s or queue.advice.validity_ms / 1000
        self._scheduler.set_tickets(
            step, outcome.by_instance, requested_at + validity_s
        )
        self._wake_planner.set()


def _describe(outcome: fleet.AdviceOutcome) -> tuple[str, str, int]:
    """Returns the outcome of a call, its reason and the number of tickets."""
    match outcome:
        case fleet.Tickets(by_instance=tickets):
            return "answered", "", len(tickets)
        case fleet.AdvisorOverloaded():
            return "refused", "too many calls are waiting", 0
        case fleet.NoAnswer(may_take_effect=was_sent, reason=reason):
            return "unanswered" if was_sent else "unsent", reason, 0
