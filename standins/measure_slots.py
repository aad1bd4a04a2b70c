"""Measures the routing policies on the real decisions and a virtual clock.

    python -m standins.measure_slots --seeds 3 --seconds 20 > slots.json

One run is one service of today's sizes: 8 entries and 6 minions of 8 slots in
three data centres, with the brief's latencies; the five services of a fleet
share no minion, so 30 minions are five such runs side by side. Calls arrive at
random moments, their work times are exponential. What processors and sockets
cost is left out on purpose; see docs/adr/0006-slots.md.
"""

import concurrent.futures
import contextlib
import dataclasses
import functools
import itertools
import json
import random
from typing import Any

import click

from standins import slots_entry
from standins import slots_forwarding
from standins import slots_world
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.coordination.entry import routing
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib

ENTRIES = 8
MINIONS = 6
SLOTS = 8
WARM_UP_S = 5.0
LOADS = (0.5, 0.8, 0.95, 1.2)
CONDITIONS = ("calm", "slow", "dead", "silent", "killed", "skewed")
SLOW_FACTOR = 5.0
SKEW = 3.0

_IDEMPOTENT, _ONCE = config_lib.RequestKind
_CLASS = config_lib.RequestClass
TRAFFIC = (
    slots_world.Traffic(
        "quote", _CLASS(0, _IDEMPOTENT, 6, 64, 20), 0.4, 0.02, 1.0
    ),
    slots_world.Traffic("charge", _CLASS(1, _ONCE, 3, 64, 40), 0.2, 0.04, 2.0),
    slots_world.Traffic(
        "reconciliation", _CLASS(9, _IDEMPOTENT, 1, 32, 300), 0.4, 0.3, 10.0
    ),
)


@dataclasses.dataclass(frozen=True)
class Case:
    """One run.

    Attributes:
        load: work that arrives, as a share of all slots.
    """

    policy: str
    load: float
    condition: str
    seed: int
    seconds: float = 20.0


class World:
    """Entries, minions and callers of one run."""

    def __init__(self, case: Case):
        self._case = case
        self._rng = random.Random(f"{case.seed}/{case.load}")
        self._events = slots_world.Events()
        self._config = _config(case.policy)
        view = self._fleet()
        minions = view.available_minions(slots_world.SERVICE, self._config, 0.0)
        self._minions = {
            one.instance: slots_world.MinionModel(self._events, one)
            for one in minions
        }
        names = [f"entry-{number}" for number in range(ENTRIES)]
        self._entries = {
            name: self._entry(name, number) for number, name in enumerate(names)
        }
        for name, entry in self._entries.items():
            entry.others = {
                other: one
                for other, one in self._entries.items()
                if other != name
            }
            self._events.after(self._rng.uniform(0, 0.5), entry.tick)
        self._forwarder = slots_forwarding.Forwarder(
            self._events, self._rng, self._entries, list(self._minions)
        )
        self._tallies = {one.name: slots_world.Tally() for one in TRAFFIC}

    def run(self) -> dict[str, Any]:
        """Runs the case and returns its figures."""
        for traffic in TRAFFIC:
            self._next(traffic)
        self._events.run(WARM_UP_S)
        self._break()
        for minion in self._minions.values():
            minion.reset()
        counted = self._attempts()
        until = WARM_UP_S + self._case.seconds
        self._events.run(until)
        firsts, retries = (
            after - before
            for before, after in zip(counted, self._attempts(), strict=True)
        )
        return self._figures(firsts, retries)

    def _fleet(self) -> fleet_view.FleetView:
        fleet = fleet_view.FleetView()
        listed = tuple(
            platform.Listing(
                f"minion-{number}",
                platform.InstanceKind.MINION,
                platform.ListedState.LIVE,
                slots_world.DATA_CENTRES[number % 3],
                "rack",
                f"minion-{number}",
                slots_world.SERVICE,
            )
            for number in range(MINIONS)
        )
        fleet.update_instances(listed, 0.0)
        return fleet

    def _entry(self, name: str, number: int) -> slots_entry.EntryModel:
        return slots_entry.EntryModel(
            name,
            slots_world.DATA_CENTRES[number % 3],
            self._events,
            random.Random(f"{self._case.seed}/{name}"),
            self._config,
            self._fleet(),
            self._minions,
        )

    def _next(self, traffic: slots_world.Traffic) -> None:
        work = self._case.load * MINIONS * SLOTS * traffic.share
        gap = self._rng.expovariate(work / traffic.work_s)
        self._events.after(gap, lambda: self._arrive(traffic))

    def _arrive(self, traffic: slots_world.Traffic) -> None:
        self._next(traffic)
        call = slots_world.draw(self._rng, traffic, self._events.now)
        living = [one for one in self._entries.values() if not one.killed]
        weights = [1.0] * len(living)
        if self._case.condition == "skewed":
            weights[0] = SKEW
        (entry,) = self._rng.choices(living, weights)
        self._tally(call, "sent")
        reply = functools.partial(self._replied, call)
        self._events.after(
            slots_world.CALLER_S, lambda: self._take(entry, call, reply)
        )

    def _take(
        self, entry: slots_entry.EntryModel, call: slots_world.Call, reply: Any
    ) -> None:
        if self._case.policy == slots_forwarding.POLICY:
            self._forwarder.take(entry, call, reply)
        else:
            entry.take(call, reply)

    def _replied(
        self, call: slots_world.Call, refusal: requests.Refusal | None
    ) -> None:
        if call.sent < WARM_UP_S:
            return
        tally = self._tallies[call.traffic.name]
        if refusal is None:
            seconds = self._events.now + slots_world.CALLER_S - call.sent
            tally.answered(seconds)
        else:
            tally.refused(refusal)

    def _tally(self, call: slots_world.Call, name: str) -> None:
        if call.sent >= WARM_UP_S:
            self._tallies[call.traffic.name].counts[name] += 1

    def _break(self) -> None:
        first = self._minions["minion-0"]
        match self._case.condition:
            case "slow":
                first.factor = SLOW_FACTOR
            case "dead":
                first.dead = True
            case "silent":
                first.silent = True
            case "killed":
                owner = slots_forwarding.owner_of(
                    "minion-0", list(self._entries)
                )
                self._entries[owner].killed = True

    def _attempts(self) -> tuple[int, int]:
        entries = self._entries.values()
        return (
            sum(one.first_attempts for one in entries),
            sum(one.retries for one in entries),
        )

    def _figures(self, firsts: int, retries: int) -> dict[str, Any]:
        minions = self._minions.values()
        received = sum(one.received for one in minions)
        over = sum(one.over_subscribed for one in minions)
        waits = [wait for one in minions for wait in one.waits]
        return {
            **dataclasses.asdict(self._case),
            "classes": {n: _class(t) for n, t in self._tallies.items()},
            "over_subscribed_percent": round(100 * over / max(1, received), 2),
            "minion_wait_p99_ms": _ms(waits, 0.99),
            "loan_messages": sum(e.messages for e in self._entries.values()),
            "retries_percent": round(100 * retries / max(1, firsts), 2),
        }


