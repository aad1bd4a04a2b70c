"""Prints buffer cost, roll-out and moves beside baselines and lower bounds.

``python -m standins.measure_measures`` plans for both deployments and for the
target size, and writes JSON. Seconds of a roll-out are modelled: rounds times
the constants of ``wave_plan``. Only the cost of planning is timed.
"""

from collections.abc import Callable
import dataclasses
import json
import math
import pathlib
import random
import time
import tracemalloc
from typing import Any

import cattrs
import click

from standins import measurements
from standins import target
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import pool_demand
from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.protocol import platform
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder
from vanillaswitch.state import rows

EXAMPLES = ("mare-dues", "larkspur")
SHARES = (0.1, 0.5, 1.0)
SEEDS = 20
TIMES = 5
GROWTHS = (2.0, 4.0, 10.0)
FAILURE_RATES = (0.05, 0.5, 1.0)
"""Share of instances that don't come back from a bad version."""

LEAST_RATIO, MOST_RATIO = 0.5, 3.0
"""Real over declared size of a job."""


@dataclasses.dataclass(frozen=True)
class World:
    """A deployment: its configuration and its listed instances."""

    config: config_lib.Config
    listings: tuple[platform.Listing, ...]


def example(name: str) -> World:
    """Returns a deployment of ``examples``."""
    path = pathlib.Path("examples") / name
    fleet = json.loads((path / "fleet.json").read_text())
    kind = tuple[platform.Listing, ...]
    listings = cattrs.structure(fleet["instances"], kind)
    return World(check.check(folder.read(path / "config")), listings)


def target_world(share: float) -> World:
    """Returns a share of the target size."""
    size = target.scaled(share)
    document = folder.Loaded(target.document(size), {})
    return World(check.check(document), target.listings(size))


def adopted(world: World) -> fleet_state.Fleet:
    """Returns the fleet as it is after each instance got its first pool."""
    workers = [
        move_planner.PoolWorker(one.instance, f"{one.data_centre}/{one.rack}")
        for one in world.listings
        if one.kind is platform.InstanceKind.WORKER
    ]
    needs = {name: pool.workers for name, pool in world.config.pools.items()}
    planned = move_planner.plan_fewest_moves(
        {spare_capacity.SPARE_POOL: workers}, needs
    )
    pools = {move.worker: move.target for move in planned}
    members = {
        one.instance: _member(world, one, pools.get(one.instance, ""))
        for one in world.listings
        if one.kind is not platform.InstanceKind.ENTRY
    }
    return fleet_state.Fleet(members, {}, {})


def _member(
    world: World, listing: platform.Listing, pool: str
) -> fleet_state.Member:
    if listing.kind is platform.InstanceKind.WORKER:
        found = world.config.pools.get(pool)
        service = found.service if found else ""
    else:
        pool = service = listing.service
    row = rows.Instance(
        pool or spare_capacity.SPARE_POOL,
        listing.kind,
        service,
        listing.data_centre,
        listing.rack,
    )
    status = platform.InstanceStatus(
        listing.instance, platform.MaintenancePhase.SERVING, "", 0, 1
    )
    return fleet_state.Member(listing.instance, 1, row, listing, status)


def without_rack(fleet: fleet_state.Fleet) -> fleet_state.Fleet:
    """Returns the fleet after the loss of the rack with most workers."""
    by_rack: dict[str, set[str]] = {}
    for member in pool_demand.list_workers(fleet):
        by_rack.setdefault(member.domain, set()).add(member.name)
    rack = max(by_rack, key=lambda name: (len(by_rack[name]), name))
    members = {
        name: dataclasses.replace(member, listing=None, status=None)
        if name in by_rack[rack]
        else member
        for name, member in fleet.members.items()
    }
    return dataclasses.replace(fleet, members=members)


def buffer_cost(world: World, fleet: fleet_state.Fleet) -> list[dict[str, Any]]:
    """Returns spare workers over all, with so many down in maintenance."""
    calm = pool_demand.service_demands(fleet, world.config)
    workers = len(pool_demand.list_workers(fleet))
    figures = []
    for planned in range(max(demand.max_down for demand in calm) + 1):
        demands = [
            dataclasses.replace(one, in_maintenance=min(planned, one.max_down))
            for one in calm
        ]
        bound = spare_capacity.min_spare_size(demands)
        found: dict[str, Any] = {"planned_per_service": planned}
        for name in spare_capacity.SIZING_POLICIES.names:
            size = spare_capacity.SIZING_POLICIES.get(name)(demands)
            gaps = spare_capacity.uncovered_racks(
                demands, spare_capacity.place_spares(demands, size)
            )
            found[name] = {
                "spare": size,
                "cost": round(size / (workers + size), 4),
                "worst_gap": max(gaps.values(), default=0),
            }
        found["lower_bound"] = bound
        figures.append(found)
    return figures


