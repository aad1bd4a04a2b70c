"""Many attempts fail and are retried at the same time."""

import gevent
import hypothesis
from hypothesis import strategies as st

from tests.common import request_path_harness
from vanillaswitch.coordination.entry import retry
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests

_RETRY_RATIO = 0.1
_OUTCOMES = st.sampled_from(
    (
        None,
        minions.NotSent("refused"),
        minions.AnswerLost("reset", timed_out=False),
        minions.AnswerLost("no answer", timed_out=True),
        minions.Answered(requests.Answer(503, (), b"")),
    )
)


@hypothesis.given(
    st.lists(_OUTCOMES, min_size=1, max_size=4),
    st.lists(_OUTCOMES, max_size=40),
    st.integers(1, 120),
)
@hypothesis.settings(max_examples=30, deadline=None)
def test_retries_add_at_most_a_tenth_to_the_load_plus_the_burst(
    repeated, prefix, count
):
    """Guards against an outage that retries prolong.

    Minions refuse, reset, decline or do not answer, in any pattern that
    repeats. If each request were sent three times, three times the load would
    keep the minions overloaded after the cause is gone.
    """
    outcomes = [*prefix, *repeated * (count // len(repeated) + 1)]
    sent_count = 0

    def answer(_minion, request, _timeout):
        nonlocal sent_count
        outcome = outcomes[min(sent_count, len(outcomes) - 1)]
        sent_count += 1
        return outcome or request_path_harness.echo_answer(request)

    with request_path_harness.run_request_path(answer) as rig:
        for number in range(count):
            task = gevent.spawn(rig.handle, request_id=f"r{number}")
            # The request may wait until a suspected minion is probed again.
            while not task.ready():
                gevent.sleep(0)
                rig.clock.advance(0.01)
                rig.refresh()
            task.get()
        first_attempts = rig.metrics.counters.get(
            "attempts"
        ) - rig.metrics.counters.get("retries")
        assert sent_count == rig.metrics.counters.get("attempts")
        assert first_attempts <= count
        assert (
            sent_count - first_attempts
            <= retry.BUDGET_BURST + _RETRY_RATIO * first_attempts
        )


@hypothesis.given(
    st.lists(st.booleans(), max_size=200), st.data(), st.floats(0, 0.1)
)
def test_the_retry_limit_holds_for_a_storm_that_starts_at_any_time(
    events, data, ratio
):
    """Tokens saved before the storm add no more than the burst."""
    budget = retry.RetryBudget()
    storm_start = data.draw(st.integers(0, len(events)))
    first_attempts = retries = 0
    for number, is_first in enumerate(events):
        if is_first:
            budget.credit_first_attempt(ratio)
        taken = not is_first and budget.try_take()
        if number >= storm_start:
            first_attempts += is_first
            retries += taken
    assert retries <= retry.BUDGET_BURST + ratio * first_attempts + 1e-6
