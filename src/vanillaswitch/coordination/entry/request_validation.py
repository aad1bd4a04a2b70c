"""Validates incoming requests against the configuration in force.

Requests are validated before anything is sent, so refusals here mean "not run".
The exception is a key whose claim may have been deleted already: the outcome of
an earlier attempt is unknown then.
"""

from collections.abc import Mapping
import dataclasses
import urllib.parse

from vanillaswitch.coordination.once import claim_expiry
from vanillaswitch.coordination.once import claim_rules
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib

MAX_TIMEOUT_MS = 600_000
MAX_NAME_LENGTH = 128
MAX_KEY_LENGTH = 255
MAX_ISSUED_AHEAD_MS = 300_000

_CONTROL_HEADERS = (
    requests.HEADER_CALLER_ID,
    requests.HEADER_REQUEST_ID,
    requests.HEADER_TIMEOUT_MS,
    requests.HEADER_IDEMPOTENCY_KEY,
    requests.HEADER_ISSUED_MS,
)


def validate(
    incoming: requests.RawRequest,
    config: config_lib.Config,
    now: float,
    wall_ms: int,
) -> requests.Request | requests.Refusal:
    """Returns the validated request, or the refusal.

    Args:
        incoming: the request as received.
        config: the configuration in force.
        now: monotonic seconds.
        wall_ms: milliseconds since the Unix epoch.
    """
    control_headers = _control_headers(incoming.headers)
    if isinstance(control_headers, requests.Refusal):
        return control_headers
    route_match = _classify(incoming, config)
    if isinstance(route_match, requests.Refusal):
        return route_match
    refusal = (
        _check_body(incoming, config.policies)
        or _check_names(control_headers)
        or _check_timeout(control_headers)
    )
    if refusal:
        return refusal
    deadline = incoming.received_at + _timeout_ms(control_headers) / 1000
    if deadline <= now:
        return _refusal(504, "deadline-passed", "The deadline has passed.")
    request = requests.Request(
        request_id=control_headers[requests.HEADER_REQUEST_ID],
        caller=control_headers[requests.HEADER_CALLER_ID],
        service=route_match.service,
        request_class=route_match.request_class,
        method=incoming.method,
        target=incoming.target,
        headers=incoming.headers,
        body=incoming.body,
        deadline=deadline,
    )
    kind = config.classes[route_match.request_class].kind
    if (
        kind is config_lib.RequestKind.ONCE
        and requests.HEADER_IDEMPOTENCY_KEY in control_headers
    ):
        return _add_idempotency_key(
            request, control_headers, config.policies, wall_ms
        )
    return request


@dataclasses.dataclass(frozen=True)
class _RouteMatch:
    service: str
    request_class: str


def _refusal(status: int, code: str, detail: str) -> requests.Refusal:
    return requests.Refusal(requests.Outcome.NOT_RUN, status, code, detail)


def _control_headers(
    headers: requests.Headers,
) -> dict[str, str] | requests.Refusal:
    """Returns the control headers by name, or a refusal of repeated ones.

    If a header had two values, this process and the minion could use different
    ones: the claim could be on one key while the minion sees another.
    """
    control_names = {name.lower(): name for name in _CONTROL_HEADERS}
    found: dict[str, str] = {}
    for name, value in headers:
        control_name = control_names.get(name.lower())
        if control_name is None:
            continue
        if control_name in found:
            return _refusal(
                400, "duplicate-header", f"{control_name} is given twice."
            )
        found[control_name] = value.strip()
    return found


def _classify(
    incoming: requests.RawRequest, config: config_lib.Config
) -> _RouteMatch | requests.Refusal:
    segments = _path_segments(incoming.target)
    if segments is None:
        return _refusal(400, "bad-target", "The target's path is ambiguous.")
    service = config.services.get(segments[0]) if segments else None
    if service is None:
        return _refusal(404, "unknown-service", "There is no such service.")
    subpath = segments[1:]
    matching = [
        route for route in service.routes if _matches(route.path, subpath)
    ]
    if not matching:
        return _refusal(404, "unknown-route", "The service has no such route.")
    allowed = [route for route in matching if route.method == incoming.method]
    if not allowed:
        return _refusal(
            405, "method-not-allowed", "The route does not take this method."
        )
    longest = max(allowed, key=lambda route: len(_split_path(route.path)))
    return _RouteMatch(segments[0], longest.request_class)


