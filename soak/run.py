"""One soak: load and faults for a while, then everything has to end."""

from collections.abc import Sequence
import dataclasses
import functools
import itertools
import json
import pathlib

import gevent

from soak import accounts as account_lib
from soak import clients
from soak import faults
from soak import lasting
from soak import overload
from soak import promises as promise_lib
from soak import standing
from soak import world as worlds
from standins import advice_http
from standins import edge_processes
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import jobs
from vanillaswitch.transport import plain_http

CLIENTS = 4
GAP_S = 1.0
"""Mean pause between the beginnings of two faults; they last up to
``LONGEST_S``, so that some three overlap."""

LONGEST_S = 4.0
SETTLE_S = 30.0
"""Within this all accepted jobs have to end once nothing is harmed: a lease
of 6 s may lapse twice, and a queue of jobs runs."""

WARM_UP_S = 20.0
"""Longest wait for all processes to be ready; they take some three seconds."""


@dataclasses.dataclass(frozen=True)
class Result:
    """What a soak found.

    Attributes:
        broken: broken promises; empty when all were kept.
        jobs: handed in, accepted and completed.
        faults: names in the order in which they began.
    """

    seed: int
    broken: tuple[str, ...]
    jobs: tuple[int, int, int]
    faults: tuple[str, ...]


def soak(
    seed: int,
    seconds: float,
    folder: pathlib.Path,
    names: Sequence[str] = (),
    accounts: account_lib.Accounts | None = None,
    scale: worlds.Scale = worlds.SMALL,
    advice: advice_http.AdviceService | None = None,
) -> Result:
    """Runs one soak.

    Args:
        seed: of all choices.
        seconds: how long faults come.
        folder: where logs of the processes are left.
        names: the faults that come, the first of them in any case; all of them
            where none is named.
        accounts: the client accounts; None where no call needs a key.
        scale: size of the fleet.
        advice: issues the tickets of the queue; None if it needs none.
    """
    with worlds.running(seed, folder, accounts, scale, advice) as world:
        not_ready = _await_ready(world)
        if not_ready:
            return Result(seed, not_ready, (0, 0, 0), ())
        services = lasting.Services(world)
        services.begin()
        load = accounts if isinstance(accounts, overload.Overload) else None
        numbers = itertools.count(seed * 1_000_000 + 1)
        working = [
            gevent.spawn(_client(world, numbers, load).run)
            for _ in range(CLIENTS)
        ]
        if load is not None:
            load.slow_down(world)
            world.promises.judge_answer = functools.partial(
                load.judge_answer, world.promises
            )
            working.append(gevent.spawn(load.surge, world))
            gevent.sleep(overload.QUIET_S)
            load.is_quiet = False
        # What machines run has to leave them while all else fails.
        world.order_wave(seconds + faults.WAVE_S)
        if accounts is not None and (load is None or load.harms_keys):
            working.append(gevent.spawn(accounts.rotate, world))
            working.append(gevent.spawn(accounts.intrude, world))
            working.append(gevent.spawn(accounts.cut_off, world))
        begun = _harm(world, seconds, names)
        gevent.killall(working)
        if load is not None:
            load.end()
        world.heal()
        services.end(SETTLE_S)
        _bring_to_an_end(world, overload.SETTLE_S if load else SETTLE_S)
        world.promises.judge_refusals(by_last=load is not None)
        for edge in world.edges:
            _judge_blocking(world.promises, edge)
        records = world.promises.records.values()
        accepted = [item for item in records if item.accepted_at is not None]
        completed = [
            item for item in accepted if item.shown == jobs.JobState.COMPLETED
        ]
        return Result(
            seed,
            tuple(world.promises.broken),
            (len(records), len(accepted), len(completed)),
            tuple(begun),
        )


def _client(
    world: worlds.World,
    numbers: "itertools.count[int]",
    load: overload.Overload | None,
) -> clients.Client:
    if load is None:
        return clients.Client(world, numbers)
    return clients.Client(world, numbers, load.submit, overload.PAUSE_S)


def _await_ready(world: worlds.World) -> tuple[str, ...]:
    """Waits for all processes; returns where they stand if that takes long."""
    whys = dict.fromkeys((edge.name for edge in world.edges), "not asked yet")
    with (
        plain_http.open_client(clocks.SystemClock()) as client,
        gevent.Timeout(WARM_UP_S, False),
    ):
        while any(whys.values()):
            for edge in world.edges:
                whys[edge.name] = clients.not_ready(client, edge)
            gevent.sleep(0.1)
    waiting = [edge for edge in world.edges if whys[edge.name]]
    if not waiting:
        return ()
    lines = [
        f"not ready ({whys[edge.name]}), {standing.describe(edge)}"
        for edge in waiting
    ]
    return (*lines, standing.machine(world.edges))


def _harm(
    world: worlds.World, seconds: float, names: Sequence[str]
) -> list[str]:
    begun: list[str] = []
    lasting = []
    until = world.promises.now + seconds

    def begin(name: str) -> None:
        length = world.random.uniform(0.3, LONGEST_S)
        begun.append(name)
        fault = faults.find(name)
        lasting.append(gevent.spawn(fault, world, length))

    while world.promises.now < until:
        begin(world.random.choice(names or faults.FAULTS.names))
        gevent.sleep(world.random.expovariate(1 / GAP_S))
    # A seed fixes the choices but not how many come.
    if names and names[0] not in begun:
        begin(names[0])
    for task in lasting:
        # A fault that itself failed must not pass for one that did no harm.
        task.get()
    return begun


def _judge_blocking(
    promises: promise_lib.Promises, edge: edge_processes.Edge
) -> None:
    """Finds times in which a process was too busy to answer anybody."""
    for line in edge.log.read_bytes().splitlines():
        if b'"event-loop-blocked"' not in line:
            continue
        blocked = json.loads(line)
        if blocked["processor_ms"] > promise_lib.MAX_BLOCKING_S * 1000:
            promises.breach(
                "responsive",
                f"{edge.name} ran {blocked['function']} for"
                f" {blocked['processor_ms']} ms of processor time",
            )


def _bring_to_an_end(world: worlds.World, settle_s: float) -> None:
    """Asks for all accepted jobs until they have ended."""
    open_records = [
        record
        for record in world.promises.records.values()
        if record.accepted_at is not None
    ]
    until = world.promises.now + settle_s
    with plain_http.open_client(clocks.SystemClock()) as client:
        while open_records and world.promises.now < until:
            for record in open_records:
                clients.ask(client, world, record)
            open_records = [item for item in open_records if not _ended(item)]
            gevent.sleep(0.3)
    for record in open_records:
        world.promises.breach(
            "finished", f"{record.job.job_id} is {record.shown or 'not shown'}"
        )


def _ended(record: promise_lib.JobRecord) -> bool:
    return bool(record.shown) and jobs.JobState(record.shown).is_final
