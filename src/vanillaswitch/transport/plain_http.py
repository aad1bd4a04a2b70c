"""Calls to outside systems over HTTP/1.1, each sent at most once.

No header field of ours is added: the other end knows nothing of our callers.
"""

from collections.abc import Iterator
import contextlib
import itertools

import gevent

from vanillaswitch import errors
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import usage
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import minion_http

IDLE_CONNECTIONS = 6
"""Connections kept open to one address: one waits for ends, a burst of
starts uses a few more."""

IDLE_S = 20.0
"""Longest time that an unused connection is kept."""

CONNECT_TIMEOUT_S = 1.0
"""Longest wait for a connection; a machine behind a cut never answers."""


def _encode(
    minion: minions.Minion, request: requests.Request, timeout_s: float
) -> bytes:
    del timeout_s
    lines = [
        f"{request.method} {request.target} HTTP/1.1",
        f"Host: {minion.address}",
    ]
    if request.body or request.method != "GET":
        lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(request.body)}")
    lines.extend(f"{name}: {value}" for name, value in request.headers)
    if any("\r" in line or "\n" in line for line in lines):
        raise errors.InvariantError("a header field holds a line break")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + request.body


class PlainClient:
    """Sends calls by address, on kept connections."""

    def __init__(
        self, client: minion_http.HttpMinionClient, meter: usage.Meter
    ):
        self._client = client
        self._meter = meter
        self._ids = itertools.count()

    def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: requests.Headers = (),
        timeout_s: float = 1.0,
        fresh: bool = False,
        on_progress: minion_http.OnProgress = minion_http.ignore_progress,
    ) -> minions.SendOutcome:
        """Sends one call once.

        Args:
            address: "ip:port".
            method: HTTP method.
            target: path and query.
            body: JSON text; empty for none.
            headers: besides those that frame the message.
            timeout_s: limit for the time until the answer begins, and for each
                pause in it.
            fresh: on a new connection rather than a kept one.
            on_progress: called while an answer arrives in parts.
        """
        target_minion = minions.Minion(address, "", address, "", "", 0, 0)
        request = requests.Request(
            request_id=f"plain-{next(self._ids)}",
            caller="",
            service="",
            request_class="",
            method=method,
            target=target,
            headers=headers,
            body=body,
            deadline=0.0,
        )
        received = 0

        def record_progress(bytes_so_far: int, announced: int) -> None:
            nonlocal received
            received = bytes_so_far
            on_progress(bytes_so_far, announced)

        try:
            outcome = self._client.send(
                target_minion, request, timeout_s, fresh, record_progress
            )
        except gevent.GreenletExit:
            # The caller gave the call up.
            self._meter.called(len(body), None, received)
            raise
        match outcome:
            case minions.Answered(answer):
                self._meter.called(len(body), len(answer.body))
            case minions.AnswerLost(received=truncated):
                self._meter.called(len(body), None, truncated)
            case _:
                self._meter.called(len(body), None)
        return outcome


@contextlib.contextmanager
def open_client(
    clock: clocks.Clock, meter: usage.Meter | None = None
) -> Iterator[PlainClient]:
    """Yields a client and closes its connections afterwards.

    Args:
        clock: paces the calls.
        meter: counts them; left out where nobody reads the counts.
    """
    settings = minion_http.ClientSettings(
        connect_timeout_s=CONNECT_TIMEOUT_S,
        idle_per_minion=IDLE_CONNECTIONS,
        idle_s=IDLE_S,
        min_answer_bytes_per_s=minion_http.MIN_ANSWER_BYTES_PER_S,
    )
    client = minion_http.HttpMinionClient(clock, settings, _encode)
    try:
        yield PlainClient(client, meter or usage.Meter(clock.monotonic()))
    finally:
        client.close()
