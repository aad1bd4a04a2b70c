"""Whether a request is sent again."""

import hypothesis
from hypothesis import strategies as st

from tests.common import paths
from vanillaswitch.coordination.entry import retry
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.state import config

_IDEMPOTENT, _ONCE = config.RequestKind
_OUTCOMES = st.one_of(
    st.builds(minions.NotSent, st.just("refused")),
    st.builds(minions.Lost, st.just("reset"), st.booleans()),
    st.builds(
        lambda status: minions.Answered(requests.Answer(status, (), b"")),
        st.sampled_from((200, 500, 503)),
    ),
)


@hypothesis.given(st.lists(_OUTCOMES, min_size=1, max_size=6))
def test_a_request_that_may_have_run_once_may_not_be_sent_again(outcomes):
    attempts = retry.Attempts()
    risky = 0
    for outcome in outcomes:
        if not retry.may_retry(_ONCE, attempts, 1.0):
            break
        result = retry.effect(outcome, (503,))
        assert attempts.begun().may_have_run
        attempts = attempts.begun().ended(attempts, result)
        risky += result is not retry.Effect.NOT_RUN
    assert risky <= 1
    assert attempts.may_have_run == (risky == 1)
    assert attempts.count <= retry.MAX_ATTEMPTS
    assert not retry.may_retry(_IDEMPOTENT, attempts, time_left_s=0)


@hypothesis.given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_the_burst_and_a_share_of_first_attempts(events):
    budget = retry.RetryBudget()
    firsts = retries = 0
    for is_first in events:
        if is_first:
            budget.first_attempt(0.1)
            firsts += 1
        else:
            retries += budget.take()
    assert retries <= retry.BUDGET_BURST + 0.1 * firsts + 1e-6


@hypothesis.given(st.floats(0.001, 600), st.booleans())
def test_an_attempt_ends_by_the_deadline_and_leaves_time_for_another(
    left, can_retry
):
    service = paths.make_config().services["berthing"]
    assert retry.attempt_timeout_s(_ONCE, service, left, can_retry) == left
    timeout = retry.attempt_timeout_s(_IDEMPOTENT, service, left, can_retry)
    assert 0 < timeout <= min(1.0, left)
    if can_retry:
        assert timeout <= left / 2


def test_only_failures_in_a_row_make_a_minion_suspect_and_not_for_long():
    suspicion = retry.Suspicion()
    for _ in range(retry.SUSPECT_FAILURES - 1):
        suspicion.failed("m0", 0)
    suspicion.answered("m0")
    for _ in range(retry.SUSPECT_FAILURES):
        assert not suspicion.suspects(0)
        suspicion.failed("m0", 0)
    assert suspicion.suspects(0) == {"m0"}
    assert not suspicion.suspects(retry.SUSPECT_S)
