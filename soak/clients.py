"""Clients that hand in jobs, ask for them and cancel some."""

from collections.abc import Callable
import itertools
import json
import time

import gevent

from soak import promises as promise_lib
from soak import world as worlds
from standins import edge_processes
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import job_body
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import plain_http

TIMEOUT_S = 3.0
"""How long a client waits for an answer; the users' clients wait as long."""

TRIES = 4
"""Hand-ins of one job, as the users' clients make them."""

CANCEL_SHARE = 0.15
"""So many of the later actions cancel the job; enough for a few in each run."""

LATE_COPY_SHARE = 0.1
"""So many hand-ins arrive once more after they were accepted."""

PAUSE_S = 0.15
"""Mean pause between two actions of a client."""

OK = 200
_GONE = 410

BODIES = (
    {"spec": "a", "steps": [{"count": 2, "cpu": 3000, "mem_mb": 2000}]},
    {
        "spec": "b",
        "steps": [
            {"count": 3, "cpu": 2000, "mem_mb": 500, "estimate_ms": 400},
            {"count": 2, "cpu": 6000, "mem_mb": 500, "after": [0]},
        ],
    },
    {"spec": "c", "steps": [{"count": 1, "cpu": 16000, "mem_mb": 30000}]},
)


CRASHING = {"spec": "x", "steps": [{"count": 2, "cpu": 1000, "mem_mb": 100}]}
"""A job whose tasks crash the instances that start them."""

FIRST_CRASHING = 0xC000_0000_0000_0000
"""Ids of these jobs count from here."""

DUE_TIMES = 100_000
INTERVAL_MS = 1000
RECURRING = (
    [{"count": 1, "cpu": 2000}],
    [{"count": 1, "cpu": 2000}, {"count": 1, "cpu": 2000, "after": [0]}],
)
"""Steps of jobs that recur every second and have not run for a day."""

WIDE = {"spec": "w", "steps": [{"count": 10_000, "cpu": 2000}]}
"""A job with as many tasks as a job may have."""

FIRST_LONG = 0xA000_0000_0000_0000
"""Ids of recurring and wide jobs count from here."""


Submit = Callable[
    [
        plain_http.PlainClient,
        worlds.World,
        promise_lib.JobRecord,
        object,
    ],
    None,
]
"""Submits a job with a body, and again where its answer asks for that."""


class Client:
    """One client; it keeps its connections until they break."""

    def __init__(
        self,
        world: worlds.World,
        numbers: "itertools.count[int]",
        submit: Submit | None = None,
        pause_s: float = PAUSE_S,
    ):
        """Creates a client without jobs.

        Args:
            world: where it submits them.
            numbers: of its jobs.
            submit: sends a job until it is answered; ``hand_in`` by default.
            pause_s: mean pause between two of its actions.
        """
        self._world = world
        self._submit = submit or hand_in
        self._pause_s = pause_s
        self._random = world.random
        self._numbers = numbers
        self._promises = world.promises
        self._mine: list[promise_lib.JobRecord] = []

    def run(self) -> None:
        """Works until it is killed."""
        with plain_http.open_client(clocks.SystemClock()) as client:
            while True:
                self._act(client)
                gevent.sleep(self._random.expovariate(1 / self._pause_s))

    def _act(self, client: plain_http.PlainClient) -> None:
        accepted = [item for item in self._mine if item.accepted_at is not None]
        if not accepted or self._random.random() < 0.5:
            self._hand_in(client)
            return
        record = self._random.choice(accepted)
        if not record.cancel_sent and self._random.random() < CANCEL_SHARE:
            record.cancel_sent = True
            cancel(client, self._world, record)
        elif self._random.random() < LATE_COPY_SHARE:
            self._send(client, record)
        else:
            ask(client, self._world, record)

    def _hand_in(self, client: plain_http.PlainClient) -> None:
        body = self._random.choice(BODIES)
        job_id = f"{next(self._numbers):016x}"
        account = self._world.account_of(job_id)
        record = promise_lib.JobRecord(parse(body, job_id, account))
        # Known before it is sent: its tasks may start before the answer.
        self._promises.records[job_id] = record
        self._mine.append(record)
        self._submit(client, self._world, record, body)

    def _send(
        self, client: plain_http.PlainClient, record: promise_lib.JobRecord
    ) -> None:
        body = next(item for item in BODIES if item["spec"] == record.job.spec)
        send(client, self._world, record, body)


def hand_in(
    client: plain_http.PlainClient,
    world: worlds.World,
    record: promise_lib.JobRecord,
    body: object,
) -> None:
    """Hands a job in until it is accepted, a few times at most."""
    for _ in range(TRIES):
        if send(client, world, record, body).status == OK:
            return
        gevent.sleep(world.random.random() * 0.5)


