"""Interface to minions: one attempt to send one request.

A minion is an instance that handles the requests of callers. An entry is a
process that accepts these requests and forwards them to minions.
"""

import dataclasses
from typing import Protocol

from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class Minion:
    """A minion that accepts requests.

    Attributes:
        instance: name in the platform's list of instances.
        address: "ip:port".
        slots: maximum number of concurrent requests, over all entries.
        max_connections: maximum number of connections, over all entries.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    rack: str
    slots: int
    max_connections: int


@dataclasses.dataclass(frozen=True)
class Answered:
    """The complete answer arrived and its length was checked."""

    answer: requests.Answer


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request was sent: a retry elsewhere is safe."""

    reason: str


@dataclasses.dataclass(frozen=True)
class AnswerLost:
    """Bytes were sent without a complete answer: the request may have run.

    Attributes:
        timed_out: the attempt timed out without a single byte of an answer.
            False after a reset or a truncated answer.
        received: bytes of the answer that arrived, including its head.
    """

    reason: str
    timed_out: bool
    received: int = 0


SendOutcome = Answered | NotSent | AnswerLost


class MinionClient(Protocol):
    """Sends requests to minions; never retries on its own."""

    def send(
        self,
        minion: Minion,
        request: requests.Request,
        timeout_s: float,
        fresh: bool,
    ) -> SendOutcome:
        """Sends a request once.

        Args:
            minion: the minion to send to.
            request: the request to send.
            timeout_s: time limit for the attempt as a whole.
            fresh: use a new connection instead of a pooled one.
        """
