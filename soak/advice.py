"""A queue that needs tickets, and faults of the service that issues them.

All processes share one queue of calls there, as if they ran on one machine.
"""

import random

import gevent

from soak import clients
from soak import faults
from soak import promises as promise_lib
from soak import world as worlds
from standins import advice_http
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.transport import plain_http

FIRST_OF_BURST = 0xB000_0000_0000_0000
"""Ids of the jobs of bursts count from here."""

ALWAYS_GOOD = ("i-0", "i-1", "i-2")
"""Instances that may run all steps: as many as a service has tasks, of which no
two share an instance."""

BURST_BODY = {
    "spec": "d",
    "steps": [
        {"count": 2, "cpu": 500, "mem_mb": 100, "estimate_ms": 400},
        {"count": 1, "cpu": 500, "mem_mb": 100, "after": [0]},
    ],
}

SERVICE_FAULTS = (
    "advice-burst",
    "advice-slow",
    "advice-stuck",
    "advice-loses-answers",
    "advice-away",
)

FAULT_NAMES = (
    *SERVICE_FAULTS,
    "advice-burst",
    "kill-owner",
    "kill",
    "freeze",
    "configure",
    "store-loses-some",
    "instances-start-again",
)
"""The faults of a soak with advice; bursts are the most frequent."""


def draw_service(seed: int) -> advice_http.AdviceService:
    """Returns a service whose settings follow from a seed."""
    rng = random.Random(seed)
    config = fleet.AdvisorConfig(
        decision_ms=rng.choice((5.0, 20.0, 40.0)),
        period_ms=rng.choice((1.0, 4.0)),
        validity_ms=rng.choice((1000.0, 3000.0)),
    )
    return advice_http.AdviceService(
        config, rng.choice((0.5, 0.8)), ALWAYS_GOOD
    )


def summary(service: advice_http.AdviceService) -> str:
    """Returns what a service had to do."""
    return (
        f"{service.answered} calls for advice answered, {service.refused} "
        f"refused, {service.named} instances named"
    )


def _service(world: worlds.World) -> advice_http.AdviceService:
    if world.advice is None:
        raise ValueError("this fault needs a soak with an advice service")
    return world.advice


@faults.ADVICE_FAULTS.register("advice-slow")
def slow(world: worlds.World, seconds: float) -> None:
    """Calls take many times as long."""
    service = _service(world)
    service.slowdown = world.random.uniform(3.0, 30.0)
    gevent.sleep(seconds)
    service.slowdown = 1.0


@faults.ADVICE_FAULTS.register("advice-stuck")
def stuck(world: worlds.World, seconds: float) -> None:
    """Calls wait until the service goes on."""
    service = _service(world)
    service.is_stuck = True
    gevent.sleep(seconds)
    service.is_stuck = False


@faults.ADVICE_FAULTS.register("advice-loses-answers")
def loses_answers(world: worlds.World, seconds: float) -> None:
    """Calls are handled and not answered."""
    service = _service(world)
    service.loses_answers = True
    gevent.sleep(seconds)
    service.loses_answers = False


@faults.ADVICE_FAULTS.register("advice-away")
def away(world: worlds.World, seconds: float) -> None:
    """The service refuses connections and drops the calls that wait."""
    service = _service(world)
    if service.is_away:
        return
    with service.away():
        gevent.sleep(seconds)


@faults.ADVICE_FAULTS.register("advice-burst")
def burst(world: worlds.World, seconds: float) -> None:
    """Many jobs come within a moment."""
    count = world.random.randint(10, 30)
    first = FIRST_OF_BURST + world.random.getrandbits(32) * 100
    with plain_http.open_client(clocks.SystemClock()) as client:
        for number in range(first, first + count):
            job_id = f"{number:016x}"
            record = promise_lib.JobRecord(clients.parse(BURST_BODY, job_id))
            world.promises.records[job_id] = record
            clients.hand_in(client, world, record, BURST_BODY)
    gevent.sleep(seconds)
