"""A wide job is given up because minions crash under it twice."""

import asyncio
import collections
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world3  # noqa: E402

MINIONS = 7
TASKS = 600
WORK_S = 9.0
DOWN_S = 4.0
CRASHES = 2
JOB = f"{1:016x}"


def _busiest(world):
    return max(world.minions, key=lambda minion: len(minion.running))


async def play(folder, trouble, lines):
    """Returns whether LOST was broken."""
    world = world3.World(folder, 3)
    capacity = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}
    world.minions = [
        world3.Minion(world, number, "pool", ("a", f"r{number // 4}"), capacity)
        for number in range(MINIONS)
    ]
    with world3.running(world, lines):
        await world.configure(
            1, [world3.route("quotes", "pool")], [{"name": "pool"}]
        )
        await world.start()
        step = {
            "count": TASKS,
            "cpu": 25,
            "mem_mb": 64,
            "estimate_ms": int(WORK_S * 1000),
        }
        body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [step]}
        path = f"/quotes/{JOB}"
        status, _ = await world.request(world.edges[0], "POST", path, body)
        if status != 200:
            raise RuntimeError(f"the job was not accepted: {status}")
        for _ in range(CRASHES if trouble else 0):
            if not await world.until(
                lambda: len(_busiest(world).running) > 500, 15
            ):
                raise RuntimeError("the tasks did not start in time")
            await asyncio.sleep(1.0)
            minion = _busiest(world)
            world.note("to-crash", minion=minion.name, runs=len(minion.running))
            minion.crash()
            await asyncio.sleep(DOWN_S)
            await minion.start()
        state = ""
        for _ in range(90):
            await asyncio.sleep(0.5)
            status, answer = await world.request(world.edges[1], "GET", path)
            state = answer.get("state", "") if status == 200 else ""
            if state in ("completed", "failed", "cancelled"):
                break
    ends = collections.Counter(event["how"] for event in world.found("end"))
    broken = state in ("failed", "cancelled") and not ends["failed"]
    lines.append(f"crashes: {world.found('to-crash')}")
    lines.append(f"ends that minions listed: {dict(ends)}")
    lines.append(f"the job is shown as {state}")
    return broken


if __name__ == "__main__":
    world3.main(
        play,
        pathlib.Path(__file__).parent,
        os.environ.get("TROUBLE", "1") != "0",
    )
