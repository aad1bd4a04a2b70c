"""A task that lasts ends `done` on a minion that is cut off just then.

Exits with 1 if two runs of a task were there at the same time, with 0 if not,
and with 2 if the case could not be run.
"""

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

JOB = "5c0e7a21d94b36f8"
SERVES_MS = 16_000
"""After this time the program that a task runs ends, each time, with `done`."""

CUT_AT_S = 12.0
"""After the start of the first run; it ends during the cut."""

CUT_S = 10.0
"""Cuts of workers last 5.5 s in the site files; twice that is the limit."""

WATCH_S = 42.0


def main() -> int:
    """Plays the case and returns the exit code."""
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    record = outside.Record(str(HERE / "record.txt"))
    with tempfile.TemporaryDirectory() as folder:
        platform = outside.Platform("127.0.0.1")
        links = {}
        for number in range(2):
            minion = outside.Minion(
                f"i-{number}", f"m-{number}", "pool", "127.0.0.1", record
            )
            links[minion.name] = outside.Link(minion.direct_address)
            minion.address = links[minion.name].address
            platform.minions.append(minion)
            minion.register(platform, 1.5)
        platform.write("op", "config", edges.config(1, edges.route("watch")))
        with edges.running(3, pathlib.Path(folder), platform.address) as nodes:
            play(record, platform, links, nodes, has_trouble)
    record.close()
    found = judge.overlaps(record.lines)
    for line in found:
        print("TWICE", line)
    return 1 if found else 0


def play(
    record: outside.Record,
    platform: outside.Platform,
    links: dict[str, outside.Link],
    nodes: list[edges.Edge],
    has_trouble: bool,
) -> None:
    """Hands the job in, cuts the minion that runs it off, and heals the cut."""
    edges.warm_up(record, nodes[0], "/watch/")
    step = {"count": 1, "cpu": 1000, "mem_mb": 256, "long_running": True}
    step["anti_affinity"] = 1
    body = {"spec": f'{{"serves_ms":{SERVES_MS}}}', "steps": [step]}
    path = f"/watch/{JOB}"
    record.add("client", "sent", call=f"POST {path}", body=body)
    status, answer = edges.call(nodes[0].frontend, "POST", path, body)
    record.add("client", "answered", status=status, body=answer)
    if status != 200:
        raise RuntimeError(f"the job was not accepted: {status}")
    until = time.monotonic() + 15.0
    while not (holders := [m for m in platform.minions if m.run_count]):
        if time.monotonic() > until:
            raise RuntimeError("the job does not start")
        time.sleep(0.05)
    name = holders[0].name
    time.sleep(CUT_AT_S)
    if has_trouble:
        record.add("network", "cut", minion=name)
        links[name].cut()
    time.sleep(CUT_S)
    if has_trouble:
        record.add("network", "healed", minion=name)
        links[name].heal()
    time.sleep(WATCH_S - CUT_AT_S - CUT_S)
    status, answer = edges.call(nodes[1].frontend, "GET", path)
    record.add("client", "answered", call=f"GET {path}", status=status)
    record.add("case", "over")


if __name__ == "__main__":
    try:
        code = main()
    except Exception:
        traceback.print_exc()
        code = 2
    sys.exit(code)