def _path_segments(target: str) -> tuple[str, ...] | None:
    """Returns the decoded segments of a target's path, None if it is ambiguous.

    A minion that resolves dots or encoded slashes would see a path other than
    the one classified here. A request that must not run twice could then pass
    as an idempotent one and be sent twice. So such paths are refused, not
    resolved.
    """
    path = target.partition("?")[0]
    if not path.startswith("/") or "#" in path:
        return None
    encoded = path[1:].split("/")
    if encoded[-1] == "":
        encoded.pop()
    decoded = tuple(urllib.parse.unquote(segment) for segment in encoded)
    if any(_is_ambiguous(segment) for segment in decoded):
        return None
    return decoded


def _is_ambiguous(segment: str) -> bool:
    return (
        segment in ("", ".", "..")
        or any(character in segment for character in "/\\%")
        or not segment.isprintable()
    )


def _split_path(path: str) -> tuple[str, ...]:
    return tuple(segment for segment in path.split("/") if segment)


def _matches(prefix: str, subpath: tuple[str, ...]) -> bool:
    prefix_segments = _split_path(prefix)
    return subpath[: len(prefix_segments)] == prefix_segments


def _check_body(
    incoming: requests.RawRequest, policies: config_lib.Policies
) -> requests.Refusal | None:
    if len(incoming.body) <= policies.max_body_bytes:
        return None
    return _refusal(
        413,
        "body-too-large",
        f"The body is longer than {policies.max_body_bytes} bytes.",
    )


def _check_names(control_headers: Mapping[str, str]) -> requests.Refusal | None:
    for header in (requests.HEADER_CALLER_ID, requests.HEADER_REQUEST_ID):
        if not _is_printable_ascii(
            control_headers.get(header, ""), MAX_NAME_LENGTH
        ):
            return _refusal(
                400,
                f"missing-{header.lower()}",
                f"{header} must have 1 to {MAX_NAME_LENGTH} characters.",
            )
    return None


def _is_printable_ascii(value: str, max_length: int) -> bool:
    return (
        0 < len(value) <= max_length and value.isascii() and value.isprintable()
    )


def _parse_number(value: str) -> int | None:
    if value.isascii() and value.isdigit() and len(value) <= 15:
        return int(value)
    return None


def _timeout_ms(control_headers: Mapping[str, str]) -> int:
    return (
        _parse_number(control_headers.get(requests.HEADER_TIMEOUT_MS, "")) or 0
    )


def _check_timeout(
    control_headers: Mapping[str, str],
) -> requests.Refusal | None:
    if 1 <= _timeout_ms(control_headers) <= MAX_TIMEOUT_MS:
        return None
    return _refusal(
        400,
        "missing-deadline",
        f"{requests.HEADER_TIMEOUT_MS} must be 1 to {MAX_TIMEOUT_MS}.",
    )


def _add_idempotency_key(
    request: requests.Request,
    control_headers: Mapping[str, str],
    policies: config_lib.Policies,
    wall_ms: int,
) -> requests.Request | requests.Refusal:
    """Returns the request with its key and time of issue, or the refusal.

    Claims are kept for ``claim_retention_s``. A request issued earlier may
    have run under a claim that has been deleted, so another run could be a
    second one. A request issued in the future is refused too, because its
    claim would be deleted too early.
    """
    key = control_headers[requests.HEADER_IDEMPOTENCY_KEY]
    if not _is_printable_ascii(key, MAX_KEY_LENGTH):
        return _refusal(
            400,
            "bad-key",
            f"{requests.HEADER_IDEMPOTENCY_KEY} must have 1 to "
            f"{MAX_KEY_LENGTH} characters.",
        )
    issued_ms = _parse_number(
        control_headers.get(requests.HEADER_ISSUED_MS, "")
    )
    if issued_ms is None:
        return _refusal(
            400,
            "missing-issued",
            f"{requests.HEADER_ISSUED_MS} is required with a key.",
        )
    if claim_expiry.is_too_old(issued_ms, wall_ms, policies.claim_retention_s):
        return claim_rules.TOO_OLD
    if issued_ms > wall_ms + MAX_ISSUED_AHEAD_MS:
        return _refusal(
            422, "issued-ahead", "The time of issue lies in the future."
        )
    return dataclasses.replace(
        request, idempotency_key=key, issued_ms=issued_ms
    )
