"""Measures an entry: what it takes at rest, for a quote and for a charge."""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import pathlib
import random
import tempfile
import time

import gevent

from standins import deployment
from standins import load
from standins import load_plan
from standins import measurements
from standins import process_stats
from standins import traffic
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.state import check
from vanillaswitch.state import folder
from vanillaswitch.transport import platform_http

EXAMPLE = pathlib.Path("examples/mare-dues")
ENTRIES = (2, 4, 8)
RATES = (20.0, 50.0, 100.0)
LOAD_S = 8.0
SETTLE_S = 5.0
TIMEOUT_MS = 3000


@dataclasses.dataclass(frozen=True)
class Sample:
    """What a deployment has used up to one moment.

    Attributes:
        calls: of the platform, by kind.
        bytes: of those calls, by kind.
        cpu_s: processor seconds of each process, by its name.
        peer_bytes: to and from peers, by the process's name.
        peer_messages: to peers, by the process's name.
    """

    at_s: float
    calls: dict[str, int]
    bytes: dict[str, int]
    cpu_s: dict[str, float]
    peer_bytes: dict[str, int]
    peer_messages: dict[str, int]


def sample(running: deployment.Deployment) -> Sample:
    """Reads the counters of a deployment."""
    processes = {**running.entries, **running.controllers}
    pages = {n: one.page("counters") for n, one in processes.items()}
    page = deployment.fetch(running.platform, traffic.PATH)
    return Sample(
        time.monotonic(),
        page["calls"],
        page["bytes"],
        {n: process_stats.cpu_seconds(p.pid) for n, p in processes.items()},
        {
            n: one["peers.bytes_in"] + one["peers.bytes_out"]
            for n, one in pages.items()
        },
        {n: one["peers.messages_out"] for n, one in pages.items()},
    )


def rates(
    before: Sample, after: Sample, names: tuple[str, ...]
) -> dict[str, float]:
    """Returns figures a second between two samples.

    Args:
        before: the earlier one.
        after: the later one.
        names: processes over which to take the mean.
    """
    seconds = after.at_s - before.at_s

    def mean(late: dict[str, float], early: dict[str, float]) -> float:
        used = sum(late[name] - early[name] for name in names)
        return used / seconds / max(1, len(names))

    calls = {k: n - before.calls.get(k, 0) for k, n in after.calls.items()}
    size = {k: n - before.bytes.get(k, 0) for k, n in after.bytes.items()}
    return {
        "core_percent": 100 * mean(after.cpu_s, before.cpu_s),
        "peer_bytes_per_s": mean(
            dict(after.peer_bytes), dict(before.peer_bytes)
        ),
        "peer_messages_per_s": mean(
            dict(after.peer_messages), dict(before.peer_messages)
        ),
        "reads_per_s": _sum(calls, "/table/read", "/table/scan") / seconds,
        "commits_per_s": _sum(calls, "/table/commit") / seconds,
        "all_calls_per_s": sum(calls.values()) / seconds,
        "platform_bytes_per_s": sum(size.values()) / seconds,
        **{f"bytes_per_s {k}": n / seconds for k, n in size.items() if n},
    }


def _sum(calls: dict[str, int], *kinds: str) -> int:
    return sum(calls.get(kind, 0) for kind in kinds)


def apply(running: deployment.Deployment, source: pathlib.Path) -> None:
    """Puts the first configuration in force and waits for it."""
    config = check.check(folder.read(source))
    with platform_http.connect(running.platform, 10.0) as outside:
        clock, rng = clocks.SystemClock(), random.Random(1)
        rollout.apply(
            outside, clock, rng, config, "measure", rollout.NO_CONFIG_NUMBER
        )
    running.wait_ready()


def _window(
    running: deployment.Deployment, seconds: float, names: tuple[str, ...]
) -> dict[str, float]:
    before = sample(running)
    gevent.sleep(seconds)
    return rates(before, sample(running), names)


@measurements.measurement("entry-idle")
def measure_idle() -> measurements.Figures:
    """Measures entries without requests: three windows of one deployment."""
    figures = []
    for count in ENTRIES:
        with _entries(count) as running:
            names = tuple(running.entries)
            runs = [
                _window(running, LOAD_S, names)
                for _ in range(measurements.RUNS)
            ]
            memory = dataclasses.asdict(
                process_stats.memory(running.entries[names[0]].pid)
            )
        spreads = measurements.spreads(runs)
        figures.append({"entries": count, "memory_kib": memory, **spreads})
    return figures


@contextlib.contextmanager
def _entries(count: int) -> Iterator[deployment.Deployment]:
    with tempfile.TemporaryDirectory() as name:
        shape = deployment.Shape(EXAMPLE, entries=count, controllers=0)
        with deployment.run(shape, pathlib.Path(name)) as running:
            apply(running, EXAMPLE / "config")
            gevent.sleep(SETTLE_S)
            yield running


def _loaded(
    running: deployment.Deployment, once: bool, rate: float, seed: int
) -> dict[str, float]:
    """Sends one class at one rate; figures are for each request."""
    requests = int(rate * LOAD_S)
    one = load_plan.ClassPlan(
        name="charge" if once else "quote",
        target="/berthing/charges" if once else "/berthing/quotes",
        requests=requests,
        rate_per_s=rate,
        once=once,
        timeout_ms=TIMEOUT_MS,
    )
    names = tuple(running.entries)
    idle = _window(running, LOAD_S / 2, names)
    before = sample(running)
    plan = load_plan.Plan(seed, (one,), running.callers_addresses)
    (report,) = load.run(plan).classes
    after = sample(running)
    used = rates(before, after, names)
    seconds = after.at_s - before.at_s

    def each(name: str, factor: float = 1.0) -> float:
        return (used[name] - idle[name]) * seconds * factor / requests

    return {
        "answered_percent": 100 * report.answered / requests,
        "p50_ms": report.p50_ms,
        "p99_ms": report.p99_ms,
        "cpu_ms_a_request": each("core_percent", 10 * len(names)),
        "reads_a_request": each("reads_per_s"),
        "commits_a_request": each("commits_per_s"),
        "platform_bytes_a_request": each("platform_bytes_per_s"),
        "peer_messages_a_request": each("peer_messages_per_s", len(names)),
    }


@measurements.measurement("calls")
def measure_calls() -> measurements.Figures:
    """Measures what a quote and a charge take, on two entries."""
    figures = []
    seeds = itertools.count()
    with _entries(2) as running:
        for once in (False, True):
            for rate in RATES:
                # One seed twice would send the same keys, which are refused.
                runs = [
                    _loaded(running, once, rate, next(seeds))
                    for _ in range(measurements.RUNS)
                ]
                memory = process_stats.memory(
                    next(iter(running.entries.values())).pid
                )
                figures.append(
                    {
                        "class": "charge" if once else "quote",
                        "requests_per_s": rate,
                        "entry_rss_kib": memory.rss,
                        **measurements.spreads(runs),
                    }
                )
    return figures
