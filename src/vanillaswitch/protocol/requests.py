"""Requests of callers and their results."""

import dataclasses
import enum

HEADER_CALLER_ID = "Caller-Id"
HEADER_REQUEST_ID = "Request-Id"
HEADER_TIMEOUT_MS = "Request-Timeout-Ms"
HEADER_IDEMPOTENCY_KEY = "Idempotency-Key"
HEADER_ISSUED_MS = "Idempotency-Issued-Ms"
HEADER_RETRY_AFTER = "Retry-After"
HEADER_OUTCOME = "Request-Outcome"

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class RawRequest:
    """A request as received, not yet checked against the configuration.

    The transport has already checked its framing and its size.

    Attributes:
        received_at: monotonic time in seconds at which its head was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received_at: float


@dataclasses.dataclass(frozen=True)
class Request:
    """A validated request of a caller.

    Attributes:
        request_id: unique to this attempt of the caller.
        caller: id of the caller, which is also the namespace of
            ``idempotency_key``.
        service: name in the configuration; first segment of the path.
        request_class: name of the class in the configuration.
        target: path and query as the caller sent them.
        headers: end-to-end headers to forward to the minion.
        deadline: monotonic time in seconds on this process's clock.
        idempotency_key: names the operation across attempts; empty if the
            caller sent none.
        issued_ms: when the caller first issued the request under its key,
            milliseconds since the Unix epoch; 0 without a key.
    """

    request_id: str
    caller: str
    service: str
    request_class: str
    method: str
    target: str
    headers: Headers
    body: bytes
    deadline: float
    idempotency_key: str = ""
    issued_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Answer:
    """The complete answer of a minion."""

    status: int
    headers: Headers
    body: bytes


class Outcome(enum.StrEnum):
    """What is known about a request without an answer of a minion.

    Attributes:
        NOT_RUN: no minion has run it or will run it.
        UNKNOWN: a minion may have run it or may still do so.
        RAN: a minion has run it.
    """

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A final answer of this system, sent as problem details (RFC 9457).

    Attributes:
        outcome: NOT_RUN guarantees that no minion ran, runs or will run the
            request.
        status: HTTP status.
        code: short stable name of the cause ("queue-full").
        detail: one human-readable sentence.
        retry_after_s: delay before a retry; None if a retry is of no use.
    """

    outcome: Outcome
    status: int
    code: str
    detail: str
    retry_after_s: float | None = None


Reply = Answer | Refusal
