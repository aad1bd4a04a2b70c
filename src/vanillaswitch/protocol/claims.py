"""The interface to claims: a non-idempotent request runs at most once."""

import dataclasses
from typing import Protocol

from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class Proceed:
    """The request is claimed for this process, which may send it once.

    Attributes:
        ticket: names the claim in the calls that settle it.
    """

    ticket: str


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request ran before under the same key; this is its answer."""

    answer: requests.Answer


class ClaimService(Protocol):
    """Claims requests by their idempotency keys.

    Each ``Proceed`` is settled by exactly one of the other methods.
    """

    def begin(
        self, request: requests.Request
    ) -> Proceed | Replay | requests.Refusal:
        """Claims a request, or says what is known of its key."""

    def release(self, ticket: str) -> None:
        """Gives up a claim whose request surely never ran.

        Called before "not run" is said to the caller.
        """

    def finish(self, ticket: str, answer: requests.Answer) -> None:
        """Keeps the whole answer with the claim."""

    def lost(self, ticket: str) -> None:
        """Records that the request was sent and its outcome is unknown."""
