"""The service that knows which instances may run a step."""

from collections.abc import Sequence

from vanillaswitch.platform import calls
from vanillaswitch.protocol import fleet
from vanillaswitch.transport import plain_http

MAX_INSTANCES = 100
"""Instances that one call may name."""

_OK = 200


class HttpAdvisor:
    """Implements ``fleet.Advisor``."""

    def __init__(self, client: plain_http.PlainClient, address: str):
        self._client = client
        self._address = address

    def ask(
        self, step: str, instances: Sequence[str], timeout_s: float
    ) -> fleet.Tickets | fleet.NoAnswer:
        """Asks for the tickets of a step, "ID.OCCURRENCE.STEP"."""
        body = {"step": step, "workers": list(instances[:MAX_INSTANCES])}
        reply = calls.call(
            self._client,
            self._address,
            "POST",
            "/-/advise",
            body,
            timeout_s=timeout_s,
        )
        if isinstance(reply, calls.NoReply):
            return fleet.NoAnswer(reply.sent, reply.reason)
        if reply.status != _OK:
            return fleet.NoAnswer(False, f"status {reply.status}")
        good = {str(row[0]): str(row[1]) for row in reply.body.get("good", ())}
        validity_s = float(reply.body.get("validity_ms", 0.0)) / 1000
        return fleet.Tickets(good, validity_s)
