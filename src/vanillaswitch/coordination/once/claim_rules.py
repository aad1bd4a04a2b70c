"""Rules for claims, as pure functions of claim rows.

The outcome of a ``Refusal`` in this module refers to the key: ``NOT_RUN``
means that no attempt under it ran at any entry, and that none will unless the
caller retries. If the table can't be read and the other entries can't confirm
that either, the outcome is ``UNKNOWN``. Retrying under the same key is always
safe.
"""

import base64
import dataclasses
import hashlib

from vanillaswitch.protocol import peers
from vanillaswitch.protocol import requests
from vanillaswitch.state import rows

RETRY_AFTER_S = 1.0

KEY_REUSED = requests.Refusal(
    requests.Outcome.NOT_RUN,
    422,
    "key-reused",
    "The idempotency key belongs to another request; use a new key.",
)
TOO_OLD = requests.Refusal(
    requests.Outcome.UNKNOWN,
    422,
    "issued-too-long-ago",
    "Claims of this age are no longer kept, so this attempt was not run and"
    " the outcome of earlier attempts is unknown.",
)
CLAIMS_UNAVAILABLE = requests.Refusal(
    requests.Outcome.NOT_RUN,
    503,
    "claims-unavailable",
    "Neither this attempt nor an earlier one under its key was run; ask again"
    " with the same key.",
    RETRY_AFTER_S,
)
CLAIMS_UNAVAILABLE_UNKNOWN = requests.Refusal(
    requests.Outcome.UNKNOWN,
    503,
    "claims-unavailable-unknown",
    "This attempt was not run; whether an earlier one was can't be told now,"
    " so ask again with the same key and use no other.",
    RETRY_AFTER_S,
)
IN_PROGRESS = requests.Refusal(
    requests.Outcome.UNKNOWN,
    409,
    "in-progress",
    "An earlier attempt under the same key is still running.",
    RETRY_AFTER_S,
)
OUTCOME_UNKNOWN = requests.Refusal(
    requests.Outcome.UNKNOWN,
    409,
    "outcome-unknown",
    "An earlier attempt may have run and its answer is lost; it is never"
    " sent again.",
)
HOLDER_UNREACHABLE = dataclasses.replace(
    OUTCOME_UNKNOWN,
    detail="The process that holds the claim of an earlier attempt does not"
    " answer; nobody else may send the request.",
    retry_after_s=RETRY_AFTER_S,
)
ANSWER_UNAVAILABLE = requests.Refusal(
    requests.Outcome.RAN,
    503,
    "answer-unavailable",
    "The request ran; its answer can't be fetched at the moment.",
    RETRY_AFTER_S,
)


@dataclasses.dataclass(frozen=True)
class Holder:
    """A process that claims requests.

    Attributes:
        process: name of the process.
        boot_id: random id of this start of the process.
        peer_address: "ip:port" of its peer port.
    """

    process: str
    boot_id: str
    peer_address: str


@dataclasses.dataclass(frozen=True)
class Unclaimed:
    """Nobody holds the claim; this version of the row may be overwritten."""


@dataclasses.dataclass(frozen=True)
class OwnClaim:
    """This boot holds the claim."""


@dataclasses.dataclass(frozen=True)
class Completed:
    """The request ran, and its answer is stored with the claim."""


@dataclasses.dataclass(frozen=True)
class HeldElsewhere:
    """Another process holds the claim; only it knows the request's state."""


Classification = (
    Unclaimed | OwnClaim | Completed | HeldElsewhere | requests.Refusal
)


def compute_digest(request: requests.Request) -> str:
    """Returns the SHA-256 in hex of the parts that identify a request."""
    parts = (
        request.method.encode(),
        request.target.encode(),
        str(request.issued_ms).encode(),
        request.body,
    )
    hashed = hashlib.sha256()
    for part in parts:
        # The length prefix distinguishes different splits of the same bytes.
        hashed.update(len(part).to_bytes(8, "big"))
        hashed.update(part)
    return hashed.hexdigest()


def classify_claim(
    claim: rows.Claim, requester: Holder, request_digest: str
) -> Classification:
    """Returns what a claim row means to a process that wants the claim."""
    if claim.digest != request_digest:
        return KEY_REUSED
    if claim.state is peers.ClaimState.DONE:
        return Completed()
    if claim.state is peers.ClaimState.RELEASED:
        return Unclaimed()
    if claim.state is peers.ClaimState.UNKNOWN:
        return OUTCOME_UNKNOWN
    if claim.boot == requester.boot_id:
        return OwnClaim()
    # This guards against the following failure: a process was restarted, or
    # replaced at its address, while it held the claim. It may have sent the
    # request, and it is gone, because only one process can listen at an
    # address. A process with our name at another address may still be shutting
    # down and knows the outcome.
    return (
        OUTCOME_UNKNOWN
        if claim.peer == requester.peer_address
        else HeldElsewhere()
    )


def make_claim_row(
    holder: Holder,
    state: peers.ClaimState,
    request_digest: str,
    issued_ms: int,
    answer: requests.Answer | None = None,
    answer_object: str = "",
) -> rows.Claim:
    """Returns the row of a claim; omits a body that is stored as an object."""
    claim = rows.Claim(
        state=state,
        entry=holder.process,
        boot=holder.boot_id,
        peer=holder.peer_address,
        digest=request_digest,
        issued_ms=issued_ms,
    )
    if answer is None:
        return claim
    body = b"" if answer_object else answer.body
    return dataclasses.replace(
        claim,
        answer_status=answer.status,
        answer_headers=answer.headers,
        answer_body=base64.b64encode(body).decode(),
        answer_object=answer_object,
    )


def stored_answer(claim: rows.Claim) -> requests.Answer:
    """Returns the answer of a claim whose body is in its row."""
    return requests.Answer(
        claim.answer_status,
        claim.answer_headers,
        base64.b64decode(claim.answer_body),
    )
