"""A minion that starts again as another kind gets work of its former kind."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[2]))

import world3  # noqa: E402

MINIONS = 8
TASKS = 160
WORK_S = 0.3
DOWN_S = 0.1
FIRST_BEAT_S = 1.0
KIND = "ka"
OTHER_KIND = "kb"


def _labels(world):
    """Returns the labels of each life of each minion."""
    return {
        (event["minion"], event["life"]): event["labels"]
        for event in world.found("minion-up")
    }


async def play(folder, trouble, lines):
    """Returns whether ROUTE was broken."""
    world = world3.World(folder, 3)
    capacity = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}
    world.minions = [
        world3.Minion(world, number, "pool", (KIND, f"r{number}"), capacity)
        for number in range(MINIONS)
    ]
    with world3.running(world, lines):
        await world.configure(
            1, [world3.route("quotes", "pool")], [{"name": "pool"}]
        )
        await world.start()
        step = {
            "count": TASKS,
            "cpu": 15_000,
            "mem_mb": 1024,
            "estimate_ms": int(WORK_S * 1000),
            "requires": KIND,
        }
        body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [step]}
        path = f"/quotes/{1:016x}"
        status, _ = await world.request(world.edges[0], "POST", path, body)
        if status != 200:
            raise RuntimeError(f"the job was not accepted: {status}")
        if not await world.until(lambda: len(world.found("start")) >= 6, 10):
            raise RuntimeError("no tasks started in time")
        if trouble:
            minion = world.minions[0]
            minion.crash()
            minion.labels = [OTHER_KIND, "r0"]
            minion.heartbeat_phase_s = FIRST_BEAT_S
            await asyncio.sleep(DOWN_S)
            await minion.start()
        await asyncio.sleep(14.0)
        await world.request(world.edges[1], "GET", path)
    labels = _labels(world)
    broken = [
        event
        for event in world.found("start")
        if KIND not in labels[event["minion"], event["life"]]
    ]
    lines.append(f"starts: {len(world.found('start'))}")
    lines.append(f"starts that break ROUTE: {len(broken)}, {broken[:3]}")
    return bool(broken)


if __name__ == "__main__":
    world3.main(
        play,
        pathlib.Path(__file__).parent,
        os.environ.get("TROUBLE", "1") != "0",
    )