def hand_in_crashing(
    client: plain_http.PlainClient, world: worlds.World
) -> None:
    """Hands in a job whose tasks crash instances, until it is answered."""
    job_id = f"{FIRST_CRASHING + len(world.promises.records):016x}"
    account = world.account_of(job_id)
    record = promise_lib.JobRecord(
        parse(CRASHING, job_id, account), crashes=True
    )
    world.promises.records[job_id] = record
    hand_in(client, world, record, CRASHING)


def recurring_body(world: worlds.World) -> dict[str, object]:
    """Returns a job of which many times are due."""
    return {
        "spec": "r",
        "steps": world.random.choice(RECURRING),
        "repeat_count": DUE_TIMES,
        "first_run_ms": time.time() * 1000 - DUE_TIMES * INTERVAL_MS,
        "interval_ms": INTERVAL_MS,
    }


def hand_in_long(
    client: plain_http.PlainClient, world: worlds.World, body: object
) -> promise_lib.JobRecord:
    """Hands in a job that does not end in time, until it is answered."""
    job_id = f"{FIRST_LONG + len(world.promises.records):016x}"
    account = world.account_of(job_id)
    record = promise_lib.JobRecord(parse(body, job_id, account))
    world.promises.records[job_id] = record
    hand_in(client, world, record, body)
    return record


def send(
    client: plain_http.PlainClient,
    world: worlds.World,
    record: promise_lib.JobRecord,
    body: object,
    edge: edge_processes.Edge | None = None,
) -> requests.Answer:
    """Hands a job in once and keeps what its client was told."""
    # The soak may end while the call is under way: what comes of it is not
    # known then, and the job may run after an earlier refusal.
    record.unknown += 1
    record.last_status = 0
    was_accepted = record.accepted_at is not None
    began = time.monotonic()
    answer = exchange(client, world, "POST", record.job, body, edge)
    record.last_status = answer.status
    if answer.status == OK:
        record.unknown -= 1
        record.accepted_at = record.accepted_at or world.promises.now
    elif answer.status in promise_lib.REFUSALS:
        record.unknown -= 1
        record.refusals += 1
    took_s = time.monotonic() - began
    world.promises.judge_answer(record, answer, took_s, was_accepted)
    return answer


def parse(body: object, job_id: str, account: str = "") -> jobs.Job:
    """Returns the job that a body hands in for a client account."""
    data = json.dumps(body).encode()
    return job_body.parse_job(
        data, job_id, "quotes", "pool", 0, account=account
    )


def cancel(
    client: plain_http.PlainClient,
    world: worlds.World,
    record: promise_lib.JobRecord,
) -> None:
    """Cancels a job; its record tells when that was confirmed."""
    status, _ = call(client, world, "DELETE", record.job)
    if status in (OK, _GONE):
        record.cancelled_at = world.promises.now


def call(
    client: plain_http.PlainClient,
    world: worlds.World,
    method: str,
    job: jobs.Job,
    body: object = None,
) -> tuple[int, bytes]:
    """Calls any machine; returns status and body, 0 without an answer."""
    answer = exchange(client, world, method, job, body)
    return answer.status, answer.body


def exchange(
    client: plain_http.PlainClient,
    world: worlds.World,
    method: str,
    job: jobs.Job,
    body: object = None,
    edge: edge_processes.Edge | None = None,
) -> requests.Answer:
    """Calls a machine, any by default; status 0 without an answer."""
    edge = edge or world.random.choice(world.edges)
    data = b"" if body is None else json.dumps(body).encode()
    headers = world.accounts.headers(job) if world.accounts else ()
    sent = client.call(
        edge.entry, method, f"/q/{job.job_id}", data, headers, TIMEOUT_S
    )
    if isinstance(sent, minions.Answered):
        return sent.answer
    return requests.Answer(0, (), b"")


def ask(
    client: plain_http.PlainClient,
    world: worlds.World,
    record: promise_lib.JobRecord,
) -> None:
    """Asks for an accepted job and has the answer judged."""
    status, body = call(client, world, "GET", record.job)
    if status == OK:
        world.promises.answered(record, json.loads(body)["state"])
    elif status == _GONE:
        world.promises.answered(record, None)


def not_ready(client: plain_http.PlainClient, edge: edge_processes.Edge) -> str:
    """Returns why the balancer would send a machine no clients; or nothing."""
    sent = client.call(edge.ready, "GET", "/-/ready", timeout_s=1.0)
    if not isinstance(sent, minions.Answered):
        return sent.reason
    if sent.answer.status == OK:
        return ""
    return sent.answer.body.decode(errors="replace").strip()
