"""The calls to one instance: lease renewals, starts, stops and throttling."""

from collections.abc import Callable
import dataclasses
import functools
import math
from typing import TypeVar

import gevent
import gevent.event
import gevent.lock

from vanillaswitch.coordination.fleet.instances import call_fences
from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import pacing
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet

BUSY_POLL_S = 1.0
"""How long a renewal waits for a task to end on an instance with work."""

IDLE_POLL_S = 2.0
"""How long it waits on an idle instance; the most that instances accept."""

ANSWER_MARGIN_S = 0.8
"""Time that a renewal may take in addition to its wait. After that the
connection counts as broken, and the next call uses a new one."""

RETRY_TIMEOUT_S = 0.5
"""Timeout of the renewal after an unanswered one. It does not wait for a task
to end, so a healthy instance answers in milliseconds. A lost instance counts as
unresponsive 1.0 s earlier than with two full-length calls."""

BATCH_PAUSE_S = 0.015
"""Pause between two renewals, so that one report covers the ends of several
runs. Tasks of a step end close together, and each call costs processor time and
counts as a health check."""

MAX_RECORD_WAIT_S = 0.3
"""Longest wait for the reported ends of runs to be written before the next
renewal."""

SEND_TIMEOUT_S = disruption_budget.ORDER_TIMEOUT_S
"""Limit for sending one start or stop order."""

RETRY_PAUSE_S = 0.15
"""Pause before a failed call is repeated."""

SILENT_AFTER_CALLS = 2
"""Consecutive unanswered renewals after which an instance is unresponsive."""

MAX_CONCURRENT_STARTS = 4
"""Concurrent start calls to one instance, each on its own connection."""

MAX_LATE_RETRIES = 3
"""How often a start that arrived after its deadline is sent with a new one."""


_Outcome = TypeVar("_Outcome")


@dataclasses.dataclass(frozen=True)
class CallContext:
    """Objects that the calls to instances share during one term.

    Attributes:
        scheduler: the owner's decisions.
        upstreams: sends calls to instances.
        writer: writes the owner's rows; knows its term.
        clock: source of monotonic time.
        wake_planner: set to make the owner plan again.
    """

    scheduler: schedulers.Scheduler
    upstreams: fleet.Upstreams
    writer: fenced_writer.FencedWriter
    clock: clocks.Clock
    wake_planner: gevent.event.Event

    @functools.cached_property
    def fences(self) -> call_fences.CallFences:
        """The fencing tokens of the term's calls."""
        return call_fences.CallFences(self.writer)


