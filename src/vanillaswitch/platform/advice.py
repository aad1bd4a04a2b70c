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
    """Decodes an answer: "good" lists rows of instance and ticket."""
    if "good" not in body:
        return fleet.NoAnswer(False, "the response names no instances")
    rows = body["good"]
    validity_ms = validation.finite_float(body.get("validity_ms", 0.0))
    if validity_ms is None or not isinstance(rows, list):
        return fleet.NoAnswer(False, "the response is invalid")
    if not all(map(_names_instance_and_ticket, rows)):
        return fleet.NoAnswer(False, "the response is invalid")
    tickets = {name: ticket for name, ticket, *_ in rows}
    return fleet.Tickets(tickets, validity_ms / 1000)


def _names_instance_and_ticket(raw: Any) -> bool:
    return (
        isinstance(raw, list)
        and len(raw) >= 2
        and all(isinstance(item, str) for item in raw[:2])
    )
