"""Our own final answers as problem details (RFC 9457)."""

import json
import math

import falcon

from vanillaswitch.protocol import requests

MEDIA_TYPE = "application/problem+json"
HEADER_RETRY_AFTER_MS = "Retry-After-Ms"
_TYPE = "urn:vanillaswitch:problem:"


def body(refusal: requests.Refusal) -> bytes:
    """Returns the problem document of a refusal."""
    status = falcon.code_to_http_status(refusal.status)
    document = {
        "type": _TYPE + refusal.code,
        "title": status.partition(" ")[2],
        "status": refusal.status,
        "detail": refusal.detail,
        "outcome": refusal.outcome.value,
        "code": refusal.code,
    }
    return json.dumps(document).encode()


def fields(refusal: requests.Refusal) -> requests.Headers:
    """Returns the header fields of a refusal, without its length."""
    found = [
        ("Content-Type", MEDIA_TYPE),
        (requests.HEADER_OUTCOME, refusal.outcome.value),
    ]
    if refusal.retry_after_s is not None:
        seconds = max(1, math.ceil(refusal.retry_after_s))
        milliseconds = max(0, math.ceil(refusal.retry_after_s * 1000))
        found.append((requests.HEADER_RETRY_AFTER, str(seconds)))
        found.append((HEADER_RETRY_AFTER_MS, str(milliseconds)))
    return tuple(found)


def last_message(refusal: requests.Refusal) -> bytes:
    """Returns a whole HTTP/1.1 message after which the connection closes."""
    content = body(refusal)
    lines = [
        f"HTTP/1.1 {falcon.code_to_http_status(refusal.status)}",
        *(f"{name}: {value}" for name, value in fields(refusal)),
        f"Content-Length: {len(content)}",
        "Connection: close",
    ]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + content