def roll_out(
    world: World, fleet: fleet_state.Fleet, kind: config_lib.WaveTarget
) -> dict[str, Any]:
    """Returns rounds and modelled seconds of a wave over all services."""
    wave = config_lib.Wave(tuple(world.config.services), kind)
    found: dict[str, Any] = {}
    for name in wave_plan.ORDER_STRATEGIES.names:
        plan = wave_plan.plan_wave(fleet, world.config, wave, name)
        found[name] = {
            "rounds": len(plan.rounds),
            "modelled_s": plan.expected_s,
            "services_that_must_wait": len(plan.cannot),
        }
    targets, rooms = _targets(world, fleet, kind)
    found["growth"] = {
        str(growth): _with_growth(targets, rooms, wave, growth)
        for growth in GROWTHS
    }
    found["rack-at-a-time"]["bad version"] = _bad_version(
        wave_plan.ORDER_STRATEGIES.get("rack-at-a-time")(targets, rooms, wave)
    )
    found["lower_bound_rounds"] = {
        "any": wave_plan.min_rounds(targets, rooms),
        "canary and growth": wave_plan.min_growing_rounds(targets, rooms, wave),
    }
    return found


def _with_growth(
    targets: list[wave_plan.WaveTargetInstance],
    rooms: dict[str, int],
    wave: config_lib.Wave,
    growth: float,
) -> dict[str, Any]:
    grown = dataclasses.replace(wave, growth=growth)
    rounds = wave_plan.ORDER_STRATEGIES.get("growing")(targets, rooms, grown)
    kind = wave_plan.KIND_BY_TARGET[wave.targets]
    return {
        "rounds": len(rounds),
        "modelled_s": wave_plan.estimate_duration_s(len(rounds), kind),
        "bad version": _bad_version(rounds),
    }


def _bad_version(rounds: wave_plan.Rounds) -> dict[str, float]:
    """Returns how many instances a bad version takes down, by its rate.

    The mean when each instance fails by itself at that rate and the wave
    stops after the first round with a failure.
    """
    found = {}
    for rate in FAILURE_RATES:
        reached, lost = 1.0, 0.0
        for names in rounds:
            lost += reached * rate * len(names)
            reached *= (1.0 - rate) ** len(names)
        found[str(rate)] = round(lost, 1)
    return found


def _targets(
    world: World, fleet: fleet_state.Fleet, kind: config_lib.WaveTarget
) -> tuple[list[wave_plan.WaveTargetInstance], dict[str, int]]:
    instance_kind = wave_plan.KIND_BY_TARGET[kind]
    rooms = {
        service: budgets.headroom(fleet, world.config, service, instance_kind)
        for service in world.config.services
    }
    targets = [
        wave_plan.WaveTargetInstance(member.name, service, member.domain)
        for service, room in rooms.items()
        if room > 0
        for member in budgets.members_of(fleet, service, instance_kind)
        if budgets.down_reason(member, {}) is None
    ]
    return targets, rooms


def move_counts(
    held: move_planner.WorkersByPool, needs: move_planner.RequiredWorkers
) -> dict[str, Any]:
    """Returns how many workers change pool, and what stays missing."""
    found: dict[str, Any] = {}
    for name in move_planner.MOVE_PLANNERS.names:
        planned = move_planner.MOVE_PLANNERS.get(name)(held, needs)
        found[name] = {
            "moves": len(planned),
            "still_missing": _missing_after(held, needs, planned),
        }
    found["lower_bound"] = move_planner.min_moves(held, needs)
    return found


def _missing_after(
    held: move_planner.WorkersByPool,
    needs: move_planner.RequiredWorkers,
    planned: tuple[move_planner.Move, ...],
) -> int:
    counts = {pool: len(workers) for pool, workers in held.items()}
    for move in planned:
        counts[move.source] -= 1
        counts[move.target] = counts.get(move.target, 0) + 1
    return sum(
        max(0, need - counts.get(pool, 0))
        for pool, need in needs.items()
        if pool != spare_capacity.SPARE_POOL
    )


