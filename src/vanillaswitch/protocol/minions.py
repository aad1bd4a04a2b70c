"""The interface to minions: one attempt to send one request."""

import dataclasses
from typing import Protocol

from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class Minion:
    """A minion that may be sent work.

    Attributes:
        instance: its name in the platform's list.
        address: "ip:port".
        slots: how many requests it works on at once, from all entries.
        connections: how many connections it accepts, from all entries.
    """

    instance: str
    service: str
    address: str
    data_centre: str
    rack: str
    slots: int
    connections: int


@dataclasses.dataclass(frozen=True)
class Answered:
    """The whole answer came back, its length checked."""

    answer: requests.Answer


@dataclasses.dataclass(frozen=True)
class NotSent:
    """No byte of the request left this process: trying elsewhere is safe."""

    reason: str


@dataclasses.dataclass(frozen=True)
class Lost:
    """Bytes were sent and no whole answer came: it may have run.

    Attributes:
        silent: no byte came back at all (a connection that went silent), as
            against a reset or an answer that was cut.
    """

    reason: str
    silent: bool


SendOutcome = Answered | NotSent | Lost


class MinionClient(Protocol):
    """Sends requests to minions; never sends one a second time by itself."""

    def send(
        self,
        minion: Minion,
        request: requests.Request,
        timeout_s: float,
        fresh: bool,
    ) -> SendOutcome:
        """Sends one request once.

        Args:
            minion: where to.
            request: what to send.
            timeout_s: how long to wait for the whole answer.
            fresh: use a new connection rather than a pooled one.
        """
