"""The calls to one instance: holding its lease, starts and stops."""

from collections.abc import Callable
import dataclasses
import math
from typing import TypeVar

import gevent
import gevent.event
import gevent.lock

from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.instances import lease_times
from vanillaswitch.coordination.fleet.instances import sparing
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.ownership import recorder as recorders
from vanillaswitch.coordination.fleet.queue import crash_evidence
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.coordination.fleet.queue import sharing
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet

BUSY_WAIT_S = 1.0
"""How long an instance with work waits for an end before it answers."""

IDLE_WAIT_S = 2.0
"""How long one without work does; the most that instances take."""

ANSWER_S = 0.8
"""How much longer than its wait an answer may take; afterwards the connection
counts as silent and the next call goes on a new one."""

AGAIN_S = 0.5
"""Limit for the call after one without an answer. It waits for no end, so a
sound instance answers in milliseconds; one that is gone is silent 1.0 s
earlier than by two full calls."""

GATHER_S = 0.015
"""Pause between two holds, in which ends gather: tasks of a step end close
together, and each call costs processor time and counts as a health check."""

RECORD_WAIT_S = 0.3
"""Longest wait for ends to be written before an instance is held again."""

START_TIMEOUT_S = sparing.ORDER_S
"""Limit for one start or stop order; it takes a few milliseconds."""

RETRY_S = 0.15
"""Pause before a call is made again."""

SILENT_AFTER = 2
"""So many calls in a row without an answer make an instance silent."""

MAX_STARTS = 4
"""Starts under way at one instance, each on a connection of its own."""

MAX_LATE = 3
"""A start that comes too late is sent again so often with a fresh lease."""


_Outcome = TypeVar("_Outcome")


@dataclasses.dataclass(frozen=True)
class Means:
    """What the calls of an owner need."""

    core: cores.Core
    upstreams: fleet.Upstreams
    recorder: recorders.Recorder
    clock: clocks.Clock
    wake: gevent.event.Event


