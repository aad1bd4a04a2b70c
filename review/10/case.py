"""A delayed start reaches a minion that has started again under its id."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world3  # noqa: E402

MINIONS = 8
TASKS = 24
WORK_S = 8.0
LATE_S = 4.0
DOWN_S = 2.0


async def play(folder, trouble, lines):
    """Returns whether TWICE was broken."""
    world = world3.World(folder, 3)
    capacity = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}
    world.minions = [
        world3.Minion(world, number, "pool", ("a", f"r{number}"), capacity)
        for number in range(MINIONS)
    ]
    late = []

    def first_is_late(body):
        if late or not trouble:
            return 0
        late.append(body["task"])
        return LATE_S

    for minion in world.minions:
        minion.late = first_is_late
    with world3.running(world, lines):
        await world.configure(
            1, [world3.route("quotes", "pool")], [{"name": "pool"}]
        )
        await world.start()
        step = {
            "count": TASKS,
            "cpu": 500,
            "mem_mb": 256,
            "estimate_ms": int(WORK_S * 1000),
        }
        body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [step]}
        path = f"/quotes/{1:016x}"
        status, _ = await world.request(world.edges[0], "POST", path, body)
        if status != 200:
            raise RuntimeError(f"the job was not accepted: {status}")
        if trouble:
            if not await world.until(lambda: late, 10):
                raise RuntimeError("no start was sent in time")
            name = world.found("start-late")[0]["minion"]
            crashed = next(m for m in world.minions if m.name == name)
            await asyncio.sleep(0.2)
            crashed.crash()
            await asyncio.sleep(DOWN_S)
            await crashed.start()
        await asyncio.sleep(16.0)
        await world.request(world.edges[1], "GET", path)
    broken = world3.twice(world)
    lines.append(f"starts: {len(world.found('start'))}, one of them late")
    lines.append(f"late starts: {world.found('late-start-done')}")
    lines.append(f"starts that break TWICE: {len(broken)}, {broken[:2]}")
    return bool(broken)


if __name__ == "__main__":
    world3.main(
        play,
        pathlib.Path(__file__).parent,
        os.environ.get("TROUBLE", "1") != "0",
    )
