"""Interface to claims, which run a non-idempotent request at most once."""

import dataclasses
from typing import Protocol

from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class ClaimGranted:
    """The request is claimed for this process, which may send it once.

    Attributes:
        claim_id: id of the claim, to pass to the call that closes it.
    """

    claim_id: str


@dataclasses.dataclass(frozen=True)
class Replay:
    """The request already ran under the same key; this is its answer."""

    answer: requests.Answer


class ClaimService(Protocol):
    """Claims requests by their idempotency keys.

    The caller closes each claim that ``begin`` makes with exactly one call of
    ``release``, ``complete`` or ``mark_unknown``.
    """

    def begin(
        self, request: requests.Request
    ) -> ClaimGranted | Replay | requests.Refusal:
        """Claims a request, or returns the known result for its key."""

    def release(self, ticket: str) -> None:
        """Releases a claim whose request certainly never ran.

        Call it before the caller is told "not run".
        """

    def complete(self, ticket: str, answer: requests.Answer) -> None:
        """Stores the complete answer with the claim."""

    def mark_unknown(self, ticket: str) -> None:
        """Records that the request was sent and its outcome is unknown."""
