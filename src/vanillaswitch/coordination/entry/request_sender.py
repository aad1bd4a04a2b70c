"""Sends an admitted request to minions until it has a final reply."""

from collections.abc import Callable
import dataclasses

from vanillaswitch.coordination.entry import dispatch_messages
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import retry
from vanillaswitch.coordination.entry import slot_allocator
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.internal import metrics as metrics_lib
from vanillaswitch.protocol import minions as minions_lib
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib

RETRY_AFTER_S = 1.0
"""Retry delay for callers after minions failed, as opposed to a backlog."""

MAX_CATCH_UP_S = 1.0
"""Maximum wait for the fleet view to be refreshed after a pause."""


@dataclasses.dataclass(frozen=True)
class ConfiguredRequest:
    """A request and the configuration that applies to it."""

    request: requests.Request
    config: config_lib.Config

    @property
    def definition(self) -> config_lib.RequestClass:
        """Configuration of the request's class."""
        return self.config.classes[self.request.request_class]

    @property
    def service(self) -> config_lib.Service:
        """Configuration of the request's service."""
        return self.config.services[self.request.service]


class AttemptHistory:
    """State of a request's attempts, correct at every moment.

    A request's task can be killed while it waits for a minion. The code that
    cleans up afterwards reads here whether the request may have run.
    """

    def __init__(self) -> None:
        self._attempts = retry.AttemptState()

    @property
    def attempts(self) -> retry.AttemptState:
        """The attempts so far; one in progress counts as possibly run."""
        return self._attempts

    @attempts.setter
    def attempts(self, attempts: retry.AttemptState) -> None:
        self._attempts = attempts


class RequestSender:
    """Sends requests to minions and retries failed attempts."""

    def __init__(
        self,
        clock: clock_lib.Clock,
        fleet: fleet_view.FleetView,
        refresh_after_pause: Callable[[float], bool],
        client: minions_lib.MinionClient,
        counters: metrics_lib.Counters,
    ):
        """Initializes the sender.

        Args:
            clock: source of time.
            fleet: view of the fleet, checked right before each attempt.
            refresh_after_pause: refreshes the view after a pause, within
                the given number of seconds; returns whether the view is
                current.
            client: client that sends the requests.
            counters: counters of attempts and retries.
        """
        self._clock = clock
        self._fleet = fleet
        self._refresh_after_pause = refresh_after_pause
        self._client = client
        self._counters = counters
        self._retry_budgets: dict[str, retry.RetryBudget] = {}

    def deliver(
        self,
        configured: ConfiguredRequest,
        slot: dispatch_messages.SlotHandle,
        minion: minions_lib.Minion,
        history: AttemptHistory,
    ) -> requests.Reply:
        """Returns the answer, or the final refusal after the last attempt.

        Args:
            configured: the request.
            slot: handle for the request's slot.
            minion: the first minion to try.
            history: updated before and after each attempt.
        """
        excluded: frozenset[str] = frozenset()
        target: minions_lib.Minion | None = minion
        last_refusal = _NO_FREE_SLOT
        while target is not None:
            refusal = self._check_ready(configured)
            if refusal:
                return _final_refusal(refusal, configured, history)
            excluded |= {target.instance}
            if not self._fleet.is_available(target, configured.config):
                target = slot.reassign(excluded)
                continue
            outcome = self._send_attempt(configured, target, history)
            slot.record_result(_attempt_result(outcome, configured.service))
            if isinstance(outcome, minions_lib.Answered) and not _is_declined(
                outcome, configured.service
            ):
                return outcome.answer
            last_refusal = _refusal_of(outcome)
            if not self._try_take_retry(configured, history):
                break
            target = _next_target(slot, excluded, target, outcome)
        return _final_refusal(last_refusal, configured, history)

    def _check_ready(
        self, configured: ConfiguredRequest
    ) -> requests.Refusal | None:
        """Returns why no attempt may be sent now, or None if one may.

        The process may have been paused since admission: the deadline may have
        passed, and the view of the fleet may be outdated.
        """
        time_left_s = self._time_left_s(configured)
        if time_left_s > 0 and not self._fleet.check_for_pause(
            self._clock.monotonic()
        ):
            is_current = self._refresh_after_pause(
                min(time_left_s, MAX_CATCH_UP_S)
            )
            if not is_current or not self._fleet.check_for_pause(
                self._clock.monotonic()
            ):
                return _VIEW_STALE
        if self._time_left_s(configured) <= 0:
            return _DEADLINE_PASSED
        return None

    def _send_attempt(
        self,
        configured: ConfiguredRequest,
        minion: minions_lib.Minion,
        history: AttemptHistory,
    ) -> minions_lib.SendOutcome:
        budget = self._retry_budget(configured)
        before = history.attempts
        if not before.count:
            budget.credit_first_attempt(configured.config.policies.retry_ratio)
        history.attempts = before.with_attempt_started()
        self._counters.add("attempts")
        kind = configured.definition.kind
        time_left_s = self._time_left_s(configured)
        can_retry = budget.has_token and retry.may_retry(
            kind, history.attempts, time_left_s
        )
        outcome = self._client.send(
            minion,
            configured.request,
            retry.attempt_timeout_s(
                kind, configured.service, time_left_s, can_retry
            ),
            # A pooled connection may be dead or closed. A request that must
            # not run twice could then not be retried, so it gets a new
            # connection. Other requests use a new one for retries only.
            fresh=before.count > 0 or kind is config_lib.RequestKind.ONCE,
        )
        result = retry.effect_of(outcome, configured.service.not_run_statuses)
        history.attempts = history.attempts.with_attempt_ended(before, result)
        return outcome

    def _try_take_retry(
        self, configured: ConfiguredRequest, history: AttemptHistory
    ) -> bool:
        kind = configured.definition.kind
        if not retry.may_retry(
            kind, history.attempts, self._time_left_s(configured)
        ):
            return False
        if not self._retry_budget(configured).try_take():
            self._counters.add("retries.over-budget")
            return False
        self._counters.add("retries")
        return True

    def _time_left_s(self, configured: ConfiguredRequest) -> float:
        return configured.request.deadline - self._clock.monotonic()

    def _retry_budget(self, configured: ConfiguredRequest) -> retry.RetryBudget:
        return self._retry_budgets.setdefault(
            configured.request.service, retry.RetryBudget()
        )


