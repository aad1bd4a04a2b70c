"""The processes, the platform and the links of one soak."""

from collections.abc import Iterator
import contextlib
import dataclasses
import functools
import pathlib
import random
import time
from typing import Any
from typing import Protocol

import gevent

from soak import promises as promise_lib
from standins import advice_http
from standins import edge_http
from standins import edge_processes
from standins import relays
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

EDGES = 3
TASK_S = 0.4
"""How long each task runs; several holds of an instance."""

CLOCK_S = 0.02
"""How often the soak's clock is read."""


@dataclasses.dataclass(frozen=True)
class Scale:
    """Size of a soak's fleet, of its services and of its waves.

    Attributes:
        instances: number of machines, each with an instance.
        services: number of services whose tasks last.
        tasks: tasks of each service.
        tasks_per_instance: how many tasks of a service an instance may run.
        wave_share: least share of the machines that a wave contains.
        wave_limit: most machines of a wave that may be down at once; each wave
            draws its own limit.
    """

    instances: int = 4
    services: int = 2
    tasks: int = 3
    tasks_per_instance: int = 1
    wave_share: float = 1.0
    wave_limit: int = 1


SMALL = Scale()
LARGE = Scale(
    instances=8,
    services=3,
    tasks=8,
    tasks_per_instance=3,
    wave_share=0.6,
    wave_limit=3,
)
"""Machines run several tasks of each service, so that draining them takes
longer than a wave waits, and waves share some of their machines."""


class Accounts(Protocol):
    """The client accounts of a soak; see ``soak.accounts``."""

    def fill(self, config: dict[str, Any]) -> None:
        """Completes the operators' configuration."""

    @property
    def settings(self) -> str:
        """Lines of a process's settings that put accounts in force."""

    def headers(self, job: jobs.Job) -> tuple[tuple[str, str], ...]:
        """Returns the fields that a call about a job carries."""

    def pick(self, job_id: str) -> str:
        """Returns the account that submits a job."""

    def judge_start(
        self, promises: promise_lib.Promises, order: fleet.StartRequest
    ) -> None:
        """Judges what an account has running once a task has started."""


@dataclasses.dataclass
class World:
    """All that faults may harm, and what watches it.

    Attributes:
        store_links: by machine, the way to the store and the machine list.
        instance_links: by instance, the way of all machines to it.
        random: where all choices of the soak come from.
        advice: issues the tickets of the queue; None if it needs none.
    """

    platform: edge_http.EdgePlatform
    edges: list[edge_processes.Edge]
    store_links: dict[str, relays.Relay]
    instance_links: dict[str, relays.Relay]
    promises: promise_lib.Promises
    random: random.Random
    accounts: Accounts | None = None
    scale: Scale = SMALL
    advice: advice_http.AdviceService | None = None
    version: int = 1
    waves: int = 0

    @property
    def parts(self) -> list[str]:
        """The parts that hold what clients hand in."""
        return self.platform.rows.parts("job")

    def owner(self) -> edge_processes.Edge | None:
        """Returns the process that owns the fleet, if one seems to."""
        holder = self.platform.rows.owner()
        return next((edge for edge in self.edges if edge.name == holder), None)

    def account_of(self, job_id: str) -> str:
        """Returns the client account that submits a job; empty for none."""
        return self.accounts.pick(job_id) if self.accounts else ""

    def configure(self) -> None:
        """Writes the operators' next configuration."""
        self.version += self.random.randint(1, 5)
        document = edge_processes.config(self.version)
        if self.accounts is not None:
            self.accounts.fill(document)
        if self.advice is not None:
            self.advice.fill(document)
        self.platform.rows.write("op", "config", document)

    def order_wave(self, seconds: float) -> None:
        """Has machines due for upkeep."""
        self.waves += 1
        machines = self.platform.machine_names
        max_count = 1
        if self.scale.wave_share < 1:
            least = round(self.scale.wave_share * len(machines))
            count = self.random.randint(least, len(machines))
            machines = self.random.sample(machines, count)
            max_count = self.random.randint(1, self.scale.wave_limit)
        document = {
            "wave": self.waves,
            "machines": machines,
            "duration_s": seconds,
            "max_count": max_count,
        }
        self.platform.rows.write("op", f"wave/{self.waves}", document)

    def heal(self) -> None:
        """Takes all harm away and starts what does not run."""
        self.platform.rows.down = False
        self.platform.rows.lose_answers = False
        self.platform.rows.lose_every = 0
        self.platform.rows.parts_away.clear()
        if self.advice is not None:
            self.advice.heal()
        links = [*self.store_links.values(), *self.instance_links.values()]
        for link in links:
            link.harm(relays.Harm.NONE)
        for edge in self.edges:
            if not edge.runs:
                edge.restart()


def _keep_time(
    clock: promise_lib.Clock, promises: promise_lib.Promises
) -> None:
    began = time.monotonic()
    while True:
        clock.now = time.monotonic() - began
        promises.look()
        gevent.sleep(CLOCK_S)


@contextlib.contextmanager
def running(
    seed: int,
    folder: pathlib.Path,
    accounts: Accounts | None = None,
    scale: Scale = SMALL,
    advice: advice_http.AdviceService | None = None,
) -> Iterator[World]:
    """Yields a running world and ends all its processes by their ids.

    Args:
        seed: of all choices.
        folder: where logs of the processes are left.
        accounts: the client accounts; None where no call needs a key.
        scale: size of the fleet.
        advice: issues the tickets of the queue; None if it needs none.
    """
    with contextlib.ExitStack() as stack:
        clock = promise_lib.Clock()
        promises = promise_lib.Promises(clock)
        timer = gevent.spawn(_keep_time, clock, promises)
        stack.callback(timer.kill)
        platform = edge_http.EdgePlatform(scale.instances, TASK_S, promises)
        document = edge_processes.config()
        settings = ""
        if accounts is not None:
            accounts.fill(document)
            settings = accounts.settings
            promises.judge_start = functools.partial(
                accounts.judge_start, promises
            )
        if advice is not None:
            advice.fill(document)
            settings += f"advice={advice.address}\n"
            stack.enter_context(advice.serving())
        platform.rows.write("op", "config", document)
        instance_links = {}
        for instance in platform.instances:
            link = stack.enter_context(
                relays.run(instance.address, lambda: clock.now)
            )
            instance.put_behind(link)
            instance.advice = advice
            instance_links[instance.model.registration.instance] = link
            promises.watch(instance.model)
        stack.enter_context(platform.serving())
        edges = []
        store_links = {}
        for number in range(EDGES):
            name = f"edge-{number}"
            link = stack.enter_context(relays.run(platform.address))
            store_links[name] = link
            edge = edge_processes.Edge(
                name, folder, link.address, link.address, settings
            )
            stack.callback(edge.kill)
            edges.append(edge)
        yield World(
            platform,
            edges,
            store_links,
            instance_links,
            promises,
            random.Random(seed),
            accounts,
            scale,
            advice,
        )
