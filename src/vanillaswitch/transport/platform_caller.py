"""Calls of the platform over HTTP: a write is sent at most once.

What is known of a call is read off how far its bytes came. Before a first
byte left, a call surely had no effect; afterwards only a typed outcome in the
answer says more. A 5xx of a balancer in between says nothing.
"""

import itertools

from vanillaswitch import errors
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.transport import platform_wire as wire

IDLE_CONNECTIONS = 8
"""How many connections to the platform are kept open without work."""

_READ_ATTEMPTS = 2


class Caller:
    """Sends calls over pooled connections and types what came of them."""

    def __init__(
        self,
        client: minions.MinionClient,
        address: str,
        timeout_s: float,
    ):
        """Makes a caller.

        Args:
            client: sends one call once.
            address: "ip:port" of the platform.
            timeout_s: time limit for one attempt, as the client applies it.
        """
        self._client = client
        self._timeout_s = timeout_s
        self._ids = itertools.count()
        self._upstream = minions.Minion(
            "platform", "platform", address, "", "", 0, IDLE_CONNECTIONS
        )

    def write(self, path: str, call: object) -> wire.Outcome:
        """Sends a call once."""
        sent = self._send("POST", path, wire.encode_call(call))
        if isinstance(sent, minions.NotSent):
            return platform.Unavailable(sent.reason)
        if isinstance(sent, minions.AnswerLost):
            return platform.OutcomeUnknown(sent.reason)
        return typed(sent.answer)

    def read(self, method: str, path: str, body: bytes) -> wire.Outcome:
        """Sends a call that may come twice; no answer is Unavailable."""
        sent = self.exchange(method, path, body)
        if isinstance(sent, platform.Unavailable):
            return sent
        return _known(typed(sent))

    def exchange(
        self, method: str, path: str, body: bytes
    ) -> requests.Answer | platform.Unavailable:
        """Sends a call, and once more when the first attempt broke off.

        An attempt that ran into the time limit is not made again: the call
        as a whole would take twice the limit.
        """
        reason = ""
        for _ in range(_READ_ATTEMPTS):
            sent = self._send(method, path, body)
            if isinstance(sent, minions.Answered):
                return sent.answer
            reason = sent.reason
            if isinstance(sent, minions.NotSent) or sent.timed_out:
                break
        return platform.Unavailable(reason)

    def _send(self, method: str, path: str, body: bytes) -> minions.SendOutcome:
        request = requests.Request(
            request_id=f"platform-{next(self._ids)}",
            caller="vanillaswitch",
            service="platform",
            request_class="",
            method=method,
            target=path,
            headers=(("Content-Type", "application/json"),),
            body=body,
            deadline=0.0,
        )
        return self._client.send(
            self._upstream, request, self._timeout_s, fresh=False
        )


def typed(answer: requests.Answer) -> wire.Outcome:
    """Returns the outcome in an answer.

    Raises:
        errors.InvariantError: the platform says that a call breaks its rules,
            such as a token that came with other content before.
    """
    try:
        outcome = wire.decode_outcome(answer.body)
    except ValueError:
        return platform.OutcomeUnknown(f"status {answer.status}")
    if isinstance(outcome, wire.Refused):
        raise errors.InvariantError(outcome.reason)
    return outcome


def _known(outcome: wire.Outcome) -> wire.Outcome:
    """Turns an unknown outcome of a repeatable call into Unavailable."""
    if isinstance(outcome, platform.OutcomeUnknown):
        return platform.Unavailable(outcome.reason)
    return outcome
