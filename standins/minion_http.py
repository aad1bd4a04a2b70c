"""The HTTP of a stand-in minion, with the faults that its switches ask for."""

from collections.abc import Mapping
import contextlib
import json
import struct
from typing import Any
from typing import Protocol

from gevent import pywsgi
from gevent import socket

from standins import minion_switches
from standins import minion_work

ENVIRON_MINION = "standins.minion"
RUNS_PATH = "/_standin/runs"
SWITCH_PATH = "/_standin/switch"
STATUS_NOT_RUN = 503
_REASONS = {200: "OK", 400: "Bad Request", 503: "Service Unavailable"}
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Worker(Protocol):
    """What the handler needs of a minion."""

    service: str
    switches: minion_switches.SwitchBoard

    def runs(self) -> Mapping[str, Any]:
        """Returns all counts."""

    def switch(self, **changes: object) -> None:
        """Changes some switches."""

    def note_received(self) -> None:
        """Counts a request that came."""

    def do(self, work: minion_work.Work) -> None:
        """Runs a request."""

    def note_run(self, work: minion_work.Work) -> None:
        """Counts a run of a request."""

    def working(self) -> contextlib.AbstractContextManager[None]:
        """Counts a request as in flight until the block is left."""


class Handler(pywsgi.WSGIHandler):  # type: ignore[misc]
    """Answers one request after another on a connection."""

    def handle_one_response(self) -> None:
        """Serves one request; the library has parsed it."""
        minion: Worker = self.environ[ENVIRON_MINION]
        body = self.wsgi_input.read()
        if self.path == RUNS_PATH:
            self._answer(200, minion.runs())
        elif self.path == SWITCH_PATH:
            self._switch(minion, body)
        else:
            self._work(minion, body)

    def _switch(self, minion: Worker, body: bytes) -> None:
        try:
            minion.switch(**json.loads(body))
        except (TypeError, ValueError) as error:
            self._answer(400, {"error": str(error)})
        else:
            self._answer(200, {})

    def _work(self, minion: Worker, body: bytes) -> None:
        minion.note_received()
        if minion.switches.now.rebooting:
            self._reset()
            return
        with minion.working():
            self._work_on(minion, body)

    def _work_on(self, minion: Worker, body: bytes) -> None:
        work = minion_work.work_of(self.path, tuple(self.headers.items()), body)
        board = minion.switches
        if board.take("silent_next"):
            self._run_unlucky(minion, work)
            self._stay_silent()
        elif board.take("reset_next"):
            self._run_unlucky(minion, work)
            self._reset()
        elif board.now.leaving:
            self._answer(STATUS_NOT_RUN, {"error": "leaving, not run"})
        else:
            minion.do(work)
            board.wait_released()
            self._answer_work(minion, work)

    def _run_unlucky(self, minion: Worker, work: minion_work.Work) -> None:
        if minion.switches.now.unlucky_run:
            minion.note_run(work)

    def _stay_silent(self) -> None:
        self.close_connection = True
        while self.socket.recv(4096):
            pass

    def _reset(self) -> None:
        self.close_connection = True
        self.socket.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
        )
        self.rfile.close()
        self.socket.close()

    def _answer_work(self, minion: Worker, work: minion_work.Work) -> None:
        document = minion_work.expected_answer(minion.service, work)
        message = _message(200, document)
        if minion.switches.take("cut_next"):
            self.close_connection = True
            message = message[: len(message) - len(message) // 4]
        if minion.switches.take("doubled_next"):
            message += message
        if minion.switches.take("close_next"):
            self.close_connection = True
        self.socket.sendall(message)

    def _answer(self, status: int, document: Mapping[str, Any]) -> None:
        self.socket.sendall(_message(status, document))


def _message(status: int, document: Mapping[str, Any]) -> bytes:
    body = json.dumps(document).encode()
    head = (
        f"HTTP/1.1 {status} {_REASONS[status]}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body
