"""Decides whether a request is sent again after a failed attempt."""

import dataclasses
import enum
import http

from vanillaswitch.protocol import minions
from vanillaswitch.state import config

MAX_ATTEMPTS = 3
BUDGET_BURST = 10.0

FAILURES_TO_SUSPECT = 3
"""Consecutive failures from which a minion is suspected."""

SUSPECT_BACKOFF_S = 1.0
"""Time after a failure during which a suspected minion gets no requests."""

FAILURE_EXPIRY_S = 60.0
"""Time after which recorded failures of a minion are dropped."""


class RetryBudget:
    """Token bucket that limits retries to a share of the first attempts.

    Without it, every request to a failing service is sent several times, which
    keeps the service overloaded.
    """

    def __init__(self) -> None:
        self._tokens = BUDGET_BURST

    @property
    def has_token(self) -> bool:
        """Whether there is a token for a retry."""
        return self._tokens >= 1

    def credit_first_attempt(self, ratio: float) -> None:
        """Adds ``ratio`` tokens for a first attempt, up to the burst limit."""
        self._tokens = min(BUDGET_BURST, self._tokens + ratio)

    def try_take(self) -> bool:
        """Takes a token for one retry; returns False if there is none."""
        if not self.has_token:
            return False
        self._tokens -= 1
        return True


@dataclasses.dataclass(frozen=True)
class _FailureCount:
    count: int
    last_at: float


class MinionFailures:
    """Tracks minions that refused or reset several connections in a row.

    Such minions get no requests for a short time and then only a few as probes,
    until one of these is answered. A single failure is no sufficient evidence.
    Neither is a connection on which no answer arrives, as new connections to
    the minion work.
    """

    def __init__(self) -> None:
        self._failures: dict[str, _FailureCount] = {}

    def record_failure(self, instance: str, now: float) -> None:
        """Records a refused or reset connection."""
        self._failures = {
            name: failures
            for name, failures in self._failures.items()
            if now < failures.last_at + FAILURE_EXPIRY_S
        }
        known = self._failures.get(instance, _FailureCount(0, now))
        self._failures[instance] = _FailureCount(known.count + 1, now)

    def record_answer(self, instance: str) -> None:
        """Records a complete answer, which clears the minion's failures."""
        self._failures.pop(instance, None)

    def suspected_instances(self, now: float) -> frozenset[str]:
        """Returns the instances that get no requests for now."""
        return frozenset(
            name
            for name, failures in self._failures.items()
            if failures.count >= FAILURES_TO_SUSPECT
            and now < failures.last_at + SUSPECT_BACKOFF_S
        )

    def needs_probe(self, instance: str) -> bool:
        """Whether an instance failed often and has not answered since."""
        failures = self._failures.get(instance)
        return failures is not None and failures.count >= FAILURES_TO_SUSPECT


class AttemptEffect(enum.Enum):
    """What the outcome of an attempt means for the request."""

    ANSWERED = "answered"
    NOT_RUN = "not-run"
    MAY_HAVE_RUN = "may-have-run"


def effect_of(
    outcome: minions.SendOutcome, not_run_statuses: tuple[int, ...]
) -> AttemptEffect:
    """Returns what an outcome means for the request.

    Args:
        outcome: outcome of the attempt.
        not_run_statuses: statuses by which the service says "not run".
    """
    match outcome:
        case minions.Answered(answer):
            if answer.status in not_run_statuses:
                return AttemptEffect.NOT_RUN
            return AttemptEffect.ANSWERED
        case minions.NotSent():
            return AttemptEffect.NOT_RUN
        case minions.AnswerLost():
            return AttemptEffect.MAY_HAVE_RUN


def is_minion_failure(outcome: minions.SendOutcome) -> bool:
    """Whether an outcome counts as a failure of the minion.

    A connection without any answer does not: some device between the two ends
    lost its state, and the minion answers on new connections.
    """
    match outcome:
        case minions.NotSent():
            return True
        case minions.AnswerLost(timed_out=silent):
            return not silent
        case minions.Answered():
            return False


def declines_new_requests(
    outcome: minions.SendOutcome, not_run_statuses: tuple[int, ...]
) -> bool:
    """Whether the outcome says that the minion accepts no new requests for now.

    The minion says so by status 503 (service unavailable), provided that the
    service declares this status as "not run".
    """
    return (
        isinstance(outcome, minions.Answered)
        and outcome.answer.status == http.HTTPStatus.SERVICE_UNAVAILABLE
        and outcome.answer.status in not_run_statuses
    )


@dataclasses.dataclass(frozen=True)
class AttemptState:
    """State of a request after the attempts so far.

    Attributes:
        count: number of attempts started.
        may_have_run: whether some attempt may have run or may still run.
    """

    count: int = 0
    may_have_run: bool = False

    def with_attempt_started(self) -> "AttemptState":
        """Returns the state while another attempt is in progress."""
        return AttemptState(self.count + 1, True)

    def with_attempt_ended(
        self, before: "AttemptState", result: AttemptEffect
    ) -> "AttemptState":
        """Returns the state after the attempt in progress.

        Args:
            before: the state before this attempt started.
            result: what its outcome means.
        """
        ran = before.may_have_run or result is not AttemptEffect.NOT_RUN
        return AttemptState(self.count, ran)


def may_retry(
    kind: config.RequestKind, attempts: AttemptState, time_left_s: float
) -> bool:
    """Whether one more attempt is allowed, apart from the retry budget.

    A request that must not run twice is sent again only if no attempt so far
    can have run.
    """
    if attempts.count >= MAX_ATTEMPTS or time_left_s <= 0:
        return False
    return kind is config.RequestKind.IDEMPOTENT or not attempts.may_have_run


def attempt_timeout_s(
    kind: config.RequestKind,
    service: config.Service,
    time_left_s: float,
    can_retry: bool,
) -> float:
    """Returns the timeout for the complete answer to an attempt.

    A dead connection shows only as a missing answer. An idempotent request
    therefore keeps half of its time for another attempt if one is possible.
    A request that must not run twice gains nothing from a shorter timeout, so
    it waits until its deadline.

    Args:
        kind: whether the request may run twice.
        service: the service; its attempt timeout is the upper limit.
        time_left_s: time until the deadline.
        can_retry: whether another attempt may follow this one.
    """
    if kind is config.RequestKind.ONCE:
        return time_left_s
    share = 0.5 if can_retry else 1.0
    return min(service.attempt_timeout_ms / 1000, time_left_s * share)
