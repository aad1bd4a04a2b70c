"""Tests the validation of incoming requests."""

import dataclasses

import hypothesis
from hypothesis import strategies as st
import pytest

from tests.common import clocks
from tests.common import request_path_harness
from vanillaswitch.coordination.entry import request_validation
from vanillaswitch.protocol import requests

_CLOCK = clocks.ManualClock()
_WALL_MS = int(_CLOCK.wall() * 1000)


def _validate(
    incoming: requests.RawRequest,
) -> requests.Request | requests.Refusal:
    return request_validation.validate(
        incoming,
        request_path_harness.make_config(),
        _CLOCK.monotonic(),
        _WALL_MS,
    )


def _refusal_code(incoming: requests.RawRequest) -> str:
    validated = _validate(incoming)
    assert isinstance(validated, requests.Refusal)
    assert validated.outcome is requests.Outcome.NOT_RUN
    return validated.code


def _with_header(
    incoming: requests.RawRequest, name: str, value: str | None
) -> requests.RawRequest:
    kept = tuple(pair for pair in incoming.headers if pair[0] != name)
    added = () if value is None else ((name, value),)
    return dataclasses.replace(incoming, headers=kept + added)


def test_a_request_gets_the_class_of_its_route_and_keeps_its_target():
    validated = _validate(
        request_path_harness.make_raw_request(_CLOCK, "/berthing/quote/7?a=%2F")
    )
    assert isinstance(validated, requests.Request)
    assert (validated.service, validated.request_class) == ("berthing", "quote")
    assert validated.target == "/berthing/quote/7?a=%2F"
    assert validated.deadline == _CLOCK.monotonic() + 1


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
def test_an_unknown_or_ambiguous_target_is_refused(target, method, code):
    assert (
        _refusal_code(
            request_path_harness.make_raw_request(_CLOCK, target, method)
        )
        == code
    )


@pytest.mark.parametrize(
    ("name", "value", "code"),
    [
        (requests.HEADER_CALLER_ID, None, "missing-caller-id"),
        (requests.HEADER_REQUEST_ID, "x" * 129, "missing-request-id"),
        (requests.HEADER_TIMEOUT_MS, None, "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "0", "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "600001", "missing-deadline"),
        (requests.HEADER_TIMEOUT_MS, "1e3", "missing-deadline"),
        (requests.HEADER_IDEMPOTENCY_KEY, "", "bad-key"),
        (requests.HEADER_ISSUED_MS, None, "missing-issued"),
        (requests.HEADER_ISSUED_MS, str(_WALL_MS + 300_001), "issued-ahead"),
    ],
)
def test_a_missing_or_invalid_header_is_refused(name, value, code):
    charge = request_path_harness.make_raw_request(
        _CLOCK, request_path_harness.CHARGE, "POST", key="k"
    )
    assert isinstance(_validate(charge), requests.Request)
    assert _refusal_code(_with_header(charge, name, value)) == code


def test_an_expired_key_has_an_unknown_outcome():
    """Guards against a second charge after a wrong "not run".

    A charge ran under its key, and its claim was deleted after the retention
    time. A later request with the key is not run, but whether the first one ran
    is unknown. If it were reported as "not run", the caller would charge again.
    """
    charge = request_path_harness.make_raw_request(
        _CLOCK, request_path_harness.CHARGE, "POST", key="k"
    )
    old = str(_WALL_MS - 86_400_001)
    refusal = _validate(_with_header(charge, requests.HEADER_ISSUED_MS, old))
    assert isinstance(refusal, requests.Refusal)
    assert refusal.outcome is requests.Outcome.UNKNOWN
    assert refusal.retry_after_s is None


@hypothesis.given(
    st.sampled_from(
        request_path_harness.make_raw_request(_CLOCK, key="k").headers
    ),
    st.text("abc123", max_size=3),
    st.booleans(),
)
def test_a_repeated_control_header_is_refused(first, value, lower):
    charge = request_path_harness.make_raw_request(
        _CLOCK, request_path_harness.CHARGE, "POST", key="k"
    )
    second = (first[0].lower() if lower else first[0], value)
    repeated = dataclasses.replace(charge, headers=(*charge.headers, second))
    assert _refusal_code(repeated) == "duplicate-header"


def test_a_request_past_its_deadline_is_refused():
    late = dataclasses.replace(
        request_path_harness.make_raw_request(_CLOCK), received_at=0.0
    )
    assert _refusal_code(late) == "deadline-passed"


def test_a_too_large_body_is_refused():
    large = dataclasses.replace(
        request_path_harness.make_raw_request(_CLOCK), body=b"x" * 1_048_577
    )
    assert _refusal_code(large) == "body-too-large"
