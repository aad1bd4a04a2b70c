"""Client accounts that compete for too little capacity.

Again and again one account sends many times its usual load for some seconds,
and some instances are slow. Clients that are refused come back when they are
told to; what they are answered is judged.
"""

import itertools
import statistics
from typing import Any

import gevent
from gevent import pool

from soak import accounts
from soak import clients
from soak import promises as promise_lib
from soak import world as worlds
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.protocol import requests
from vanillaswitch.transport import headers
from vanillaswitch.transport import plain_http

SURGING = ("delta", "karoo")
"""Accounts that send too much; they have no limit."""

WEIGHT = 4.0
"""Jobs per second of an account; a surge is beyond it after a second."""

OBJECTIVE = {"stretch": 1.6, "target_duration_ms": 606}
"""Of the queue, as the users have it."""

SURGE_S = 4.0
REST_S = 3.0
"""How long a surge lasts, and the mean pause until the next one."""

RATE = 20.0
"""Jobs per second in a surge: four times what all instances can run."""

BODIES = (
    {
        "spec": "wide",
        "steps": [{"count": 8, "cpu": 4000, "mem_mb": 500, "estimate_ms": 400}],
    },
    {
        "spec": "chain",
        "steps": [
            {"count": 4, "cpu": 4000, "mem_mb": 500, "estimate_ms": 250},
            {
                "count": 4,
                "cpu": 4000,
                "mem_mb": 500,
                "estimate_ms": 600,
                "after": [0],
            },
        ],
    },
)
"""Tasks take 400 ms where the instance isn't slow."""

SLOW = 1
SLOWER = (3.0, 5.0)
"""How many instances are slow, and by which factor."""

PAUSE_S = 0.5
"""Mean pause of the usual clients: together they need a third of what the
instances can run."""

RETURNS = 4
"""Clients submit a job again so often at most, as the users' clients do. Some
give up earlier, so that any answer may be the last."""

QUIET_S = 6.0
"""Time before the first fault; a surge is refused in it."""

SETTLE_S = 60.0
"""Time in which all accepted jobs have to end. While owners are killed nothing
is refused, and a surge of 1,000 core-seconds that was accepted as a whole takes
the 52 cores that are not lost to slowness 20 s; two may follow each other."""

_UNANSWERED = (0, 502, 504)
_SURGE_JOBS = 0xB000_0000_0000_0000


