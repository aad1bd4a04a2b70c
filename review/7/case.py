"""Lasting tasks beyond their tenants' limits keep all other work waiting."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world3  # noqa: E402

MINIONS = 3
CONFIG_APPLY_S = 2.0
FINISH_S = 14.0
WATCH_S = 5.0
TASK_CPU = 800
SHORT_CPU = 1000
CAPACITY = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}


def _tenants(limited):
    """Returns the tenants; a limit of 0 is none."""
    most = {"cpu": 1000 if limited else 0, "mem_mb": 0, "gpu": 0}
    none = {"cpu": 0, "mem_mb": 0, "gpu": 0}
    return [
        {
            "name": f"tenant-{number}",
            "api_keys": [f"key-{number}"],
            "weight": 10.0,
            "max_count": most if number < MINIONS else none,
        }
        for number in range(MINIONS + 1)
    ]


async def play(folder, trouble, lines):
    """Returns whether LOST was broken."""
    world = world3.World(folder, 3)
    world.contracts = (*world3.CONTRACTS, "tenants", "quota")
    world.minions = [
        world3.Minion(world, number, "pool", ("a", f"r{number}"), CAPACITY)
        for number in range(MINIONS)
    ]
    with world3.running(world, lines):
        routes = [world3.route("quotes", "pool")]
        services = [{"name": "pool"}]
        await world.configure(1, routes, services, _tenants(False))
        await world.start()
        if trouble:
            world.note("config", version=2, tenants=_tenants(True))
            await world.configure(2, routes, services, _tenants(True))
        await asyncio.sleep(CONFIG_APPLY_S)
        lasting = {
            "spec": json.dumps({"lasts": True}),
            "steps": [
                {
                    "count": 2,
                    "cpu": TASK_CPU,
                    "mem_mb": 256,
                    "long_running": True,
                }
            ],
        }
        for number in range(MINIONS):
            status, _ = await world.request(
                world.edges[0],
                "POST",
                f"/quotes/{number + 1:016x}",
                lasting,
                f"key-{number}",
            )
            if status != 200:
                raise RuntimeError(f"a job was not accepted: {status}")
        await asyncio.sleep(3.0)
        short = {
            "spec": json.dumps({"work_s": 0.5}),
            "steps": [
                {
                    "count": 1,
                    "cpu": SHORT_CPU,
                    "mem_mb": 256,
                    "estimate_ms": 500,
                }
            ],
        }
        path = f"/quotes/{255:016x}"
        key = f"key-{MINIONS}"
        status, _ = await world.request(
            world.edges[0], "POST", path, short, key
        )
        if status != 200:
            raise RuntimeError(f"the short job was not accepted: {status}")
        # This was the end of the traffic.
        await asyncio.sleep(FINISH_S + WATCH_S)
        used = sum(TASK_CPU * len(minion.running) for minion in world.minions)
        _, answer = await world.request(world.edges[1], "GET", path, None, key)
    starts = world.found("start", task=f"{255:016x}.0.0.0")
    share = used / (MINIONS * CAPACITY["cpu"])
    lines.append(f"starts of the short job's task: {starts}")
    lines.append(f"share of the service's capacity in use: {share:.2f}")
    lines.append(f"the short job is shown as {answer}")
    return not starts and share < 0.5


if __name__ == "__main__":
    world3.main(
        play,
        pathlib.Path(__file__).parent,
        os.environ.get("TROUBLE", "1") != "0",
    )