def _next_target(
    slot: dispatch_messages.SlotHandle,
    excluded: frozenset[str],
    minion: minions_lib.Minion,
    outcome: minions_lib.SendOutcome,
) -> minions_lib.Minion | None:
    """Returns the minion to try next: another one, or the same one again.

    The same minion is tried again, over a new connection, only if it did not
    decline the request.
    """
    new_target = slot.reassign(excluded)
    if new_target is None and not isinstance(outcome, minions_lib.Answered):
        new_target = slot.reassign(excluded - {minion.instance})
    return new_target


def _is_declined(
    outcome: minions_lib.SendOutcome, service: config_lib.Service
) -> bool:
    result = retry.effect_of(outcome, service.not_run_statuses)
    is_answered = isinstance(outcome, minions_lib.Answered)
    return is_answered and result is retry.AttemptEffect.NOT_RUN


def _attempt_result(
    outcome: minions_lib.SendOutcome, service: config_lib.Service
) -> slot_allocator.AttemptResult:
    if retry.declines_new_requests(outcome, service.not_run_statuses):
        return slot_allocator.AttemptResult.DECLINED
    if isinstance(outcome, minions_lib.Answered):
        return slot_allocator.AttemptResult.ANSWERED
    if retry.is_minion_failure(outcome):
        return slot_allocator.AttemptResult.FAILED
    return slot_allocator.AttemptResult.UNKNOWN


def _not_run(status: int, code: str, detail: str) -> requests.Refusal:
    return requests.Refusal(
        requests.Outcome.NOT_RUN, status, code, detail, RETRY_AFTER_S
    )


def _unknown(status: int, code: str, detail: str) -> requests.Refusal:
    return requests.Refusal(
        requests.Outcome.UNKNOWN, status, code, detail, RETRY_AFTER_S
    )


_NO_FREE_SLOT = _not_run(503, "no-room", "No minion has a free slot.")
_VIEW_STALE = _not_run(
    503, "view-stale", "The process was paused and is not up to date yet."
)
_DEADLINE_PASSED = _not_run(504, "deadline-passed", "The deadline has passed.")


def _refusal_of(outcome: minions_lib.SendOutcome) -> requests.Refusal:
    match outcome:
        case minions_lib.Answered():
            return _not_run(503, "declined", "The minions declined it.")
        case minions_lib.NotSent():
            return _not_run(503, "unreachable", "No minion was reached.")
        case minions_lib.AnswerLost(timed_out=True):
            return _unknown(504, "no-answer", "No answer came in time.")
        case minions_lib.AnswerLost():
            return _unknown(502, "answer-lost", "The answer broke off.")


def _final_refusal(
    refusal: requests.Refusal,
    configured: ConfiguredRequest,
    history: AttemptHistory,
) -> requests.Refusal:
    """Returns a refusal that is true of all attempts, not just the last one.

    The last attempt may not have been sent while an earlier one is still
    running. Such a request must not be reported as "not run".
    """
    if history.attempts.may_have_run:
        if refusal.outcome is requests.Outcome.NOT_RUN:
            refusal = _unknown(
                504, "no-answer", "An earlier attempt may have run."
            )
        if configured.definition.kind is config_lib.RequestKind.ONCE:
            return dataclasses.replace(refusal, retry_after_s=None)
    return refusal
