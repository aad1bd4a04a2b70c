"""The users' advice service: says which instances may run a step.

It handles the calls of one machine one at a time, in the order in which they
arrive, and those that were given up, too. Faults are switched on by tests.
"""

from collections.abc import Collection
from collections.abc import Iterator
import contextlib
import dataclasses
import hashlib
import json
import time
from typing import Any

import gevent
from gevent import lock
from gevent import pool

from vanillaswitch.protocol import fleet
from vanillaswitch.transport import sockets

MAX_WAITING = 32
"""Calls of one machine that may wait; further ones are refused."""

MAX_INSTANCES = 100
"""Most instances that one call may name."""

UNANSWERED_S = 60.0
"""How long the connection of a lost answer stays open."""

POLL_S = 0.01
"""How often a stuck service looks whether it may go on."""


class AdviceService:
    """One process of the service.

    All processes on one address count as one machine.

    Attributes:
        slowdown: factor on the time that it takes for a call.
        is_stuck: it takes calls and handles none.
        is_away: it refuses connections.
        loses_answers: it handles calls and sends no answer.
        answered: calls that were answered.
        refused: calls that were refused because too many were waiting.
        named: instances that the answered calls named, in total.
    """

    def __init__(
        self,
        config: fleet.AdvisorConfig,
        good_share: float = 0.5,
        always_good: Collection[str] = (),
    ):
        """Listens on a free port.

        Args:
            config: the time that it takes, and the validity of its tickets.
            good_share: probability that an instance may run a step.
            always_good: names of instances that may run all steps.
        """
        self._always_good = always_good
        self._config = config
        self._good_share = good_share
        self._valid_until: dict[tuple[str, str], float] = {}
        self._turns: dict[str, lock.BoundedSemaphore] = {}
        self._waiting: dict[str, int] = {}
        self._server = self._listen("127.0.0.1:0")
        self.address = self._server.bound
        self.slowdown = 1.0
        self.is_stuck = False
        self.is_away = False
        self.loses_answers = False
        self.answered = 0
        self.refused = 0
        self.named = 0

    def _listen(self, address: str) -> sockets.HttpServer:
        # A server without a pool goes on serving its connections when stopped.
        server = sockets.HttpServer(
            sockets.listen(address), self._application, spawn=pool.Pool()
        )
        server.environ["SERVER_NAME"] = "advice"
        return server

    @contextlib.contextmanager
    def serving(self) -> Iterator[None]:
        """Serves while the block lasts."""
        self._server.start()
        try:
            yield
        finally:
            self._server.stop(timeout=0)

    @contextlib.contextmanager
    def away(self) -> Iterator[None]:
        """Refuses connections and drops the waiting calls during the block."""
        self._server.stop(timeout=0)
        self.is_away = True
        try:
            yield
        finally:
            self.is_away = False
            self._turns.clear()
            self._waiting.clear()
            self._server = self._listen(self.address)
            self._server.start()

    def heal(self) -> None:
        """Ends all faults but the absence of the service."""
        self.slowdown = 1.0
        self.is_stuck = self.loses_answers = False

    def fill(self, config: dict[str, Any]) -> None:
        """Gives all queues of the operators' configuration this advisor."""
        for route in config["routes"]:
            route["advice"] = dataclasses.asdict(self._config)

    @property
    def waiting_count(self) -> int:
        """Number of calls that are waiting or being handled."""
        return sum(self._waiting.values())

    def accepts(self, step: str, instance: str, ticket: str) -> bool:
        """Whether a start with a ticket is not to be rejected for it."""
        until = self._valid_until.get((step, instance), 0.0)
        return ticket == f"{step}/{instance}" and time.monotonic() < until

    def end_incarnation(self, instance: str) -> None:
        """Ends the validity of the tickets for an instance that restarts."""
        for step, name in list(self._valid_until):
            if name == instance:
                del self._valid_until[step, name]

    def is_good(self, step: str, instance: str) -> bool:
        """Whether an instance may run a step; this never changes."""
        if instance in self._always_good:
            return True
        digest = hashlib.sha256(f"{step} {instance}".encode()).digest()
        return digest[0] < self._good_share * 256

    def _application(self, environ: Any, start_response: Any) -> list[bytes]:
        body = json.loads(environ["wsgi.input"].read())
        names = body["workers"]
        if not 0 < len(names) <= MAX_INSTANCES:
            return _respond(start_response, "400 Bad Request", {})
        machine = environ["REMOTE_ADDR"]
        if self._waiting.get(machine, 0) > MAX_WAITING:
            self.refused += 1
            return _respond(start_response, "429 Too Many Requests", {})
        self._waiting[machine] = self._waiting.get(machine, 0) + 1
        with self._turns.setdefault(machine, lock.BoundedSemaphore()):
            self._work(len(names))
        self._waiting[machine] = self._waiting.get(machine, 1) - 1
        good = [name for name in names if self.is_good(body["step"], name)]
        until = time.monotonic() + self._config.validity_ms / 1000
        for name in good:
            self._valid_until[body["step"], name] = until
        if self.loses_answers:
            gevent.sleep(UNANSWERED_S)
        self.answered += 1
        self.named += len(names)
        answer = {
            "good": [[name, f"{body['step']}/{name}"] for name in good],
            "validity_ms": self._config.validity_ms,
        }
        return _respond(start_response, "200 OK", answer)

    def _work(self, count: int) -> None:
        took_ms = self._config.decision_ms + self._config.period_ms * count
        gevent.sleep(took_ms / 1000 * self.slowdown)
        while self.is_stuck:
            gevent.sleep(POLL_S)


def _respond(
    start_response: Any, status: str, body: dict[str, Any]
) -> list[bytes]:
    start_response(status, [("Content-Type", "application/json")])
    return [json.dumps(body).encode()]
