"""Real processes whose only queue needs tickets of an advice service."""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import pathlib
import time

import gevent

from standins import advice_http
from standins import edge_http
from standins import edge_processes
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import minions
from vanillaswitch.transport import plain_http

FINISH_S = 14.0
"""A job that has nothing running so long after the end of the traffic, beside
idle instances, is lost (a requirement)."""

_READY_S = 20.0
_POLL_S = 0.1
_TASK_S = 0.3
_STEP = {"count": 2, "cpu": 500, "mem_mb": 64, "estimate_ms": 300}
_BODY = json.dumps({"spec": "a", "steps": [_STEP]}).encode()


@dataclasses.dataclass
class AdvisedFleet:
    """Processes, instances and their advice service.

    Attributes:
        accepted: paths of the accepted jobs.
    """

    platform: edge_http.EdgePlatform
    advice: advice_http.AdviceService
    edges: list[edge_processes.Edge]
    client: plain_http.PlainClient
    accepted: list[str] = dataclasses.field(default_factory=list)

    def __post_init__(self) -> None:
        """Numbers the jobs from 1."""
        self._numbers = itertools.count(1)

    def submit(self) -> None:
        """Submits a job at one process after the other."""
        number = next(self._numbers)
        path = f"/q/{number:016x}"
        edge = self.edges[number % len(self.edges)]
        if self._call(edge, "POST", path, _BODY)[0] == 200:
            self.accepted.append(path)

    def submit_steadily(self, per_s: float, seconds: float) -> None:
        """Submits jobs at a rate, each when it is due."""
        began = time.monotonic()
        for number in range(round(per_s * seconds)):
            due = began + number / per_s
            gevent.sleep(max(0.0, due - time.monotonic()))
            self.submit()
        gevent.sleep(max(0.0, began + seconds - time.monotonic()))

    def unfinished(self) -> list[str]:
        """Returns the accepted jobs that don't complete in time."""
        until = time.monotonic() + FINISH_S
        waiting = list(self.accepted)
        while waiting and time.monotonic() < until:
            gevent.sleep(_POLL_S)
            waiting = [path for path in waiting if not self._has_ended(path)]
        return waiting

    def _has_ended(self, path: str) -> bool:
        status, body = self._call(self.edges[0], "GET", path)
        return status == 200 and json.loads(body)["state"] == "completed"

    def _call(
        self,
        edge: edge_processes.Edge,
        method: str,
        path: str,
        body: bytes = b"",
    ) -> tuple[int, bytes]:
        sent = self.client.call(edge.entry, method, path, body, timeout_s=3.0)
        if not isinstance(sent, minions.Answered):
            return 0, b""
        return sent.answer.status, sent.answer.body

    def is_ready(self) -> bool:
        """Whether all processes take requests."""
        return all(self._ready_status(edge) == 200 for edge in self.edges)

    def _ready_status(self, edge: edge_processes.Edge) -> int:
        sent = self.client.call(edge.ready, "GET", "/-/ready")
        answered = isinstance(sent, minions.Answered)
        return sent.answer.status if answered else 0


@contextlib.contextmanager
def running(
    folder: pathlib.Path,
    instances: int,
    advice: fleet.AdvisorConfig,
    processes: int = 2,
    good_share: float = 0.5,
) -> Iterator[AdvisedFleet]:
    """Yields a fleet that is ready, and ends its processes by their ids."""
    service = advice_http.AdviceService(advice, good_share)
    platform = edge_http.EdgePlatform(instances, _TASK_S)
    for instance in platform.instances:
        instance.advice = service
    config = edge_processes.config()
    service.fill(config)
    platform.rows.write("op", "config", config)
    with contextlib.ExitStack() as stack:
        stack.enter_context(platform.serving())
        stack.enter_context(service.serving())
        client = stack.enter_context(
            plain_http.open_client(clocks.SystemClock())
        )
        edges = []
        for number in range(processes):
            edge = edge_processes.Edge(
                f"edge-{number}",
                folder,
                platform.address,
                platform.address,
                f"advice={service.address}\n",
            )
            stack.callback(edge.kill)
            edges.append(edge)
        found = AdvisedFleet(platform, service, edges, client)
        with gevent.Timeout(_READY_S):
            while not found.is_ready():
                gevent.sleep(_POLL_S)
        yield found
