"""What a stand-in minion is asked to do and what it has to answer."""

import dataclasses
import hashlib

from vanillaswitch.protocol import requests


@dataclasses.dataclass(frozen=True)
class Work:
    """One request as the minion sees it.

    Attributes:
        digest: SHA-256 in hex of the body.
    """

    request_id: str
    caller: str
    key: str
    target: str
    digest: str


def work_of(target: str, fields: requests.Headers, body: bytes) -> Work:
    """Returns what a request asks for."""
    values = {name.lower(): value for name, value in fields}
    return Work(
        request_id=values.get(requests.HEADER_REQUEST_ID.lower(), ""),
        caller=values.get(requests.HEADER_CALLER_ID.lower(), ""),
        key=values.get(requests.HEADER_IDEMPOTENCY_KEY.lower(), ""),
        target=target,
        digest=digest(body),
    )


def digest(body: bytes) -> str:
    """Returns the digest of a body."""
    return hashlib.sha256(body).hexdigest()


def expected_answer(service: str, work: Work) -> dict[str, str]:
    """Returns the document with which a minion answers ``work``."""
    return {"service": service, **dataclasses.asdict(work)}
