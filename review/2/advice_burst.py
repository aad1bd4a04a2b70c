"""A burst of jobs comes to a queue whose steps need advice.

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
sys.path.insert(0, str(HERE.parent))

import edges  # noqa: E402
import judge  # noqa: E402
import outside  # noqa: E402

MINIONS = 30
CORES = 16
DECISION_MS = 40.0
PERIOD_MS = 4.0
"""A call that names all minions takes 160 ms."""

TASK_CPU = 500
TASK_MS = 300
PER_S = 2.0
"""Jobs a second; the advice for them takes a third of the service's time."""

BURST_X = 5.0
BURST_S = 4.0
"""Bursts have 2.6 times the traffic for 4 s in the site files, and a queue asks
five times its mean in its turn; twice the former is the limit."""

BURST_AT_S = 6.0
TRAFFIC_S = 26.0
FINISH_S = 14.0
"""Time after the end of the traffic from which jobs are asked for."""


def main() -> int:
    """Plays the case and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = outside.Record(str(HERE / "record.txt"))
    advisor = outside.Advisor("127.0.0.1", DECISION_MS, PERIOD_MS)
    platform = outside.Platform("127.0.0.1")
    for number in range(MINIONS):
        minion = outside.Minion(
            f"i-{number}",
            f"m-{number}",
            "pool",
            "127.0.0.1",
            record,
            CORES * 1000,
        )
        platform.minions.append(minion)
        minion.register(platform, 1.5)
    route = edges.route("bills")
    route["advice"] = {
        "decision_ms": DECISION_MS,
        "period_ms": PERIOD_MS,
        "validity_ms": 3000,
    }
    platform.write("op", "config", edges.config(1, route))
    with (
        tempfile.TemporaryDirectory() as folder,
        edges.running(
            3, pathlib.Path(folder), platform.address, advisor.address
        ) as nodes,
    ):
        edges.warm_up(record, nodes[0], "/bills/")
        accepted = hand_in(record, advisor, nodes, has_trouble)
        time.sleep(FINISH_S)
        stuck = judge.find_stuck(record, platform, nodes, accepted, TASK_CPU)
        record.add(
            "advisor",
            "calls",
            answered=advisor.answered,
            refused=advisor.refused,
        )
    record.close()
    for line in stuck:
        print("LOST", line)
    return 1 if stuck else 0


def hand_in(
    record: outside.Record,
    advisor: outside.Advisor,
    nodes: list[edges.Edge],
    has_trouble: bool,
) -> dict[str, str]:
    """Hands jobs in; returns the paths of the accepted ones by id."""
    accepted = {}
    began = time.monotonic()
    due_s = 0.0
    number = 0
    while due_s < TRAFFIC_S:
        time.sleep(max(0.0, began + due_s - time.monotonic()))
        number += 1
        name = f"{number:016x}"
        path = f"/bills/{name}"
        step = {"count": 2, "cpu": TASK_CPU, "mem_mb": 64}
        step["estimate_ms"] = TASK_MS
        body = {"spec": json.dumps({"work_ms": TASK_MS}), "steps": [step]}
        node = nodes[number % len(nodes)]
        status, _ = edges.call(node.frontend, "POST", path, body)
        record.add(
            "client",
            "handed in",
            job=name,
            status=status,
            advice=advisor.answered,
        )
        if status == 200:
            accepted[name] = path
        is_burst = has_trouble and 0 <= due_s - BURST_AT_S < BURST_S
        due_s += 1 / (PER_S * (BURST_X if is_burst else 1.0))
    return accepted


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
