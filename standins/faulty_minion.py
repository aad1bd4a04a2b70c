"""A stand-in minion whose n-th request goes wrong in the n-th planned way."""

from collections.abc import Sequence
import dataclasses
import enum
from typing import Any

import gevent.event

from standins import raw_http
from vanillaswitch.protocol import requests


class Fault(enum.Enum):
    """What goes wrong with one answer."""

    NONE = "none"
    CUT = "cut"
    DOUBLED = "doubled"
    DOUBLED_LATER = "doubled once the next request came"
    LATE = "late"
    SWAPPED = "after the answer to another request"


@dataclasses.dataclass(frozen=True)
class Step:
    """What becomes of one request.

    Attributes:
        body: content of its answer.
        keep: bytes that are left of a cut answer.
    """

    fault: Fault
    body: bytes
    keep: int


class FaultyMinion:
    """Replies for ``raw_http.scripted``; request n has the id ``r-<n>``."""

    def __init__(self, steps: Sequence[Step], named: bool):
        """Makes a minion.

        Args:
            steps: one for each request.
            named: whether an answer names its request in a header field.
        """
        self._steps = steps
        self._named = named
        self._owed: dict[Any, bytes] = {}
        self._given_up = [gevent.event.Event() for _ in steps]

    def body(self, number: int) -> bytes:
        """Returns the body that belongs to a request and to no other."""
        return b"%d:%b" % (number, self._steps[number].body)

    def give_up(self, number: int) -> None:
        """Lets the late answer to a request come."""
        self._given_up[number].set()

    def reply(self, request: bytes, connection: Any) -> None:
        """Answers one request as its step says."""
        number = _number(request)
        step = self._steps[number]
        message = self._owed.pop(connection, b"") + self._message(number)
        if step.fault is Fault.CUT:
            connection.sendall(message[: min(step.keep, len(message) - 1)])
            connection.close()
            return
        if step.fault is Fault.LATE:
            self._given_up[number].wait()
        if step.fault is Fault.DOUBLED_LATER:
            self._owed[connection] = self._answer(number)
        connection.sendall(message)

    def _message(self, number: int) -> bytes:
        whole = self._answer(number)
        match self._steps[number].fault:
            case Fault.DOUBLED:
                return whole + whole
            case Fault.SWAPPED:
                return self._answer((number + 1) % len(self._steps)) + whole
            case _:
                return whole

    def _answer(self, number: int) -> bytes:
        name = f"{requests.HEADER_REQUEST_ID}: r-{number}\r\n".encode()
        extra = name if self._named else b""
        return raw_http.answer(self.body(number), extra)


def _number(request: bytes) -> int:
    _, _, rest = request.partition(b"Request-Id: r-")
    return int(rest.partition(b"\r\n")[0])
