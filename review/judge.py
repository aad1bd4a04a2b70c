"""Finds what the rules forbid in a record and in what clients are shown."""

import time
from typing import Any

import edges
import outside

IDLE_S = 3.0
"""A job may have nothing running for so long while there is capacity."""


def overlaps(lines: list[dict[str, Any]]) -> list[str]:
    """Returns pairs of runs of one task that were there at the same time."""
    runs: dict[str, list[tuple[float, float, str]]] = {}
    open_runs: dict[tuple[str, str, int], float] = {}
    last_at = lines[-1]["at"] if lines else 0.0
    for line in lines:
        if line["what"] not in ("started", "ended"):
            continue
        key = (line["who"], line["task"], line["run"])
        if line["what"] == "started":
            open_runs[key] = line["at"]
        else:
            _close(runs, key, open_runs.pop(key), line["at"])
    for key, began_at in open_runs.items():
        _close(runs, key, began_at, last_at)
    found = []
    for task, spans in runs.items():
        spans.sort()
        for number, (_, ended_at, name) in enumerate(spans):
            for later, later_end, other in spans[number + 1 :]:
                if later < ended_at:
                    both_s = min(ended_at, later_end) - later
                    found.append(
                        f"{task}: {name} and {other} together for {both_s:.1f}"
                        f" s from {later:.1f} s on"
                    )
    return found


def _close(
    runs: dict[str, list[tuple[float, float, str]]],
    key: tuple[str, str, int],
    began_at: float,
    ended_at: float,
) -> None:
    minion, task, number = key
    name = f"run {number} on {minion}"
    runs.setdefault(task, []).append((began_at, ended_at, name))


def find_stuck(
    record: outside.Record,
    platform: outside.Platform,
    nodes: list[edges.Edge],
    accepted: dict[str, str],
    cpu: int,
) -> list[str]:
    """Returns jobs that wait with nothing running beside idle minions.

    Watches for ``IDLE_S`` and a second more. A job counts only if it is shown
    as queued or running afterwards, and if the minions were less than half full
    all the time.

    Args:
        record: gets what the clients are answered.
        platform: knows the minions.
        nodes: are asked for the jobs.
        accepted: paths of the accepted jobs by id.
        cpu: the most that a run takes, in thousandths of a core.
    """
    room = sum(minion.cpu for minion in platform.minions)
    used_most = 0
    busy: set[str] = set()
    until = time.monotonic() + IDLE_S + 1.0
    while time.monotonic() < until:
        count = sum(minion.run_count for minion in platform.minions)
        used_most = max(used_most, count * cpu)
        for minion in platform.minions:
            busy |= minion.jobs
        time.sleep(0.1)
    stuck = []
    for number, (name, path) in enumerate(accepted.items()):
        node = nodes[number % len(nodes)]
        status, answer = edges.call(node.frontend, "GET", path)
        state = answer.get("state", "")
        record.add("client", "asked", job=name, status=status, state=state)
        is_waiting = name not in busy and state in ("queued", "running")
        if is_waiting and used_most < room / 2:
            stuck.append(
                f"job {name} is {state} and has had nothing running for "
                f"{IDLE_S + 1:.0f} s; {used_most} of {room} were in use at most"
            )
    return stuck
