"""HTTP calls to the platform with JSON bodies."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

from vanillaswitch.platform import validation
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import plain_http


@dataclasses.dataclass(frozen=True)
class JsonResponse:
    """A complete response.

    Attributes:
        body: its JSON object; empty if the response holds none.
    """

    status: int
    body: Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class NoResponse:
    """The call got no complete response.

    Attributes:
        sent: whether any byte of the request left this process.
    """

    sent: bool
    reason: str


def call(
    client: plain_http.PlainClient,
    address: str,
    method: str,
    target: str,
    body: Mapping[str, Any] | None = None,
    headers: requests.Headers = (),
    timeout_s: float = 1.0,
    fresh: bool = False,
    on_progress: minion_http.OnProgress = minion_http.ignore_progress,
) -> JsonResponse | NoResponse:
    """Sends a request once and decodes its response.

    Args:
        client: sends the request.
        address: "ip:port".
        method: HTTP method.
        target: path and query.
        body: JSON object; None for an empty body.
        headers: additional header fields.
        timeout_s: limit for the time until the response begins, and for each
            pause in it.
        fresh: use a new connection instead of a pooled one.
        on_progress: called while a response arrives in parts.
    """
    data = (
        b""
        if body is None
        else json.dumps(body, separators=(",", ":")).encode()
    )
    outcome = client.call(
        address, method, target, data, headers, timeout_s, fresh, on_progress
    )
    if isinstance(outcome, minions.NotSent):
        return NoResponse(False, outcome.reason)
    if isinstance(outcome, minions.AnswerLost):
        return NoResponse(True, _describe_loss(outcome))
    try:
        decoded = (
            validation.decode_json(outcome.answer.body)
            if outcome.answer.body
            else {}
        )
    except ValueError:
        decoded = {}
    if not isinstance(decoded, dict):
        decoded = {}
    return JsonResponse(outcome.answer.status, decoded)


def _describe_loss(lost: minions.AnswerLost) -> str:
    if not lost.received:
        return lost.reason
    return f"{lost.reason}, {lost.received} bytes of it arrived"
