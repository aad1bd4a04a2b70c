"""Measures one step of each duty against a fleet of a share of the target.

Each run is a fresh process that does the steps itself, over HTTP against a
stand-in platform in another process, so that processor time and memory are
those of a controller. ``time.process_time`` has no part of the platform's.
"""

from collections.abc import Callable
import concurrent.futures
import dataclasses
import gc
import json
import multiprocessing
import os
import random
import time
from typing import Any

import cattrs

from standins import measurements
from standins import process_stats
from standins import steps_world
from standins import target
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import placement_duty
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.coordination.workloads import worker_calls
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

SHARES = (0.1, 0.5, 1.0)


def _settle(address: str, share: float) -> dict[str, float]:
    with steps_world.open_world(address, share) as world:
        return world.settle()


def _turn(world: steps_world.World, name: str) -> None:
    """Runs a whole placement turn, not only what is done between two."""
    memory = placement_duty._soft_state(world.context(name))
    memory.last_pass_at = None
    world.step(name)


def _renew(world: steps_world.World, name: str) -> None:
    """Renews the leases of a duty's tasks once."""
    context = world.context(name)
    memory = placement_duty._soft_state(context)
    memory.renewal_sent_at.clear()
    worker_calls.renew_leases(context, memory)


def _steps(address: str, share: float) -> dict[str, dict[str, float]]:
    """Measures each kind of step in this process.

    It is that of a controller with one duty of each kind.
    """
    with steps_world.open_world(address, share) as world:
        bare = process_stats.memory(os.getpid()).anonymous
        group = f"{duty_names.POOL_GROUP}/{min(world.config.services)}"
        place = f"{duty_names.PLACEMENT}/{min(world.config.data_centres)}"
        idle_wave = f"{duty_names.WAVE}/wave-workers"
        found = {
            "reading the fleet": world.measured(
                lambda: fleet_state.read_without_statuses(world.outside)
            ),
            "pool-group": world.measured(lambda: world.step(group)),
            "wave at rest": world.measured(lambda: world.step(idle_wave)),
            "placement": world.measured(lambda: _turn(world, place)),
        }
        gc.collect()
        after = process_stats.memory(os.getpid()).anonymous
        workers = len(
            placement_duty._soft_state(
                world.context(place)
            ).operations_by_worker
        )
        return found | {
            "memory": {"anonymous_kib": after, "state_kib": after - bare},
            "renewals": {
                "workers": workers,
                **world.measured(lambda: _renew(world, place)),
            },
            "wave that runs": _running_wave(world),
            "planning": _planning(world),
            "rows": _rows(world),
        }


def _running_wave(world: steps_world.World) -> dict[str, float]:
    """Measures steps of a wave over all minions, in its first rounds."""
    wave = "wave-minions"
    whole = _whole(world)
    plan = wave_plan.plan_wave(whole, world.config, world.config.waves[wave])
    row = wave_state.Wave(
        wave_state.WaveState.RUNNING, wave, plan.rounds, 0.0, plan.expected_s
    )
    put = platform.Put(keys.wave(wave), platform.ABSENT, rows.dump(row))
    # The next process finds the wave running, and goes on with it.
    token = ids.new_id(random.SystemRandom())
    world.outside.table.commit(platform.Transaction(token, (put,)))
    name = f"{duty_names.WAVE}/{wave}"
    return world.measured(lambda: world.step(name))


def _whole(world: steps_world.World) -> fleet_state.Fleet:
    fleet = fleet_state.read_with_statuses(world.outside)
    assert isinstance(fleet, fleet_state.Fleet)
    return fleet


def _rows(world: steps_world.World) -> dict[str, float]:
    found: dict[str, float] = {}
    for prefix in (keys.INSTANCES, keys.BUDGETS, keys.TASKS, keys.JOBS):
        kept = world.rows(prefix)
        size = len(json.dumps([cattrs.unstructure(row) for row in kept]))
        found[f"{prefix} rows"] = len(kept)
        found[f"{prefix} bytes"] = size
    return found


def _planning(world: steps_world.World) -> dict[str, float]:
    """Returns the processor time of each decision, apart from reading."""
    config = world.config
    whole = _whole(world)
    wave = config.waves["wave-workers"]
    inputs = placement_view.ViewInputs(
        placement_view.PlacementSnapshot(whole, {}, {}, {}, {}),
        config,
        frozenset(config.pools),
        {},
        frozenset(),
        {},
    )
    demands = _demands(whole, config)
    view = placement_view.build_view(inputs)
    return {
        "wave_plan_ms": _cpu_ms(
            lambda: wave_plan.plan_wave(whole, config, wave)
        ),
        "placement_view_ms": _cpu_ms(lambda: placement_view.build_view(inputs)),
        "placement_plan_ms": _cpu_ms(lambda: placement.plan(view, config)),
        "tasks_placed": len(placement.plan(view, config).starts),
        "buffer_ms": _cpu_ms(lambda: spare_capacity.size_shared_spare(demands)),
    }


def _demands(
    fleet: fleet_state.Fleet, config: config_lib.Config
) -> list[spare_capacity.ServiceDemand]:
    racks: dict[str, dict[str, int]] = {name: {} for name in config.services}
    for member in fleet.members.values():
        if member.row.kind is platform.InstanceKind.WORKER:
            by_rack = racks[member.row.service]
            by_rack[member.domain] = by_rack.get(member.domain, 0) + 1
    return [
        spare_capacity.ServiceDemand(
            name,
            pool_count=1,
            workers_by_rack=by_rack,
            max_down=config.services[name].availability_budget.workers_down,
        )
        for name, by_rack in racks.items()
    ]


def _cpu_ms(act: Callable[[], object]) -> float:
    began = time.process_time()
    act()
    return 1000 * (time.process_time() - began)


def _fresh(act: Callable[..., Any], *arguments: object) -> Any:
    """Runs a function in a process of its own."""
    spawn = multiprocessing.get_context("spawn")
    with concurrent.futures.ProcessPoolExecutor(1, spawn) as pool:
        return pool.submit(act, *arguments).result()


@measurements.measurement("steps")
def measure_steps() -> measurements.Figures:
    """Measures the steps at a tenth, a half and the whole of the target."""
    figures = []
    for share in SHARES:
        with steps_world.platform_process(share) as address:
            settled = _fresh(_settle, address, share)
            runs = [
                _fresh(_steps, address, share) for _ in range(measurements.RUNS)
            ]
        spreads = {
            part: measurements.spreads([run[part] for run in runs])
            for part in runs[0]
        }
        size = dataclasses.asdict(target.scaled(share))
        figures.append({"share": share, **size, "settling": settled, **spreads})
    return figures
