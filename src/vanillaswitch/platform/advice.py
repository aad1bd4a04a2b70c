"""Client of the placement advisor, which grants tickets to run a step."""

from collections.abc import Mapping
from collections.abc import Sequence
from typing import Any

from vanillaswitch.platform import http_calls
from vanillaswitch.platform import validation
from vanillaswitch.protocol import fleet
from vanillaswitch.transport import plain_http

_OK = 200
_TOO_MANY_REQUESTS = 429


class HttpAdvisor:
    """Implements ``fleet.Advisor``."""

    def __init__(self, client: plain_http.PlainClient, address: str):
        self._client = client
        self._address = address

    def request_tickets(
        self,
        step: str,
        instances: Sequence[str],
        timeout_s: float,
        new_connection: bool,
    ) -> fleet.AdviceOutcome:
        """Requests tickets; see ``fleet.Advisor``."""
        if not self._address:
            return fleet.NoAnswer(False, "the settings name no advice service")
        # The platform calls instances "workers".
        body = {"step": step, "workers": list(instances)}
        response = http_calls.call(
            self._client,
            self._address,
            "POST",
            "/-/advise",
            body,
            timeout_s=timeout_s,
            fresh=new_connection,
        )
        if isinstance(response, http_calls.NoResponse):
            return fleet.NoAnswer(response.sent, response.reason)
        if response.status == _TOO_MANY_REQUESTS:
            return fleet.AdvisorOverloaded()
        if response.status != _OK:
            return fleet.NoAnswer(False, f"status {response.status}")
        return _decode_tickets(response.body)


def _decode_tickets(
    body: Mapping[str, Any],
) -> fleet.Tickets | fleet.NoAnswer:
    """Decodes an answer: "good" lists pairs of an instance and its ticket."""
    if "good" not in body:
        return fleet.NoAnswer(False, "the response names no instances")
    pairs = body["good"]
    validity_ms = validation.finite_float(body.get("validity_ms", 0.0))
    if validity_ms is None or not isinstance(pairs, list):
        return fleet.NoAnswer(False, "the response is invalid")
    if not all(map(_is_pair_of_strings, pairs)):
        return fleet.NoAnswer(False, "the response is invalid")
    return fleet.Tickets(dict(pairs), validity_ms / 1000)


def _is_pair_of_strings(raw: Any) -> bool:
    is_pair = isinstance(raw, list) and len(raw) == 2
    return is_pair and all(isinstance(item, str) for item in raw)
