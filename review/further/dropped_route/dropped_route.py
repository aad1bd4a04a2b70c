"""A route is dropped while accepted jobs of it run, and comes back later.

Exits with 1 if a job was shown as failed although none of its tasks had failed
``max_attempts`` times, with 0 if not, and with 2 if the case could not be run.
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
import outside  # noqa: E402

ATTEMPTS = 4
JOBS = 3
WORK_MS = 4000
"""Each first run of a task ends `failed` after this time, the second `done`."""

DROPPED_AT_S = 1.0
BACK_AT_S = 6.0
SHOWN_WITHIN_S = 30.0


def main() -> int:
    """Plays the case and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = outside.Record(str(HERE / "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        platform = outside.Platform("127.0.0.1")
        for number in range(3):
            minion = outside.Minion(
                f"i-{number}", f"m-{number}", "pool", "127.0.0.1", record
            )
            platform.minions.append(minion)
            minion.register(platform, 1.5)
        configure(record, platform, 1, with_bills=True)
        with edges.running(3, pathlib.Path(folder), platform.address) as nodes:
            shown = play(record, platform, nodes, has_trouble)
    record.close()
    failures = failed_ends(record.lines)
    broken = [
        name
        for name, state in shown.items()
        if state == "failed" and failures.get(name, 0) < ATTEMPTS
    ]
    for name in broken:
        print(
            f"LOST job {name} is shown as failed after {failures[name]} failed "
            f"run of its task; max_attempts is {ATTEMPTS}"
        )
    return 1 if broken else 0


def configure(
    record: outside.Record,
    platform: outside.Platform,
    version: int,
    with_bills: bool,
) -> None:
    """Writes a configuration with the route of the jobs or without it."""
    routes = [edges.route("quotes")]
    if with_bills:
        routes.append(edges.route("bills", ATTEMPTS))
    document = edges.config(version, *routes)
    record.add("operator", "sent", config=document)
    platform.write("op", "config", document)


def play(
    record: outside.Record,
    platform: outside.Platform,
    nodes: list[edges.Edge],
    has_trouble: bool,
) -> dict[str, str]:
    """Hands jobs in, changes the routes, and returns the states shown last."""
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "estimate_ms": WORK_MS}
    spec = json.dumps({"work_ms": WORK_MS, "fails": 1})
    names = [f"{number + 1:016x}" for number in range(JOBS)]
    for number, name in enumerate(names):
        body = {"spec": spec, "steps": [step]}
        node = nodes[number % len(nodes)]
        status, _ = edges.call(node.frontend, "POST", f"/bills/{name}", body)
        record.add("client", "handed in", job=name, status=status)
        if status != 200:
            raise RuntimeError(f"job {name} was not accepted: {status}")
    time.sleep(DROPPED_AT_S)
    configure(record, platform, 3, with_bills=not has_trouble)
    time.sleep(BACK_AT_S - DROPPED_AT_S)
    configure(record, platform, 7, with_bills=True)
    shown: dict[str, str] = {}
    until = time.monotonic() + SHOWN_WITHIN_S
    while time.monotonic() < until and len(shown) < len(names):
        time.sleep(0.5)
        for number, name in enumerate(names):
            node = nodes[(number + 1) % len(nodes)]
            status, body = edges.call(node.frontend, "GET", f"/bills/{name}")
            if body.get("state") in ("completed", "failed", "cancelled"):
                shown[name] = body["state"]
    for name in names:
        record.add("client", "shown", job=name, state=shown.get(name, ""))
    if len(shown) < len(names):
        raise RuntimeError(f"jobs did not end in {SHOWN_WITHIN_S} s: {shown}")
    return shown


def failed_ends(lines: list[dict[str, object]]) -> dict[str, int]:
    """Returns how many runs ended `failed`, by job."""
    counts: dict[str, int] = {}
    for line in lines:
        if line["what"] == "ended" and line["how"] == "failed":
            name = str(line["task"]).partition(".")[0]
            counts[name] = counts.get(name, 0) + 1
    return counts


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