class InstanceClient:
    """Makes all calls to one instance during one term of ownership."""

    def __init__(self, context: CallContext, name: str):
        self._context = context
        self._scheduler = context.scheduler
        self._clock = context.clock
        self._name = name
        self._recorded_incarnation = 0
        self._recorded_end = 0
        self._recorded_event = gevent.event.Event()
        self._start_slots = gevent.lock.BoundedSemaphore(MAX_CONCURRENT_STARTS)

    def mark_ends_recorded(self, number: int, incarnation: int) -> None:
        """Records that the ends of runs up to a number were written.

        Args:
            number: number of the last written end of a run.
            incarnation: incarnation of the instance that assigned the number.
        """
        if incarnation > self._recorded_incarnation:
            self._recorded_incarnation, self._recorded_end = incarnation, 0
        if (
            incarnation == self._recorded_incarnation
            and number > self._recorded_end
        ):
            self._recorded_end = number
            self._recorded_event.set()

    def acknowledged_end(self, instance: instance_state.Instance) -> int:
        """Returns the number of the last run end that the instance may forget.

        Each incarnation of an instance numbers its ends from 1. With a number
        of the previous incarnation, the instance would forget ends that were
        never written, and their tasks would run again.
        """
        return (
            self._recorded_end
            if instance.incarnation == self._recorded_incarnation
            else 0
        )

    def run_until_gone(self) -> None:
        """Renews the instance's lease until it is gone or the term ends."""
        failures = 0
        while not self._context.writer.is_term_over:
            instance = self._scheduler.instances.get(self._name)
            if instance is None:
                return
            if not self._scheduler.should_poll(self._name):
                # Either only rows of an earlier owner mention the instance, for
                # example because its registration expired in an outage; it may
                # register again. Or its service is not configured (yet).
                self._clock.sleep(RETRY_PAUSE_S)
                continue
            if self._context.fences.token(instance) is None:
                self._clock.sleep(RETRY_PAUSE_S)
                continue
            self._await_recorded_ends(instance)
            answered = self._renew_lease(instance, failures > 0)
            failures = 0 if answered else failures + 1
            if answered:
                self._clock.sleep(BATCH_PAUSE_S)
                continue
            if failures >= SILENT_AFTER_CALLS:
                self._scheduler.mark_unresponsive(
                    self._name, self._clock.monotonic()
                )
            self._clock.sleep(RETRY_PAUSE_S)

    def _await_recorded_ends(self, instance: instance_state.Instance) -> None:
        """Waits until reported ends are written, up to RECORD_WAIT_S.

        An instance with an unacknowledged end answers a renewal at once, so
        an earlier call would only report the same end again.
        """
        self._recorded_event.clear()
        if instance.last_end_number > self.acknowledged_end(instance):
            self._recorded_event.wait(MAX_RECORD_WAIT_S)

    def _renew_lease(
        self, instance: instance_state.Instance, again: bool
    ) -> bool:
        """Renews the instance's lease and handles its status report.

        The call is a long poll: the instance delays its answer until a task
        ends.

        Args:
            instance: the instance.
            again: the previous call got no answer.

        Returns:
            Whether the instance sent a status report.
        """
        began_at = self._clock.monotonic()
        token = self._context.fences.token(instance)
        if token is None:
            return False
        incarnation = instance.incarnation
        wait_s = 0.0
        if instance.has_reported and not instance.is_unresponsive and not again:
            wait_s = BUSY_POLL_S if instance.runs else IDLE_POLL_S
            if instance.has_isolated_run:
                # Other starts on this instance wait until a report shows that
                # the isolated task does not crash it.
                wait_s = crash_evidence.MIN_REQUIRED_RUN_TIME_S
            if (
                instance.last_end_number > self.acknowledged_end(instance)
                or not instance.has_listed_former_ends
            ):
                wait_s = 0.0
        deadline_ms = self._deadline_ms(instance, began_at)
        # After an unanswered call, the instance may have crashed. The next
        # answer may come from an incarnation that has not reported any end.
        acknowledged_end = 0 if again else self.acknowledged_end(instance)

        def renew() -> fleet.RenewalOutcome:
            return self._context.upstreams.renew_lease(
                instance.registration,
                token,
                acknowledged_end,
                deadline_ms,
                wait_s,
                RETRY_TIMEOUT_S if again else wait_s + ANSWER_MARGIN_S,
                again,
            )

        if deadline_ms is None:
            outcome = renew()
        else:
            outcome = self._call_extending_lease(instance, began_at, renew)
        now = self._clock.monotonic()
        if isinstance(outcome, fleet.StatusReport):
            self._scheduler.handle_status_report(
                self._name, outcome, began_at, now, incarnation
            )
            self._context.wake_planner.set()
            return True
        if isinstance(outcome, fleet.NoAnswer) and not again:
            logs.warning(
                "instance {} sent no status report: {}",
                self._name,
                outcome.reason,
            )
        self._scheduler.handle_unanswered_call(self._name, began_at)
        self._handle_rejection(outcome, token, now)
        return False

    def _deadline_ms(
        self, instance: instance_state.Instance, now: float
    ) -> int | None:
        """Returns the new lease deadline by the instance's clock.

        Returns:
            Milliseconds, or None if the lease must not be extended: the
            instance's clock is unknown before its first answer, or this
            process last confirmed its ownership too long ago.
        """
        since_confirmed_s = now - self._context.writer.last_write_sent_at
        if (
            not instance.has_reported
            or since_confirmed_s > lease_times.RENEWAL_AFTER_LAST_WRITE_S
        ):
            return None
        return math.floor(
            instance.estimated_clock_ms(now) + lease_times.RUN_LEASE_S * 1000
        )

    def _call_extending_lease(
        self,
        instance: instance_state.Instance,
        now: float,
        call: Callable[[], _Outcome],
    ) -> _Outcome:
        """Makes a call that may extend the lease of the instance's runs.

        The lease counts as extended during the call, and afterwards only if
        any byte of the call may have been sent. Otherwise the lease of an
        instance behind a network partition would never expire: the owner tries
        to renew it twice a second, and its tasks would wait until the partition
        heals.
        """
        until = lease_times.lease_expiry(now)
        may_have_been_sent = True
        instance.begin_lease_renewal(until)
        try:
            outcome = call()
            certainly_unsent = (
                isinstance(outcome, fleet.NoAnswer)
                and not outcome.may_take_effect
            )
            may_have_been_sent = not certainly_unsent
            return outcome
        finally:
            instance.end_lease_renewal(until, may_have_been_sent)

    def _handle_rejection(
        self,
        outcome: fleet.RenewalOutcome | fleet.OrderOutcome,
        token: int,
        now: float,
    ) -> None:
        """Handles a refused call that concerns the instance or the term.

        Removes the instance if another one answered at its address. Ends the
        term if the instance refused the call because it has seen a higher
        fencing token than any that this owner sent it: a later owner exists.

        Args:
            outcome: the outcome of the call.
            token: the fencing token of the call.
            now: monotonic seconds.
        """
        if isinstance(outcome, fleet.InstanceReplaced):
            self._scheduler.remove_instance(
                self._name, now, "another instance answers at its address"
            )
            self._context.wake_planner.set()
        elif fleet.is_fenced(outcome) and self._context.fences.is_newest(
            self._name, token
        ):
            logs.warning(
                "instance {} has seen a higher fencing token; ending the term",
                self._name,
            )
            self._context.writer.end_term()
            self._context.wake_planner.set()

    def send_start(self, order: term_state.StartOrder) -> None:
        """Sends a recorded start in its own greenlet."""
        gevent.spawn(self._send_start, order)

    def _send_start(self, order: term_state.StartOrder) -> None:
        with self._start_slots:
            self._send_start_until_settled(order)
        self._context.wake_planner.set()

    def _send_start_until_settled(self, order: term_state.StartOrder) -> None:
        """Sends a start, repeatedly if unanswered, until its outcome is known.

        Stops early if the start is no longer wanted, the instance restarted,
        or the term ends.
        """
        key = (order.task, order.run)
        sent = False
        late_refusals = 0
        attempts = 0
        first_at = self._clock.monotonic()
        incarnation = self._current_incarnation()
        while (
            not self._context.writer.is_term_over
            and self._scheduler.may_send_start(order)
        ):
            if self._current_incarnation() != incarnation:
                # The start was meant for the previous incarnation.
                return
            began_at = self._clock.monotonic()
            if attempts and self._scheduler.must_defer_resend(order):
                if not self._scheduler.handle_start_unanswered(
                    self._name, key, sent, began_at, first_at
                ):
                    return
                self._clock.sleep(RETRY_PAUSE_S)
                continue
            instance = self._scheduler.instances.get(self._name)
            if instance is None:
                return
            token = self._context.fences.token(instance)
            if token is None:
                self._clock.sleep(RETRY_PAUSE_S)
                continue
            outcome = self._start_once(instance, order, token, attempts > 0)
            now = self._clock.monotonic()
            attempts += 1
            if isinstance(outcome, fleet.Accepted):
                self._scheduler.handle_start_accepted(
                    self._name, key, outcome.clock_ms, now
                )
                return
            if isinstance(outcome, fleet.NoAnswer):
                sent = sent or outcome.may_take_effect
                self._scheduler.handle_unanswered_call(self._name, began_at)
                if not self._scheduler.handle_start_unanswered(
                    self._name, key, sent, now, first_at
                ):
                    return
                self._clock.sleep(RETRY_PAUSE_S)
                continue
            self._handle_rejection(outcome, token, now)
            if not isinstance(outcome, fleet.Refused):
                return
            late_refusals += (
                outcome.reason is fleet.RefusalReason.DEADLINE_PASSED
            )
            if (
                outcome.reason is fleet.RefusalReason.DEADLINE_PASSED
                and late_refusals <= MAX_LATE_RETRIES
            ):
                continue
            if not self._scheduler.handle_start_refused(
                self._name, key, outcome.reason, not sent, now
            ):
                return
            self._clock.sleep(RETRY_PAUSE_S)

    def _current_incarnation(self) -> int:
        """Returns the number of the instance's incarnation; 0 if it is gone."""
        instance = self._scheduler.instances.get(self._name)
        return instance.incarnation if instance is not None else 0

    def _start_once(
        self,
        instance: instance_state.Instance,
        order: term_state.StartOrder,
        token: int,
        new_connection: bool,
    ) -> fleet.OrderOutcome:
        """Sends one copy of a start.

        Args:
            instance: the instance.
            order: the start.
            token: the fencing token.
            new_connection: whether to use a new connection.
        """
        now = self._clock.monotonic()
        deadline = math.floor(
            instance.estimated_clock_ms(now) + lease_times.RUN_LEASE_S * 1000
        )
        start = fleet.StartRequest(
            order.task,
            order.run,
            order.spec,
            order.checkpoint,
            token,
            deadline,
            order.ticket,
        )
        return self._call_extending_lease(
            instance,
            now,
            lambda: self._context.upstreams.start(
                instance.registration, start, SEND_TIMEOUT_S, new_connection
            ),
        )

    def send_pace(self, pace: pacing.PaceOrder) -> None:
        """Sends a throttle order once, in its own greenlet.

        If it is lost, the next status reports lead to the same decision again.
        """
        gevent.spawn(self._send_pace, pace)

    def _send_pace(self, pace: pacing.PaceOrder) -> None:
        instance = self._scheduler.instances.get(self._name)
        token = self._context.fences.token(instance) if instance else None
        if instance is None or token is None:
            return
        outcome = self._context.upstreams.set_pace(
            instance.registration,
            pace.run.task,
            pace.run.run,
            pace.percent,
            token,
        )
        if isinstance(outcome, fleet.Accepted):
            pace.run.pace = pace.percent
        else:
            self._handle_rejection(outcome, token, self._clock.monotonic())

    def send_stop(self, order: term_state.StopOrder) -> None:
        """Sends a stop once, in its own greenlet."""
        gevent.spawn(self._send_stop, order)

    def _send_stop(self, order: term_state.StopOrder) -> None:
        instance = self._scheduler.instances.get(self._name)
        if instance is None or not instance.registration.address:
            return
        if not self._scheduler.may_send_stop(order, self._clock.monotonic()):
            return
        token = self._context.fences.token(instance)
        if token is None:
            # Sent again by ``resend_stops``, or when the run is listed again.
            return
        outcome = self._context.upstreams.stop(
            instance.registration,
            order.task,
            order.run,
            token,
            SEND_TIMEOUT_S,
        )
        now = self._clock.monotonic()
        is_accepted = isinstance(outcome, fleet.Accepted)
        is_stale_run = (
            isinstance(outcome, fleet.Refused)
            and outcome.reason is fleet.RefusalReason.STALE_RUN
        )
        if is_accepted or is_stale_run:
            self._scheduler.handle_stop_accepted(
                self._name, (order.task, order.run), now
            )
        else:
            self._handle_rejection(outcome, token, now)
