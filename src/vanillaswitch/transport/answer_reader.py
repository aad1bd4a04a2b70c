"""Reads exactly one answer off a connection and nothing past it."""

from geventhttpclient import response

from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers

_FINAL_STATUS = 200
_NO_CONTENT = 204
_NOT_MODIFIED = 304


class BrokenAnswerError(Exception):
    """The bytes that came are no whole answer; never leaves the transport."""


class _OneMessage(response.HTTPResponse):  # type: ignore[misc]
    """A parser that stops at the end of the first final message.

    The library's parser goes on: the body of a second answer in the same
    bytes is appended to that of the first, and its head replaces the first's.
    """

    def __init__(self, method: str):
        super().__init__(method=method)
        self.whole = False

    @property
    def body(self) -> bytes:
        """The body read so far."""
        return bytes(self._body_buffer)

    def _on_message_begin(self) -> None:
        if self.whole:
            raise response.HTTPProtocolViolationError("a second answer")
        super()._on_message_begin()

    def _on_message_complete(self) -> None:
        super()._on_message_complete()
        if self.get_code() >= _FINAL_STATUS:
            self.whole = True


class AnswerReader:
    """Collects one answer; a cut, doubled or broken one is told apart."""

    def __init__(self, method: str, limit: int):
        """Begins an answer.

        Args:
            method: of the request; an answer to HEAD has no body.
            limit: largest number of bytes, head and body together.
        """
        self._parser = _OneMessage(method)
        self._method = method.upper()
        self._limit = limit
        self._received = 0

    @property
    def received(self) -> int:
        """How many bytes came."""
        return self._received

    @property
    def announced(self) -> int:
        """The body's length by its head; 0 while it is unknown."""
        return self._parser.content_length or 0

    @property
    def whole(self) -> bool:
        """Whether the answer is complete by its own length."""
        return self._parser.whole

    @property
    def reusable(self) -> bool:
        """Whether the connection is clean and stays open."""
        return self.whole and not self._parser.should_close()

    def feed(self, data: bytes) -> None:
        """Takes the next bytes; none at all is the connection's end.

        Raises:
            BrokenAnswerError: no whole answer can come of this any more.
        """
        # The end of a connection is not given to the parser: it would take
        # an answer without a length as finished, though it may be cut.
        if not data:
            raise BrokenAnswerError("closed before the answer was whole")
        self._received += len(data)
        if self._received > self._limit:
            raise BrokenAnswerError(f"larger than {self._limit} bytes")
        try:
            self._parser.feed(data)
        except response.HTTPParseError as error:
            # What follows a whole answer is not part of it; the parser has
            # failed by then, so the connection is not used again.
            if not self.whole:
                raise BrokenAnswerError(f"not HTTP: {error}") from error

    def answer(self) -> requests.Answer:
        """Returns the whole answer with its end-to-end fields."""
        fields = headers.end_to_end(tuple(self._parser.items()))
        if self._method != "HEAD":
            fields = headers.without(fields, "content-length")
        return requests.Answer(
            self._parser.status_code, fields, self._parser.body
        )