class InstanceTask:
    """Owns the calls to one instance during one term."""

    def __init__(self, means: Means, name: str):
        self._means = means
        self._core = means.core
        self._clock = means.clock
        self._name = name
        self._life = 0
        self._recorded = 0
        self._recorded_event = gevent.event.Event()
        self._starts = gevent.lock.BoundedSemaphore(MAX_STARTS)

    def recorded(self, number: int, life: int) -> None:
        """Takes note that ends up to a number were written.

        Args:
            number: of the last end.
            life: of the instance that numbered it.
        """
        if life > self._life:
            self._life, self._recorded = life, 0
        if life == self._life and number > self._recorded:
            self._recorded = number
            self._recorded_event.set()

    def acknowledged(self, instance: rooms.Instance) -> int:
        """Returns the number up to which its instance may forget ends.

        Numbers begin anew with each life: the one of before made the next life
        forget ends that nobody had noted, and their tasks ran again.
        """
        return self._recorded if instance.life == self._life else 0

    def run(self) -> None:
        """Holds the instance until it is gone or the term is over."""
        failures = 0
        while not self._means.recorder.deposed:
            instance = self._core.instances.get(self._name)
            if instance is None:
                return
            if not self._core.holds(self._name):
                # An earlier owner's rows name it and no list does, as after
                # an outage in which its entry lapsed; it may register again.
                # Or its service is not configured, or not yet.
                self._clock.sleep(RETRY_S)
                continue
            self._await_record(instance)
            answered = self._hold(instance, failures > 0)
            failures = 0 if answered else failures + 1
            if answered:
                self._clock.sleep(GATHER_S)
                continue
            if failures >= SILENT_AFTER:
                self._core.silent(self._name, self._clock.monotonic())
            self._clock.sleep(RETRY_S)

    def _await_record(self, instance: rooms.Instance) -> None:
        """Waits for listed ends to be written.

        An instance answers at once while it lists an end that was not
        acknowledged; asking again before would only list it again.
        """
        self._recorded_event.clear()
        if instance.last_end > self.acknowledged(instance):
            self._recorded_event.wait(RECORD_WAIT_S)

    def _hold(self, instance: rooms.Instance, again: bool) -> bool:
        began = self._clock.monotonic()
        wait_s = 0.0
        if instance.adopted and not instance.silent and not again:
            wait_s = BUSY_WAIT_S if instance.runs else IDLE_WAIT_S
            if instance.apart:
                # What may start beside a suspected task waits for this answer.
                wait_s = crash_evidence.PROVEN_S
            if instance.last_end > self.acknowledged(instance):
                wait_s = 0.0
        deadline_ms = self._deadline_ms(instance, began)
        # A call without an answer may be the sign of a crash: the instance
        # that answers next may have listed nothing yet.
        seen = 0 if again else self.acknowledged(instance)

        def hold() -> fleet.HoldOutcome:
            return self._means.upstreams.hold(
                instance.registration,
                self._means.recorder.token,
                seen,
                deadline_ms,
                wait_s,
                AGAIN_S if again else wait_s + ANSWER_S,
                again,
            )

        if deadline_ms is None:
            outcome = hold()
        else:
            outcome = self._granting(instance, began, hold)
        now = self._clock.monotonic()
        if isinstance(outcome, fleet.Held):
            self._core.held(self._name, outcome, began, now)
            self._means.wake.set()
            return True
        self._core.unanswered(self._name, began)
        self._judge(outcome, now)
        return False

    def _deadline_ms(self, instance: rooms.Instance, now: float) -> int | None:
        """Returns until when what runs there may run, None to extend nothing.

        Before the first answer the instance's clock is not known.
        """
        unsure_s = now - self._means.recorder.confirmed_at
        if not instance.adopted or unsure_s > lease_times.OVERRUN_S:
            return None
        return math.floor(
            instance.clock_now_ms(now) + lease_times.HOLD_S * 1000
        )

    def _granting(
        self,
        instance: rooms.Instance,
        now: float,
        call: Callable[[], _Outcome],
    ) -> _Outcome:
        """Makes a call that may extend the lease of what runs there.

        The lease counts as extended while the call is under way, and for good
        if any byte of it left. Counted in any case, the lease of an instance
        behind a cut never lapsed for its owner, which tries to hold it twice
        a second, and its tasks waited for as long as the cut lasted.
        """
        until = lease_times.lapses_at(now)
        left = True
        instance.begin_grant(until)
        try:
            outcome = call()
            unsent = isinstance(outcome, fleet.NoAnswer) and not outcome.sent
            left = not unsent
            return outcome
        finally:
            instance.end_grant(until, left)

    def _judge(
        self, outcome: fleet.HoldOutcome | fleet.OrderOutcome, now: float
    ) -> None:
        """Acts on an answer that tells of the instance or of this owner."""
        if isinstance(outcome, fleet.Replaced):
            self._core.gone(self._name, now, "another answers in its place")
            self._means.wake.set()
        elif fleet.is_fenced(outcome):
            logs.warning("{} has seen a higher token", self._name)
            self._means.recorder.depose()
            self._means.wake.set()

    def send_start(self, order: term_state.StartOrder) -> None:
        """Sends a recorded start in a task of its own."""
        gevent.spawn(self._send_start, order)

    def _send_start(self, order: term_state.StartOrder) -> None:
        with self._starts:
            self._start_until_known(order)
        self._means.wake.set()

    def _start_until_known(self, order: term_state.StartOrder) -> None:
        key = (order.task, order.run)
        sent = False
        late = 0
        attempts = 0
        first_at = self._clock.monotonic()
        life = self._present_life()
        while not self._means.recorder.deposed and self._core.may_send(order):
            if self._present_life() != life:
                # Decided for the instance as it was before it started again.
                return
            began = self._clock.monotonic()
            if attempts and self._core.holds_back(order):
                if not self._core.start_unanswered(
                    self._name, key, sent, began, first_at
                ):
                    return
                self._clock.sleep(RETRY_S)
                continue
            outcome = self._start_once(order, attempts > 0)
            now = self._clock.monotonic()
            attempts += 1
            if outcome is None:
                return
            if isinstance(outcome, fleet.Accepted):
                self._core.started(self._name, key, outcome.clock_ms, now)
                return
            if isinstance(outcome, fleet.NoAnswer):
                sent = sent or outcome.sent
                self._core.unanswered(self._name, began)
                if not self._core.start_unanswered(
                    self._name, key, sent, now, first_at
                ):
                    return
                self._clock.sleep(RETRY_S)
                continue
            self._judge(outcome, now)
            if not isinstance(outcome, fleet.Refused):
                return
            late += outcome.reason is fleet.Reason.LATE
            if outcome.reason is fleet.Reason.LATE and late <= MAX_LATE:
                continue
            if not self._core.start_refused(
                self._name, key, outcome.reason, not sent, now
            ):
                return
            self._clock.sleep(RETRY_S)

    def _present_life(self) -> int:
        instance = self._core.instances.get(self._name)
        return instance.life if instance is not None else 0

    def _start_once(
        self, order: term_state.StartOrder, fresh: bool
    ) -> fleet.OrderOutcome | None:
        instance = self._core.instances.get(self._name)
        if instance is None:
            return None
        now = self._clock.monotonic()
        deadline = math.floor(
            instance.clock_now_ms(now) + lease_times.HOLD_S * 1000
        )
        start = fleet.Start(
            order.task,
            order.run,
            order.spec,
            order.saved,
            self._means.recorder.token,
            deadline,
            order.ticket,
        )
        return self._granting(
            instance,
            now,
            lambda: self._means.upstreams.start(
                instance.registration, start, START_TIMEOUT_S, fresh
            ),
        )

    def send_pace(self, pace: sharing.Pace) -> None:
        """Sends a pace once in a task of its own.

        One that is lost is decided again from what the instance lists.
        """
        gevent.spawn(self._send_pace, pace)

    def _send_pace(self, pace: sharing.Pace) -> None:
        instance = self._core.instances.get(self._name)
        if instance is None:
            return
        outcome = self._means.upstreams.pace(
            instance.registration,
            pace.run.task,
            pace.run.run,
            pace.percent,
            self._means.recorder.token,
        )
        if isinstance(outcome, fleet.Accepted):
            pace.run.pace = pace.percent
        else:
            self._judge(outcome, self._clock.monotonic())

    def send_stop(self, order: term_state.StopOrder) -> None:
        """Sends a stop once in a task of its own."""
        gevent.spawn(self._send_stop, order)

    def _send_stop(self, order: term_state.StopOrder) -> None:
        instance = self._core.instances.get(self._name)
        if instance is None or not instance.registration.address:
            return
        if not self._core.may_send_stop(order, self._clock.monotonic()):
            return
        outcome = self._means.upstreams.stop(
            instance.registration,
            order.task,
            order.run,
            self._means.recorder.token,
            START_TIMEOUT_S,
        )
        now = self._clock.monotonic()
        accepted = isinstance(outcome, fleet.Accepted)
        old = (
            isinstance(outcome, fleet.Refused)
            and outcome.reason is fleet.Reason.OLD
        )
        if accepted or old:
            self._core.stopped(self._name, (order.task, order.run), now)
        else:
            self._judge(outcome, now)
