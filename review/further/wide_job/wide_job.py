"""A large job comes to a fleet that serves small ones.

Exits with 1 if accepted jobs stayed without anything running although their
turn had come and there was capacity, with 0 if none did, and with 2 if the
case could not be run.
"""

import json
import os
import pathlib
import sys
import tempfile
import time
import traceback

HERE = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent.parent))

import edges  # noqa: E402
import judge  # noqa: E402
import outside  # noqa: E402

MINIONS = 6
CORES = 16
TASKS = 1500
"""Tasks of the large job, or of the jobs that share its work."""

TASKS_OF_A_PART = 100
"""With TROUBLE=0, the same tasks come in jobs of so many."""

TASK_CPU = 50
TASK_MS = 400
SMALL_CPU = 500
SMALL_EVERY_S = 0.5
LARGE_AT_S = 6.0
LENGTH_S = 36.0
FINISH_S = 14.0
"""Time after the end of the traffic from which jobs are asked for."""


def main() -> int:
    """Plays the case and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = outside.Record(str(HERE / "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        platform = outside.Platform("127.0.0.1")
        for number in range(MINIONS):
            minion = outside.Minion(
                f"i-{number:010x}",
                f"m-{number}",
                "pool",
                "127.0.0.1",
                record,
                CORES * 1000,
            )
            platform.minions.append(minion)
            minion.register(platform, 1.5)
        platform.write("op", "config", edges.config(1, edges.route("quotes")))
        with edges.running(3, pathlib.Path(folder), platform.address) as nodes:
            accepted = hand_in(record, nodes, has_trouble)
            record.add("case", "traffic ends", accepted=len(accepted))
            time.sleep(FINISH_S)
            stuck = judge.find_stuck(
                record, platform, nodes, accepted, SMALL_CPU
            )
            record.add("store", "rejected calls", count=platform.rejected)
    record.close()
    for line in stuck:
        print("LOST", line)
    return 1 if stuck else 0


def job_id(number: int) -> str:
    """Returns the id of a job."""
    return f"{number:016x}"


def hand_in(
    record: outside.Record, nodes: list[edges.Edge], has_trouble: bool
) -> dict[str, str]:
    """Hands jobs in; returns the paths of the accepted ones by id."""
    accepted = {}
    began = time.monotonic()
    number = 0
    large_due = True
    while time.monotonic() - began < LENGTH_S:
        number += 1
        bodies = [small_job()]
        if large_due and time.monotonic() - began >= LARGE_AT_S:
            large_due = False
            count = 1 if has_trouble else TASKS // TASKS_OF_A_PART
            bodies += [large_job(TASKS // count)] * count
        for part, body in enumerate(bodies):
            name = job_id(number * 1000 + part)
            path = f"/quotes/{name}"
            node = nodes[number % len(nodes)]
            status, _ = edges.call(node.frontend, "POST", path, body)
            record.add(
                "client",
                "handed in",
                job=name,
                tasks=body["steps"][0]["count"],
                status=status,
            )
            if status == 200:
                accepted[name] = path
        time.sleep(SMALL_EVERY_S)
    return accepted


def small_job() -> dict[str, object]:
    """Returns a job of two tasks."""
    step = {"count": 2, "cpu": SMALL_CPU, "mem_mb": 64, "estimate_ms": TASK_MS}
    return {"spec": json.dumps({"work_ms": TASK_MS}), "steps": [step]}


def large_job(count: int) -> dict[str, object]:
    """Returns a job of many tasks."""
    step = {"count": count, "cpu": TASK_CPU, "mem_mb": 8}
    step["estimate_ms"] = TASK_MS
    return {"spec": json.dumps({"work_ms": TASK_MS}), "steps": [step]}


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
