"""One job that recurs, of which many times are due, comes among others."""

from collections.abc import Sequence
import os
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "platform2"))

import platform2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
"""0: the large job does not come. "count": it comes with as many tasks, in one
step instead of as many times."""

EDGES = 3
MINIONS = 6
CAPACITY = 16_000 * MINIONS
TIMES = 8640
INTERVAL_MS = 10_000
TASK = {"count": 1, "cpu": 100, "mem_mb": 10, "estimate_ms": 500}
SPEC = "work=0.5"
LARGE_JOB = "c" * 16

TRAFFIC_S = 25.0
PAUSE_S = 0.5
FINISH_S = 14.0
STARVED_S = 3.0
ANSWER_S = 3.0


def large_job() -> dict[str, object]:
    """Returns a job that is due every ten seconds, the first time a day ago."""
    if TROUBLE == "count":
        return {"spec": SPEC, "steps": [TASK | {"count": TIMES}]}
    first_run_ms = int(time.time() * 1000) - TIMES * INTERVAL_MS
    return {
        "spec": SPEC,
        "steps": [TASK],
        "repeat_count": TIMES,
        "first_run_ms": first_run_ms,
        "interval_ms": INTERVAL_MS,
    }


def play(record: platform2.Record) -> Sequence[str]:
    """Submits small jobs, and the large one among them."""
    platform = platform2.Platform(record, MINIONS)
    platform.store.put(
        "op", "config", platform2.config(7, platform2.queue("quotes"))
    )
    with platform2.machines(platform, EDGES) as edges:
        entry = edges[0].entry
        if TROUBLE != "0":
            path = f"/quotes/{LARGE_JOB}"
            status, _ = platform2.call(record, entry, "POST", path, large_job())
            if status != 200:
                raise platform2.CannotRunError(f"the job was answered {status}")
        accepted = send_traffic(record, edges)
        if not accepted:
            raise platform2.CannotRunError("no job was accepted")
        record.write(f"end of the traffic; {len(accepted)} jobs were accepted")
        time.sleep(FINISH_S)
        return judge(record, platform, edges, accepted)


def send_traffic(
    record: platform2.Record, edges: Sequence[platform2.Edge]
) -> list[str]:
    """Submits a small job twice a second; returns the accepted ones."""
    accepted = []
    until = time.monotonic() + TRAFFIC_S
    number = 0
    while time.monotonic() < until:
        number += 1
        job = f"{number:016x}"
        entry = edges[number % EDGES].entry
        body = {"spec": SPEC, "steps": [TASK]}
        status, _ = platform2.call(
            record, entry, "POST", f"/quotes/{job}", body, ANSWER_S
        )
        if status == 200:
            accepted.append(job)
        time.sleep(PAUSE_S)
    return accepted


def judge(
    record: platform2.Record,
    platform: platform2.Platform,
    edges: Sequence[platform2.Edge],
    accepted: Sequence[str],
) -> list[str]:
    """Judges LOST by what the minions ran and the clients are answered."""
    breaks = []
    began = time.monotonic()
    starved = set(accepted)
    most_used = 0
    while time.monotonic() < began + STARVED_S:
        starved -= {task.partition(".")[0] for _, task, _, _ in platform.starts}
        used = TASK["cpu"] * platform.running_count
        most_used = max(most_used, used)
        time.sleep(0.05)
    if starved and most_used < CAPACITY / 2:
        breaks.append(
            f"{len(starved)} of {len(accepted)} accepted jobs have nothing "
            f"running for {STARVED_S:g} s and never had; at most "
            f"{most_used} of {CAPACITY} thousandths of a core are in use"
        )
    for number, job in enumerate(accepted[:6]):
        entry = edges[number % EDGES].entry
        status, _ = platform2.call(
            record, entry, "GET", f"/quotes/{job}", timeout_s=ANSWER_S
        )
        if status == 0:
            breaks.append(f"{job}: no answer within {ANSWER_S:g} s")
    return breaks


if __name__ == "__main__":
    platform2.main(FOLDER, play)