def _class(tally: slots_world.Tally) -> dict[str, Any]:
    counts = tally.counts
    return {
        **{
            name: counts[name]
            for name in ("sent", "answered", "not-run", "unknown")
        },
        "without_retry_after": counts["without_retry_after"],
        "p50_ms": _ms(tally.latencies, 0.5),
        "p99_ms": _ms(tally.latencies, 0.99),
    }


def _ms(values: list[float], share: float) -> float:
    return round(1000 * slots_world.quantile(values, share), 1)


def _config(policy: str) -> config_lib.Config:
    service = config_lib.Service(
        config_lib.AvailabilityBudget(1, 1), (), MINIONS, SLOTS
    )
    return config_lib.Config(
        data_centres={},
        classes={},
        services={slots_world.SERVICE: service},
        policies=config_lib.Policies(routing=policy),
    )


def measure(case: Case) -> dict[str, Any]:
    """Runs one case."""
    return World(case).run()


@click.command()
@click.option("--policy", "chosen", multiple=True)
@click.option("--load", "loads", type=float, multiple=True)
@click.option("--condition", "conditions", multiple=True)
@click.option("--seeds", default=3, show_default=True)
@click.option("--seconds", default=20.0, show_default=True)
@click.option("--processes", default=1, show_default=True)
def main(
    chosen: tuple[str, ...],
    loads: tuple[float, ...],
    conditions: tuple[str, ...],
    seeds: int,
    seconds: float,
    processes: int,
) -> None:
    """Prints one JSON line for each run."""
    cases = [
        Case(policy, load, condition, seed, seconds)
        for policy, load, condition, seed in itertools.product(
            chosen or routing.POLICY_REGISTRY.names,
            loads or LOADS,
            conditions or CONDITIONS,
            range(1, seeds + 1),
        )
    ]
    with contextlib.ExitStack() as stack:
        run: Any = map
        if processes > 1:
            pool = concurrent.futures.ProcessPoolExecutor(processes)
            run = stack.enter_context(pool).map
        for figures in run(measure, cases):
            click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
