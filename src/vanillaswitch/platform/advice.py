"""Client of the placement advisor, which grants tickets to run a step."""

from collections.abc import Sequence

from vanillaswitch.platform import http_calls
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
        if "good" not in response.body:
            return fleet.NoAnswer(False, "the response names no instances")
        # "good" lists pairs of an instance and its ticket.
        tickets = {
            str(pair[0]): str(pair[1]) for pair in response.body.get("good", ())
        }
        validity_s = float(response.body.get("validity_ms", 0.0)) / 1000
        return fleet.Tickets(tickets, validity_s)
