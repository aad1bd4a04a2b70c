"""Requests tickets from the advice service that says where steps may run."""

from collections.abc import Callable

import gevent
import gevent.event

from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet

TIMEOUT_MARGIN_S = 1.0
"""Time beyond the configured duration that an advice call may take."""

RETRY_PAUSE_S = 0.1
"""Pause after a failed call before the step is requested again."""


class AdviceTask:
    """Keeps the tickets of waiting steps valid, with one call per step."""

    def __init__(
        self,
        core: cores.Core,
        advisor: fleet.Advisor,
        clock: clocks.Clock,
        wake: gevent.event.Event,
        wall_ms: Callable[[], float],
    ):
        self._core = core
        self._wall_ms = wall_ms
        self._advisor = advisor
        self._clock = clock
        self._wake = wake
        self._pending: set[tuple[str, int, int]] = set()

    def ask_for_waiting(self) -> None:
        """Requests tickets for ready steps that need them."""
        if not any(queue.advice for queue in self._core.queues.values()):
            return
        now = self._clock.monotonic()
        moment = queue_order.Moment(now, self._wall_ms())
        for steps in self._core.ready_steps(moment).values():
            for step in steps:
                key = (step.entry.job.job_id, step.occurrence, step.number)
                tickets = self._core.tickets_for(step, now)
                if tickets is None or tickets or key in self._pending:
                    continue
                self._pending.add(key)
                gevent.spawn(self._request, step, key)

    def _request(self, step: books.OpenStep, key: tuple[str, int, int]) -> None:
        try:
            self._request_once(step)
        finally:
            self._pending.discard(key)

    def _request_once(self, step: books.OpenStep) -> None:
        """Requests tickets for a step and hands them to the decisions."""
        queue = self._core.queues.get(step.entry.job.queue)
        if queue is None or queue.advice is None:
            return
        began = self._clock.monotonic()
        names = [
            instance.name
            for instance in self._core.pool_instances(queue.service)
            if instance.usable(began)
        ]
        if not names:
            return
        limit_ms = queue.advice.decision_ms
        limit_ms += queue.advice.period_ms * len(names)
        job_id = step.entry.job.job_id
        outcome = self._advisor.ask(
            f"{job_id}.{step.occurrence}.{step.number}",
            names,
            limit_ms / 1000 + TIMEOUT_MARGIN_S,
        )
        if isinstance(outcome, fleet.NoAnswer):
            logs.warning(
                "advice service did not answer for job {}: {}",
                job_id,
                outcome.reason,
            )
            self._clock.sleep(RETRY_PAUSE_S)
            return
        validity_s = outcome.validity_s or queue.advice.validity_ms / 1000
        self._core.advised(step, outcome.by_instance, began + validity_s)
        self._wake.set()
