"""One call of the platform's HTTP interfaces and its JSON answer."""

from collections.abc import Mapping
import dataclasses
import json
from typing import Any

from vanillaswitch.platform import checked
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import plain_http


@dataclasses.dataclass(frozen=True)
class Reply:
    """A whole answer.

    Attributes:
        body: its JSON object; empty when it had none.
    """

    status: int
    body: Mapping[str, Any]


@dataclasses.dataclass(frozen=True)
class NoReply:
    """No whole answer came.

    Attributes:
        sent: whether any byte of the call left.
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
) -> Reply | NoReply:
    """Sends one call once and decodes what comes back."""
    data = b"" if body is None else json.dumps(body).encode()
    sent = client.call(address, method, target, data, headers, timeout_s, fresh)
    if isinstance(sent, minions.NotSent):
        return NoReply(False, sent.reason)
    if isinstance(sent, minions.Lost):
        return NoReply(True, sent.reason)
    try:
        decoded = checked.decode(sent.answer.body) if sent.answer.body else {}
    except ValueError:
        decoded = {}
    if not isinstance(decoded, dict):
        decoded = {}
    return Reply(sent.answer.status, decoded)
