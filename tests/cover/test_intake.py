"""Checks of incoming requests."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.common import clocks
from tests.common import paths
from vanillaswitch.coordination.entry import intake
from vanillaswitch.protocol import requests

_CLOCK = clocks.ManualClock()
_WALL_MS = int(_CLOCK.wall() * 1000)


def _check(incoming: requests.Incoming) -> requests.Request | requests.Refusal:
    return intake.validate(
        incoming, paths.make_config(), _CLOCK.monotonic(), _WALL_MS
    )


def _code(incoming: requests.Incoming) -> str:
    checked = _check(incoming)
    assert isinstance(checked, requests.Refusal)
    assert checked.outcome is requests.Outcome.NOT_RUN
    return checked.code


def _with_header(
    incoming: requests.Incoming, name: str, value: str | None
) -> requests.Incoming:
    kept = tuple(pair for pair in incoming.headers if pair[0] != name)
    added = () if value is None else ((name, value),)
    return dataclasses.replace(incoming, headers=kept + added)


def test_a_request_gets_the_class_of_its_route_and_keeps_its_target():
    checked = _check(paths.incoming(_CLOCK, "/berthing/quote/7?a=%2F"))
    assert isinstance(checked, requests.Request)
    assert (checked.service, checked.request_class) == ("berthing", "quote")
    assert checked.target == "/berthing/quote/7?a=%2F"
    assert checked.deadline == _CLOCK.monotonic() + 1


@pytest.mark.parametrize(
    ("target", "method", "code"),
    [
        ("/pilotage/quote", "GET", "unknown-service"),
        ("/", "GET", "unknown-service"),
        ("/berthing/quotes", "GET", "unknown-route"),
        ("/berthing/charge", "GET", "method-not-allowed"),
        ("/berthing/quote/../charge", "GET", "bad-target"),
        ("/berthing/quote/%2e%2E/charge", "GET", "bad-target"),
        ("/berthing/quote%2Fcharge", "GET", "bad-target"),
        ("/berthing//charge", "POST", "bad-target"),
        ("berthing/quote", "GET", "bad-target"),
    ],
)
def test_a_target_that_is_unknown_or_ambiguous_is_refused(target, method, code):
    assert _code(paths.incoming(_CLOCK, target, method)) == code


@pytest.mark.parametrize(
    ("name", "value", "code"),
    [
        (requests.HEADER_CALLER, None, "missing-caller-id"),
        (requests.HEADER_REQUEST, "x" * 129, "missing-request-id"),
        (requests.HEADER_TIMEOUT_MS, None, "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "0", "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "600001", "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "1e3", "missing-deadline"),
        (requests.HEADER_KEY, "", "bad-key"),
        (requests.HEADER_ISSUED_MS, None, "missing-issued"),
        (requests.HEADER_ISSUED_MS, str(_WALL_MS + 300_001), "issued-ahead"),
    ],
)
def test_a_header_that_is_missing_or_wrong_is_refused(name, value, code):
    charge = paths.incoming(_CLOCK, paths.CHARGE, "POST", key="k")
    assert isinstance(_check(charge), requests.Request)
    assert _code(_with_header(charge, name, value)) == code


def test_a_key_past_the_retention_has_an_unknown_outcome():
    """A clerk is told "not run" of last week's charge, and charges anew.

    The charge ran under its key, and the claim that showed it was deleted.
    The attempt that comes now is not run, but nobody knows of the earlier.
    """
    charge = paths.incoming(_CLOCK, paths.CHARGE, "POST", key="k")
    old = str(_WALL_MS - 86_400_001)
    refusal = _check(_with_header(charge, requests.HEADER_ISSUED_MS, old))
    assert isinstance(refusal, requests.Refusal)
    assert refusal.outcome is requests.Outcome.UNKNOWN
    assert refusal.retry_after_s is None


@hypothesis.given(
    st.sampled_from(paths.incoming(_CLOCK, key="k").headers),
    st.text("abc123", max_size=3),
    st.booleans(),
)
def test_a_second_value_of_a_header_of_ours_is_refused(first, value, lower):
    charge = paths.incoming(_CLOCK, paths.CHARGE, "POST", key="k")
    second = (first[0].lower() if lower else first[0], value)
    doubled = dataclasses.replace(charge, headers=(*charge.headers, second))
    assert _code(doubled) == "duplicate-header"


def test_a_request_whose_deadline_passed_on_the_way_is_refused():
    late = dataclasses.replace(paths.incoming(_CLOCK), received=0.0)
    assert _code(late) == "deadline-passed"


def test_a_body_that_is_too_large_is_refused():
    large = dataclasses.replace(paths.incoming(_CLOCK), body=b"x" * 1_048_577)
    assert _code(large) == "body-too-large"
