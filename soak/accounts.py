"""Client accounts of a soak: keys that come and go, and limits.

Keys are replaced all the time while other faults happen. An intruder calls with
keys that were removed a while ago and with keys that never existed; no such
call may be served. What an account has running is counted from outside.
"""

import itertools
import json
import random
from typing import Any

import gevent

from soak import clients
from soak import promises as promise_lib
from soak import world as worlds
from standins import relays
from vanillaswitch.internal import clock as clocks
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import minions
from vanillaswitch.transport import plain_http

NAMES = ("mare", "sahel")

REVOKE_S = 5.0
"""Time after which a removed key must not work, as the settings say."""

LIMIT_CPU = 20_000
"""What an account may have running; all instances have three times as much."""

OVERAGE = 1.1
"""What an account may have running at a start, over its limit; one task more
may come on top."""

CUT_S = 8.0
"""How long a machine is cut off from the store: longer than ``REVOKE_S``."""

ROTATE_S = 1.5
INTRUDE_S = 0.2
"""Mean pauses between two replacements of a key, and between two calls of the
intruder."""

_UNKNOWN_KEY = "nobody's key"
_BODY = {"spec": "intruder", "steps": [{"count": 1, "cpu": 100}]}
_INTRUDER_JOBS = 0xE000_0000_0000_0000


class Accounts:
    """The accounts of one soak; draws its choices apart from the faults.

    Attributes:
        names: of the accounts.
        contracts: what the settings of the processes put in force.
        weight: jobs per second that each account is entitled to.
    """

    names: tuple[str, ...] = NAMES
    contracts: tuple[str, ...] = (platform_settings.ACCOUNTS_CONTRACT,)
    weight = 100.0

    def __init__(self, seed: int) -> None:
        self._random = random.Random(f"accounts-{seed}")
        self._numbers = itertools.count(1)
        self._keys = {name: [self._new_key()] for name in self.names}
        self._removed: list[tuple[str, str, float]] = []
        self.replaced = self.intruded = 0

    def _new_key(self) -> str:
        return f"key-{next(self._numbers)}-{self._random.getrandbits(64):x}"

    @property
    def document(self) -> list[dict[str, Any]]:
        """The accounts as the operators' configuration has them."""
        return [
            {
                "name": name,
                "api_keys": keys,
                "weight": self.weight,
                "max_count": {"cpu": self.limit_cpu(name)},
            }
            for name, keys in self._keys.items()
        ]

    def fill(self, config: dict[str, Any]) -> None:
        """Completes the operators' configuration."""
        config["tenants"] = self.document

    @property
    def settings(self) -> str:
        """Lines of a process's settings that put accounts in force."""
        return (
            f"contracts={','.join(self.contracts)}\n"
            f"bounds.revoke_ms={REVOKE_S * 1000:.0f}\n"
        )

    def limit_cpu(self, name: str) -> int:
        """Returns what an account may have running; 0 for no limit."""
        del name
        return LIMIT_CPU

    def headers(self, job: jobs.Job) -> tuple[tuple[str, str], ...]:
        """Returns the field with a key of a job's account."""
        return (("X-Api-Key", self._keys[job.account][-1]),)

    def pick(self, job_id: str) -> str:
        """Returns the account that submits a job."""
        return self.names[int(job_id, 16) % len(self.names)]

    def rotate(self, world: worlds.World) -> None:
        """Replaces keys for good: a new one first, then without the old."""
        while True:
            gevent.sleep(self._random.expovariate(1 / ROTATE_S))
            name = self._random.choice(self.names)
            old = self._keys[name][0]
            self._keys[name] = [old, self._new_key()]
            world.configure()
            gevent.sleep(self._random.random())
            self._keys[name] = self._keys[name][1:]
            world.configure()
            self._removed.append((name, old, world.promises.now))
            self.replaced += 1

    def cut_off(self, world: worlds.World) -> None:
        """Cuts one machine after the other off the store for a long time.

        Such a machine does not learn that a key was removed.
        """
        while True:
            link = self._random.choice(list(world.store_links.values()))
            until = world.promises.now + CUT_S
            while world.promises.now < until:
                # Other faults on the same link take its harm back.
                link.harm(relays.Harm.SILENT)
                gevent.sleep(INTRUDE_S)
            link.harm(relays.Harm.NONE)
            gevent.sleep(self._random.expovariate(1 / ROTATE_S))

    def intrude(self, world: worlds.World) -> None:
        """Calls with keys that must not work, and judges the answers."""
        with plain_http.open_client(clocks.SystemClock()) as client:
            while True:
                gevent.sleep(self._random.expovariate(1 / INTRUDE_S))
                self._intrude_once(client, world)

    def _intrude_once(
        self, client: plain_http.PlainClient, world: worlds.World
    ) -> None:
        known = list(world.promises.records.values())
        now = world.promises.now
        dead = [item for item in self._removed if now - item[2] > REVOKE_S]
        _, key, removed_at = self._random.choice(
            [("", _UNKNOWN_KEY, 0.0), *dead]
        )
        method = self._random.choice(("GET", "POST", "DELETE"))
        number = _INTRUDER_JOBS + self.intruded
        job_id = f"{number:016x}"
        if known and method != "POST":
            job_id = self._random.choice(known).job.job_id
        body = json.dumps(_BODY).encode() if method == "POST" else b""
        edge = self._random.choice(world.edges)
        self.intruded += 1
        sent = client.call(
            edge.entry,
            method,
            f"/q/{job_id}",
            body,
            (("X-Api-Key", key),),
            clients.TIMEOUT_S,
        )
        if isinstance(sent, minions.Answered) and sent.answer.status < 300:
            world.promises.breach(
                "keys",
                f"{edge.name} served {method} {job_id}, sent at {now:.2f} "
                f"with a key removed at {removed_at:.2f}",
            )

    def judge_start(
        self, promises: promise_lib.Promises, order: fleet.StartRequest
    ) -> None:
        """Judges what an account has running once a task has started."""
        record = promises.records.get(order.task.job_id)
        if record is None or not record.job.account:
            return
        account = record.job.account
        running = [
            step.cpu
            for other, step in promises.running_steps()
            if other.account == account
        ]
        step = record.job.steps[order.task.step]
        limit = self.limit_cpu(account)
        if limit and sum(running) > limit * OVERAGE + step.cpu:
            promises.breach(
                "limits",
                f"{account} has {sum(running)} running with {order.task}, its "
                f"limit is {limit}",
            )
