"""Tests whether a request is sent again."""

import hypothesis
from hypothesis import strategies as st

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import retry
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.state import config

_IDEMPOTENT, _ONCE = config.RequestKind
_OUTCOMES = st.one_of(
    st.builds(minions.NotSent, st.just("refused")),
    st.builds(minions.AnswerLost, st.just("reset"), st.booleans()),
    st.builds(
        lambda status: minions.Answered(requests.Answer(status, (), b"")),
        st.sampled_from((200, 500, 503)),
    ),
)


@hypothesis.given(st.lists(_OUTCOMES, min_size=1, max_size=6))
def test_a_request_that_must_not_run_twice_has_one_possible_run(outcomes):
    attempts = retry.AttemptState()
    possible_runs = 0
    for outcome in outcomes:
        if not retry.may_retry(_ONCE, attempts, 1.0):
            break
        result = retry.effect_of(outcome, (503,))
        assert attempts.with_attempt_started().may_have_run
        attempts = attempts.with_attempt_started().with_attempt_ended(
            attempts, result
        )
        possible_runs += result is not retry.AttemptEffect.NOT_RUN
    assert possible_runs <= 1
    assert attempts.may_have_run == (possible_runs == 1)
    assert attempts.count <= retry.MAX_ATTEMPTS
    assert not retry.may_retry(_IDEMPOTENT, attempts, time_left_s=0)


@hypothesis.given(st.lists(st.booleans(), max_size=300))
def test_retries_stay_within_the_burst_and_a_share_of_first_attempts(events):
    budget = retry.RetryBudget()
    first_attempts = retries = 0
    for is_first in events:
        if is_first:
            budget.credit_first_attempt(0.1)
            first_attempts += 1
        else:
            retries += budget.try_take()
    assert retries <= retry.BUDGET_BURST + 0.1 * first_attempts + 1e-6


@hypothesis.given(st.floats(0.001, 600), st.booleans())
def test_an_attempt_ends_by_the_deadline_and_leaves_time_for_a_retry(
    time_left_s, can_retry
):
    service = request_path_harness.make_config().services["berthing"]
    assert (
        retry.attempt_timeout_s(_ONCE, service, time_left_s, can_retry)
        == time_left_s
    )
    timeout = retry.attempt_timeout_s(
        _IDEMPOTENT, service, time_left_s, can_retry
    )
    assert 0 < timeout <= min(1.0, time_left_s)
    if can_retry:
        assert timeout <= time_left_s / 2


def test_only_consecutive_failures_make_a_minion_suspect_for_a_short_time():
    suspicion = retry.MinionFailures()
    for _ in range(retry.FAILURES_TO_SUSPECT - 1):
        suspicion.record_failure("m0", 0)
    suspicion.record_answer("m0")
    for _ in range(retry.FAILURES_TO_SUSPECT):
        assert not suspicion.suspected_instances(0)
        suspicion.record_failure("m0", 0)
    assert suspicion.suspected_instances(0) == {"m0"}
    assert not suspicion.suspected_instances(retry.SUSPECT_BACKOFF_S)