def with_spares(
    world: World, fleet: fleet_state.Fleet, count: int
) -> dict[str, list[move_planner.PoolWorker]]:
    """Returns the workers of each pool, with so many spares in other racks."""
    lost = {m.name for m in fleet.members.values() if m.status is None}
    held = pool_demand.workers_by_pool(fleet, lost)
    held[spare_capacity.SPARE_POOL] = [
        move_planner.PoolWorker(
            f"spare-{number:03}", f"spare/{number // target.RACK}"
        )
        for number in range(count)
    ]
    return {**{pool: [] for pool in world.config.pools}, **held}


def real_needs(world: World, rng: random.Random) -> dict[str, int]:
    """Returns what pools need when each job's declared size is wrong.

    A pool keeps the workers that it is meant to have in any case.
    """
    cores: dict[str, float] = {}
    for job in world.config.jobs.values():
        ratio = rng.uniform(LEAST_RATIO, MOST_RATIO)
        used = job.tasks * job.cores * ratio
        cores[job.pool] = cores.get(job.pool, 0.0) + used
    return {
        name: max(pool.workers, math.ceil(cores.get(name, 0.0) / target.CORES))
        for name, pool in world.config.pools.items()
    }


def moves_of(world: World, fleet: fleet_state.Fleet) -> dict[str, Any]:
    """Returns moves when calm, with a rack lost, and with sizes wrong.

    All planners have one guard for each pool to draw on, so that they are
    compared on equal terms.
    """
    spares = len(world.config.pools)
    needs = {name: pool.workers for name, pool in world.config.pools.items()}
    lost = with_spares(world, without_rack(fleet), spares)
    held = with_spares(world, fleet, spares)
    wrong = [
        move_counts(held, real_needs(world, random.Random(seed)))
        for seed in range(SEEDS)
    ]
    return {
        "calm": move_counts(held, needs),
        "rack lost": move_counts(lost, needs),
        "sizes wrong": {
            name: {
                "moves": _mean([run[name]["moves"] for run in wrong]),
                "still_missing": _mean(
                    [run[name]["still_missing"] for run in wrong]
                ),
            }
            for name in move_planner.MOVE_PLANNERS.names
        }
        | {"lower_bound": _mean([run["lower_bound"] for run in wrong])},
    }


def _mean(values: list[int]) -> float:
    return round(sum(values) / len(values), 1)


def planning_cost(world: World) -> dict[str, Any]:
    """Returns processor time and memory of one round of planning."""
    fleet = adopted(world)
    wave = config_lib.Wave(
        tuple(world.config.services), config_lib.WaveTarget.WORKERS
    )

    def plan() -> None:
        needs = pool_demand.required_workers(fleet, world.config)
        move_planner.plan_fewest_moves(
            pool_demand.workers_by_pool(fleet), needs
        )
        wave_plan.plan_wave(fleet, world.config, wave)

    return {
        "workers": len(pool_demand.list_workers(fleet)),
        "pools": len(world.config.pools),
        "cpu_ms": sorted(_cpu_ms(plan) for _ in range(TIMES))[TIMES // 2],
        "peak_kib": _peak_kib(plan),
    }


def _cpu_ms(act: Callable[[], None]) -> float:
    began = time.process_time()
    act()
    return round(1000 * (time.process_time() - began), 2)


def _peak_kib(act: Callable[[], None]) -> int:
    tracemalloc.start()
    act()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return peak // 1024


def measures(world: World) -> dict[str, Any]:
    """Returns the three measures of one deployment."""
    fleet = adopted(world)
    lost = without_rack(fleet)
    targets = config_lib.WaveTarget
    return {
        "workers": len(pool_demand.list_workers(fleet)),
        "pools": len(world.config.pools),
        "buffer": buffer_cost(world, fleet),
        "roll-out": {
            "minions": roll_out(world, fleet, targets.MINIONS),
            "workers": roll_out(world, fleet, targets.WORKERS),
            "workers, rack lost": roll_out(world, lost, targets.WORKERS),
        },
        "moves": moves_of(world, fleet),
    }


@measurements.measurement("measures")
def measure_all() -> measurements.Figures:
    """Plans for both deployments and the target, and times planning."""
    worlds = {name: example(name) for name in EXAMPLES}
    worlds["target"] = target_world(1.0)
    figures = [
        {"deployment": name, **measures(world)}
        for name, world in worlds.items()
    ]
    planning = {
        str(share): planning_cost(target_world(share)) for share in SHARES
    }
    return [*figures, {"planning": planning}]


@click.command()
def main() -> None:
    """Prints all measures as JSON."""
    click.echo(json.dumps(measure_all(), indent=1))


if __name__ == "__main__":
    main()
