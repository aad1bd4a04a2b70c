"""Checks of a request's framing, before anything is done for it.

The server library is lenient where a request has no one meaning (two lengths,
a cut head, a line that is no field). Two readers of such bytes can disagree on
where a request ends, and the rest of one would run as another's; so they are
refused here, and the connection is closed.
"""

import dataclasses
import re
from typing import Protocol

from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers

MAX_LINE_BYTES = 8192
MAX_HEAD_BYTES = 32_768
MAX_FIELDS = 99

_TOKEN = r"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
_REQUEST_LINE = re.compile(
    rf"({_TOKEN}) (/[\x21-\x7e]*) (HTTP/1\.[01])\r\n", re.ASCII
)
_FIELD_LINE = re.compile(
    rf"{_TOKEN}:[ \t]*[^\x00-\x08\x0a-\x1f\x7f]*\r\n".encode()
)
_LENGTH = re.compile(r"[0-9]{1,15}", re.ASCII)


class BadRequestError(Exception):
    """The bytes are no request that can be served; never leaves transport.

    Attributes:
        refusal: what the caller is told; its outcome is always NOT_RUN.
    """

    def __init__(self, status: int, code: str, detail: str):
        super().__init__(detail)
        self.refusal = requests.Refusal(
            requests.Outcome.NOT_RUN, status, code, detail
        )


class LineSource(Protocol):
    """Where lines are read from."""

    def readline(self, limit: int, /) -> bytes:
        """Returns the next line with its end, at most ``limit`` bytes."""


@dataclasses.dataclass(frozen=True)
class RequestLine:
    """The first line of a request."""

    method: str
    target: str
    version: str


@dataclasses.dataclass(frozen=True)
class Framing:
    """How the body of a request is delimited.

    Attributes:
        length: bytes of the body; None for a chunked one.
        keep_alive: the caller wants the connection kept.
    """

    length: int | None
    keep_alive: bool


def request_line(line: str) -> RequestLine:
    """Splits the first line.

    Raises:
        BadRequestError: it is too long, cut, or of no known form.
    """
    if len(line) >= MAX_LINE_BYTES:
        raise BadRequestError(
            414, "target-too-long", f"the target exceeds {MAX_LINE_BYTES} bytes"
        )
    match = _REQUEST_LINE.fullmatch(line)
    if match is None:
        raise BadRequestError(
            400, "bad-request-line", "this is no HTTP/1.1 request line"
        )
    return RequestLine(*match.groups())


class HeadLines:
    """Hands on the lines of a head and holds each to the grammar."""

    def __init__(self, source: LineSource):
        self._source = source
        self._left = MAX_HEAD_BYTES
        self._lines_left = MAX_FIELDS + 1

    def readline(self, limit: int) -> bytes:
        """Returns the next line of the head.

        Raises:
            BadRequestError: the head is too large, cut, or a line is no field.
        """
        line = self._source.readline(min(limit, self._left + 1))
        self._left -= len(line)
        self._lines_left -= 1
        if self._left < 0 or self._lines_left < 0:
            raise BadRequestError(
                431,
                "head-too-large",
                f"more than {MAX_FIELDS} header fields or "
                f"{MAX_HEAD_BYTES} bytes of them",
            )
        # A head whose end never came must not count as complete: the cut
        # field may be an idempotency key, and half a key is another key. A
        # cut line lacks its end, so it is malformed like any other.
        if line != b"\r\n" and _FIELD_LINE.fullmatch(line) is None:
            raise BadRequestError(
                400, "bad-field", "a header line is cut or malformed"
            )
        return line


def _values(fields: requests.Headers, name: str) -> tuple[str, ...]:
    return tuple(value for found, value in fields if found.lower() == name)


def framing(line: RequestLine, fields: requests.Headers) -> Framing:
    """Returns how the body is delimited.

    Raises:
        BadRequestError: there is not exactly one meaning.
    """
    lengths = _values(fields, "content-length")
    codings = _values(fields, "transfer-encoding")
    if lengths and codings:
        raise BadRequestError(
            400,
            "two-lengths",
            "both Content-Length and Transfer-Encoding are given",
        )
    if line.version == "HTTP/1.1" and len(_values(fields, "host")) != 1:
        raise BadRequestError(400, "bad-host", "one Host field is needed")
    keep_alive = _keep_alive(line, fields)
    if codings:
        _check_coding(line, codings)
        return Framing(None, keep_alive)
    return Framing(_length(lengths), keep_alive)


def _check_coding(line: RequestLine, codings: tuple[str, ...]) -> None:
    known = len(codings) == 1 and codings[0].strip().lower() == "chunked"
    if not known or line.version != "HTTP/1.1":
        raise BadRequestError(
            400,
            "unsupported-transfer-encoding",
            "the only transfer encoding understood is chunked, in HTTP/1.1",
        )


def _length(lengths: tuple[str, ...]) -> int:
    if not lengths:
        return 0
    text = lengths[0].strip()
    if len(lengths) > 1 or _LENGTH.fullmatch(text) is None:
        raise BadRequestError(
            400, "bad-content-length", "Content-Length must be one number"
        )
    return int(text)


def _keep_alive(line: RequestLine, fields: requests.Headers) -> bool:
    options = headers.connection_options(fields)
    if line.version == "HTTP/1.0":
        return "keep-alive" in options
    return "close" not in options
