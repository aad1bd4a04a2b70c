"""The machine API carries moves out, and its answers get lost for some seconds.

A burst of short jobs makes the owner order machines just then. Later a job
with tasks that last is handed in. Exits with 1 if some of these tasks stay
without a run although there is capacity, with 0 if not, and with 2 if the case
could not be run.
"""

import json
import os
import pathlib
import sys
import tempfile
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent))

import edges  # noqa: E402
import outside  # noqa: E402

LASTING = "5c0e7a21d94b36f8"
TASKS = 3
"""Tasks that last; each needs a minion of its own."""

TASK_CPU = 1000
IN_POOL = 1
ON_STANDBY = 6
MIGRATE_S = 1.5
BURST = 30
BURST_AT_S = 3.0
"""After the first job has completed."""

LOST_S = 6.0
CALM_S = 12.0
"""Time from the end of the disruption until the job is handed in."""

START_S = 10.0
"""Time after the hand-in from which each task has to run; the rule says 6 s
for a task that ran before, and a machine needs 1.5 s to arrive."""

WATCH_S = 8.0
"""Time for which tasks without a run are watched; the rule says 3 s."""


def main() -> int:
    """Plays the case and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = outside.Record(str(HERE / "record.txt"))
    platform = outside.Platform("127.0.0.1")
    machines = outside.Machines(
        platform,
        "127.0.0.1",
        record,
        {"pool": IN_POOL, "spare": ON_STANDBY},
        "spare",
        MIGRATE_S,
    )
    platform.machines = machines
    platform.write(
        "op", "config", edges.config(1, edges.route("bills"), standby="spare")
    )
    with (
        tempfile.TemporaryDirectory() as folder,
        edges.running(3, pathlib.Path(folder), platform.address) as nodes,
    ):
        edges.warm_up(record, nodes[0], "/bills/")
        time.sleep(BURST_AT_S)
        machines.loses_answers = has_trouble
        record.add("machines", "answers to moves", lost=has_trouble)
        hand_in_burst(record, nodes)
        time.sleep(LOST_S)
        machines.loses_answers = False
        record.add("machines", "answers to moves", lost=False)
        time.sleep(CALM_S)
        hand_in_lasting(record, nodes[0])
        time.sleep(START_S)
        waiting, idle = watch(platform)
        record.add("case", "over", waiting=sorted(waiting), idle_minions=idle)
    record.close()
    print(f"{len(waiting)} of {TASKS} tasks wait, {idle} minions are idle")
    is_half_idle = 2 * idle > len(platform.minions)
    if waiting and idle >= 2 * len(waiting) and is_half_idle:
        print(
            f"LOST tasks {sorted(waiting)} had nothing running for {WATCH_S} s "
            f"beside {idle} idle minions"
        )
        return 1
    return 0


def hand_in_burst(record: outside.Record, nodes: list[edges.Edge]) -> None:
    """Hands in many short jobs at once."""
    step = {"count": 4, "cpu": TASK_CPU, "mem_mb": 64, "estimate_ms": 800}
    body = {"spec": json.dumps({"work_ms": 800}), "steps": [step]}
    for number in range(BURST):
        name = f"{number + 1:016x}"
        node = nodes[number % len(nodes)]
        status, _ = edges.call(node.frontend, "POST", f"/bills/{name}", body)
        record.add("client", "handed in", job=name, status=status)


def hand_in_lasting(record: outside.Record, node: edges.Edge) -> None:
    """Hands in the job whose tasks last."""
    step = {"count": TASKS, "cpu": TASK_CPU, "mem_mb": 64, "may_miss": 1}
    step |= {"long_running": True, "anti_affinity": 1}
    body = {"spec": "{}", "steps": [step]}
    path = f"/bills/{LASTING}"
    status, _ = edges.call(node.frontend, "POST", path, body)
    record.add("client", "handed in", job=LASTING, status=status)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")


def watch(platform: outside.Platform) -> tuple[set[str], int]:
    """Returns tasks that have no run all the while, and the idle minions.

    Minions count that run nothing all the while.
    """
    names = {f"{LASTING}.0.0.{index}" for index in range(TASKS)}
    minions = list(platform.minions)
    idle = set(minions)
    until = time.monotonic() + WATCH_S
    while time.monotonic() < until:
        for minion in minions:
            found = minion.tasks
            names -= found
            if found:
                idle.discard(minion)
        time.sleep(0.1)
    return names, len(idle & set(platform.minions))


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
