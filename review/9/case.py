"""Freezes the owner while more than 500 tasks of one minion end."""

import asyncio
import json
import os
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent))

import world3  # noqa: E402

JOBS = 3
TASKS = 400
WORK_S = 3.0
FREEZE_S = 3.5


async def play(folder, trouble, lines):
    """Returns whether TWICE was broken."""
    world = world3.World(folder, 3)
    capacity = {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0}
    world.minions = [
        world3.Minion(world, number, "pool", ("a", f"r{number}"), capacity)
        for number in range(3)
    ]
    with world3.running(world, lines):
        await world.configure(
            1, [world3.route("quotes", "pool")], [{"name": "pool"}]
        )
        await world.start()
        step = {
            "count": TASKS,
            "cpu": 12,
            "mem_mb": 16,
            "estimate_ms": int(WORK_S * 1000),
        }
        body = {"spec": json.dumps({"work_s": WORK_S}), "steps": [step]}
        paths = [f"/quotes/{number:016x}" for number in range(1, JOBS + 1)]
        for path in paths:
            status, _ = await world.request(world.edges[0], "POST", path, body)
            if status != 200:
                raise RuntimeError(f"a job was not accepted: {status}")
        if not await world.until(
            lambda: len(world.found("start")) >= JOBS * TASKS, 20
        ):
            raise RuntimeError("not all tasks started in time")
        await world.until(lambda: world.found("end"), 10)
        freeze = None
        if trouble:
            freeze = asyncio.create_task(world.leader().freeze(FREEZE_S))
        await asyncio.sleep(8.0)
        if freeze is not None:
            await freeze
        states = []
        for path in paths:
            _, answer = await world.request(world.edges[1], "GET", path)
            states.append(answer)
        await asyncio.sleep(2.0)
    broken = world3.twice(world)
    firsts = [
        event for event in world.found("first-hold") if event["unacknowledged"]
    ]
    lines.append(f"first calls of a new owner: {firsts}")
    lines.append(f"starts: {len(world.found('start'))} of {JOBS * TASKS} tasks")
    lines.append(f"starts that break TWICE: {len(broken)}, {broken[:2]}")
    lines.append(f"the jobs are shown as {states}")
    return bool(broken)


if __name__ == "__main__":
    world3.main(
        play,
        pathlib.Path(__file__).parent,
        os.environ.get("TROUBLE", "1") != "0",
    )
