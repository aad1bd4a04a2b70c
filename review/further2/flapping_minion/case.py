"""One minion of a pool goes down and up by turns."""

from collections.abc import Sequence
import os
import pathlib
import sys
import threading
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent.parent / "platform2"))

import platform2  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1")
"""0: no minion goes down."""

EDGES = 3
MINIONS = 7
SHARE = 0.15
FLAPPING = int(SHARE * MINIONS)
PERIOD_S = 1.4
FLAPS_S = 6.5
PAUSE_S = 1.5
EPISODES = 6

LEAD_S = 4.0
SUBMIT_EVERY_S = 0.25
FINISH_S = 14.0
WORK_S = 3
STEP = {
    "count": 6,
    "cpu": 1300,
    "mem_mb": 100,
    "estimate_ms": 1000 * WORK_S,
}
BODY = {"spec": f"work={WORK_S}", "steps": [STEP]}


class Traffic:
    """Submits a sound job four times a second until it is ended."""

    def __init__(
        self, record: platform2.Record, edges: Sequence[platform2.Edge]
    ):
        self._record = record
        self._edges = edges
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self.accepted: list[str] = []

    def begin(self) -> None:
        """Begins to submit jobs."""
        self._thread.start()

    def end(self) -> None:
        """Submits no more jobs."""
        self._ended.set()
        self._thread.join()

    def _run(self) -> None:
        number = 0
        while not self._ended.wait(SUBMIT_EVERY_S):
            number += 1
            job = f"{number:016x}"
            entry = self._edges[number % EDGES].entry
            status, _ = platform2.call(
                self._record, entry, "POST", f"/quotes/{job}", BODY
            )
            if status == 200:
                self.accepted.append(job)


def play(record: platform2.Record) -> Sequence[str]:
    """Submits jobs while minions flap, one after the other."""
    platform = platform2.Platform(record, MINIONS)
    platform.store.put(
        "op", "config", platform2.config(7, platform2.queue("quotes"))
    )
    with platform2.machines(platform, EDGES) as edges:
        traffic = Traffic(record, edges)
        traffic.begin()
        time.sleep(LEAD_S)
        for episode in range(EPISODES):
            flap(platform, f"m-{episode % MINIONS}")
            time.sleep(PAUSE_S)
        traffic.end()
        record.write(f"end of the traffic: {len(traffic.accepted)} jobs")
        time.sleep(FINISH_S)
        return judge(record, platform, edges, traffic.accepted)


def flap(platform: platform2.Platform, machine: str) -> None:
    """Lets a minion go down and up by turns for a while."""
    until = time.monotonic() + FLAPS_S
    while time.monotonic() < until:
        if TROUBLE != "0":
            platform.crash(machine)
        time.sleep(PERIOD_S / 2)
        if TROUBLE != "0":
            platform.begin_life(machine)
        time.sleep(PERIOD_S / 2)


def judge(
    record: platform2.Record,
    platform: platform2.Platform,
    edges: Sequence[platform2.Edge],
    accepted: Sequence[str],
) -> list[str]:
    """Judges LOST: a job is shown as failed though no run of it failed."""
    breaks = []
    for number, job in enumerate(accepted):
        entry = edges[number % EDGES].entry
        _, shown = platform2.call(record, entry, "GET", f"/quotes/{job}")
        hows = [
            how
            for _, task, _, _, how in platform.ends
            if task.partition(".")[0] == job
        ]
        if shown.get("state") == "failed" and "failed" not in hows:
            breaks.append(
                f"{job} is shown as failed: of its runs {hows.count('done')} "
                f"ended done, {hows.count('lost')} were lost with their "
                f"minions, none ended failed"
            )
    return breaks


if __name__ == "__main__":
    if FLAPPING != 1:
        sys.exit("the case flaps one minion at a time")
    platform2.main(FOLDER, play)
