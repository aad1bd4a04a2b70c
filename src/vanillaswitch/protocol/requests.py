"""A caller's request and what comes of it."""

import dataclasses
import enum

HEADER_CALLER = "Caller-Id"
HEADER_REQUEST = "Request-Id"
HEADER_TIMEOUT_MS = "Request-Timeout-Ms"
HEADER_KEY = "Idempotency-Key"
HEADER_ISSUED_MS = "Idempotency-Issued-Ms"
HEADER_RETRY_AFTER = "Retry-After"
HEADER_OUTCOME = "Request-Outcome"

Headers = tuple[tuple[str, str], ...]


@dataclasses.dataclass(frozen=True)
class Incoming:
    """A request as it came over the wire, not yet checked against anything.

    The transport has already checked its framing and its size.

    Attributes:
        received: monotonic seconds at which its head was read.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    received: float


@dataclasses.dataclass(frozen=True)
class Request:
    """A checked request of a caller.

    Attributes:
        request_id: unique to this attempt of the caller.
        caller: who asks; keys of different callers never meet.
        service: name in the configuration; first segment of the path.
        request_class: name of the class in the configuration.
        target: path and query as the caller sent them.
        headers: end-to-end headers that go on to the minion.
        deadline: monotonic seconds on this process's clock.
        key: idempotency key, or empty when the caller gave none.
        issued_ms: when the caller first issued the request under ``key``,
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
    key: str = ""
    issued_ms: int = 0


@dataclasses.dataclass(frozen=True)
class Answer:
    """A minion's whole answer."""

    status: int
    headers: Headers
    body: bytes


class Outcome(enum.StrEnum):
    """What is known of a request that got no answer of a minion."""

    NOT_RUN = "not-run"
    UNKNOWN = "unknown"
    RAN = "ran"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """Our own final answer, sent as problem details (RFC 9457).

    Attributes:
        outcome: NOT_RUN promises that no minion ran, runs or will run it.
        status: HTTP status.
        code: short stable name of the cause ("queue-full").
        detail: one sentence for a person.
        retry_after_s: when to come back; None when coming back is no use.
    """

    outcome: Outcome
    status: int
    code: str
    detail: str
    retry_after_s: float | None = None


Reply = Answer | Refusal