class Overload(accounts.Accounts):
    """The accounts of one soak with overload control.

    Attributes:
        harms_keys: keys are replaced and machines cut off, see ``accounts``.
        is_quiet: no fault has begun yet.
    """

    names = (*accounts.NAMES, *SURGING)
    contracts = (
        platform_settings.ACCOUNTS_CONTRACT,
        platform_settings.OVERLOAD_CONTRACT,
    )
    weight = WEIGHT

    def __init__(self, seed: int, harms_keys: bool = False) -> None:
        super().__init__(seed)
        self.harms_keys = harms_keys
        self.is_quiet = True
        self.refused: set[str] = set()
        self.returned: set[str] = set()
        self.accepted_later: set[str] = set()
        self._overtaken: set[str] = set()
        self._delays_s: list[float] = []
        self._unavailable = 0
        self._surge_numbers = itertools.count()
        self._submissions = pool.Group()

    def limit_cpu(self, name: str) -> int:
        """Returns what an account may have running; 0 for no limit."""
        return 0 if name in SURGING else super().limit_cpu(name)

    def fill(self, config: dict[str, Any]) -> None:
        """Completes the operators' configuration."""
        super().fill(config)
        for route in config["routes"]:
            route.update(OBJECTIVE)

    def slow_down(self, world: worlds.World) -> None:
        """Has some instances run their tasks several times slower."""
        for instance in self._random.sample(world.platform.instances, SLOW):
            instance.task_s *= self._random.uniform(*SLOWER)

    def surge(self, world: worlds.World) -> None:
        """Sends too much for one account after the other, until killed."""
        with plain_http.open_client(clocks.SystemClock()) as client:
            while True:
                account = self._random.choice(SURGING)
                until = world.promises.now + SURGE_S
                while world.promises.now < until:
                    body = self._random.choice(BODIES)
                    job_id = self._next_id(account)
                    record = promise_lib.JobRecord(
                        clients.parse(body, job_id, account)
                    )
                    world.promises.records[job_id] = record
                    self.submit(client, world, record, body)
                    gevent.sleep(self._random.expovariate(RATE))
                gevent.sleep(self._random.expovariate(1 / REST_S))

    def _next_id(self, account: str) -> str:
        block = next(self._surge_numbers) * len(self.names)
        return f"{_SURGE_JOBS + block + self.names.index(account):016x}"

    def submit(
        self,
        client: plain_http.PlainClient,
        world: worlds.World,
        record: promise_lib.JobRecord,
        body: object,
    ) -> None:
        """Submits a job in the background; see ``clients.Submit``."""
        del client  # It may be closed before the client returns.
        self._submissions.spawn(self._submit, world, record, body)

    def end(self) -> None:
        """Ends all submissions that are under way."""
        self._submissions.kill()

    def _submit(
        self,
        world: worlds.World,
        record: promise_lib.JobRecord,
        body: object,
    ) -> None:
        job_id = record.job.job_id
        edge = self._random.choice(world.edges)
        returns = self._random.randint(1, RETURNS)
        with plain_http.open_client(clocks.SystemClock()) as client:
            for left in reversed(range(1 + returns)):
                answer = clients.send(client, world, record, body, edge)
                if answer.status in _UNANSWERED:
                    others = [item for item in world.edges if item is not edge]
                    edge = self._random.choice(others)
                elif answer.status in promise_lib.REFUSALS and left:
                    gevent.sleep(max(1, _retry_after_s(answer)))
                    if answer.status == promise_lib.OVERLOADED:
                        self.returned.add(job_id)
                    edge = self._random.choice(world.edges)
                else:
                    break
            if self._random.random() < clients.LATE_COPY_SHARE:
                gevent.sleep(self._random.uniform(0, SURGE_S))
                if record.accepted_at is not None:
                    clients.send(client, world, record, body)

    def judge_answer(
        self,
        promises: promise_lib.Promises,
        record: promise_lib.JobRecord,
        answer: requests.Answer,
        took_s: float,
        was_accepted: bool,
    ) -> None:
        """Judges the answer to a copy of a submission.

        Args:
            promises: takes broken promises.
            record: the job.
            answer: its status is 0 if there was none.
            took_s: time from the request to the answer.
            was_accepted: an acceptance had arrived before it was sent.
        """
        job_id = record.job.job_id
        if answer.status == clients.OK and job_id in self.refused:
            self.accepted_later.add(job_id)
        if answer.status not in promise_lib.REFUSALS:
            return
        if _retry_after_s(answer) < 1:
            promises.breach(
                "returns",
                f"{job_id} is told {answer.status} without a time to return: "
                f"{answer.body!r}",
            )
        if answer.status != promise_lib.OVERLOADED:
            # A machine without the store can't know that it was accepted.
            self._unavailable += was_accepted
            return
        self.refused.add(job_id)
        if record.unknown:
            self._overtaken.add(job_id)
        if self.is_quiet:
            self._delays_s.append(took_s)
        if was_accepted:
            promises.breach(
                "kept", f"{job_id} was accepted and refused: {answer.body!r}"
            )

    @property
    def summary(self) -> str:
        """What was refused, for the output of a run."""
        text = (
            f"{len(self.refused)} jobs refused for load, {len(self.returned)} "
            f"of them returned, {len(self.accepted_later)} accepted then, "
            f"{len(self._overtaken)} refused after a copy without an answer; "
            f"{self._unavailable} copies of accepted jobs answered 503"
        )
        if not self._delays_s:
            return f"{text}; nothing refused before the faults"
        delays_ms = sorted(1000 * delay for delay in self._delays_s)
        return (
            f"{text}; {len(delays_ms)} refusals before the faults took "
            f"{statistics.median(delays_ms):.0f} ms in the median, "
            f"{delays_ms[-1]:.0f} ms at most"
        )


def _retry_after_s(answer: requests.Answer) -> int:
    """Returns the field Retry-After; 0 without a valid one."""
    text = headers.first(answer.headers, requests.HEADER_RETRY_AFTER) or ""
    return int(text) if text.isdigit() else 0
