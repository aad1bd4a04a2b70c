"""Measures configurations: their size, and how fast they are in force.

The time of a roll-out runs from the moment at which the operator's side has
"accepted" in its hand until the last process says in its log that it took the
configuration; both are read off the wall clock of this machine.
"""

from collections.abc import Callable
import dataclasses
import datetime
import pathlib
import random
import re
import statistics
import tempfile
import time

import gevent

from standins import deployment
from standins import measurements
from standins import target
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peers
from vanillaswitch.state import canonical
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder
from vanillaswitch.transport import hand_over
from vanillaswitch.transport import platform_http

EXAMPLE = pathlib.Path("examples/mare-dues")
PROCESSES = (8, 16, 32)
SLOW_S = 0.5
OUTAGE_S = 10.0
LIMIT_S = 30.0
SETTLE_S = 8.0

_LINE = r"^(\S+[ T]\S+) .*configuration {} taken from (the platform|peer)"
_FIRST_DIGITS = 23


@dataclasses.dataclass(frozen=True)
class Taken:
    """When one process took a configuration.

    Attributes:
        wall_s: seconds since the Unix epoch.
        by_peer: a peer brought it, not the platform.
    """

    wall_s: float
    by_peer: bool


def taken(log: str, number: int) -> Taken | None:
    """Returns when a process took a configuration, by its log."""
    found = re.search(_LINE.format(number), log, re.MULTILINE)
    if found is None:
        return None
    stamp = found[1][:_FIRST_DIGITS].replace(",", ".")
    moment = datetime.datetime.fromisoformat(stamp).astimezone()
    return Taken(moment.timestamp(), found[2] == "peer")


class _Rollouts:
    """Applies configurations to one deployment and reads its logs."""

    def __init__(
        self, running: deployment.Deployment, config: config_lib.Config
    ):
        self._running = running
        self._config = config
        self._number = rollout.NO_CONFIG_NUMBER
        self._rng = random.Random(1)

    def apply(self) -> float:
        """Applies the next configuration; returns when it was accepted."""
        self._number += 1
        ratio = 0.1 + self._number / 10_000
        policies = dataclasses.replace(self._config.policies, retry_ratio=ratio)
        config = dataclasses.replace(self._config, policies=policies)
        with platform_http.connect(self._running.platform, 10.0) as outside:
            controllers = rollout.controller_addresses(outside.table)
            outcome = rollout.apply(
                outside,
                clocks.SystemClock(),
                self._rng,
                config,
                "measure",
                self._number - 1,
            )
        if not isinstance(outcome, rollout.Applied):
            raise deployment.DeploymentError(f"not accepted: {outcome}")
        accepted = time.time()
        body = canonical.dump(config)
        hand_over.send(
            controllers,
            peers.ConfigBody(outcome.number, outcome.digest, body),
        )
        return accepted

    def found(self) -> list[Taken]:
        """Returns the processes that have the newest configuration."""
        names = [*self._running.entries, *self._running.controllers]
        logs = [
            (self._running.folder / f"{name}.log").read_text() for name in names
        ]
        times = [taken(log, self._number) for log in logs]
        return [one for one in times if one is not None]

    def wait(self, count: int) -> list[Taken]:
        """Waits until that many processes have it."""
        with gevent.Timeout(LIMIT_S, deployment.DeploymentError("not taken")):
            while len(self.found()) < count:
                gevent.sleep(0.01)
        return self.found()


def _healthy(
    running: deployment.Deployment, rollouts: _Rollouts, count: int
) -> tuple[float, list[Taken]]:
    del running
    return rollouts.apply(), rollouts.wait(count)


def _slow(
    running: deployment.Deployment, rollouts: _Rollouts, count: int
) -> tuple[float, list[Taken]]:
    for part in ("table", "objects"):
        running.switch_platform("faults", part=part, slow_s=SLOW_S)
    try:
        return rollouts.apply(), rollouts.wait(count)
    finally:
        running.switch_platform("faults", slow_s=0.0)


def _down_after_first(
    running: deployment.Deployment, rollouts: _Rollouts, count: int
) -> tuple[float, list[Taken]]:
    """The platform goes as soon as one process has the configuration."""
    accepted = rollouts.apply()
    rollouts.wait(1)
    running.switch_platform("faults", down=True)
    try:
        return accepted, rollouts.wait(count)
    finally:
        running.switch_platform("faults", down=False)


def _down_at_once(
    running: deployment.Deployment, rollouts: _Rollouts, count: int
) -> tuple[float, list[Taken]]:
    """The platform goes right after the accept, and comes back."""
    accepted = rollouts.apply()
    running.switch_platform("faults", down=True)
    gevent.sleep(OUTAGE_S)
    running.switch_platform("faults", down=False)
    return accepted, rollouts.wait(count)


_Condition = Callable[
    [deployment.Deployment, _Rollouts, int], tuple[float, list[Taken]]
]
CONDITIONS: dict[str, _Condition] = {
    "healthy": _healthy,
    "slow": _slow,
    "down after the first process": _down_after_first,
    "down at once for 10 s": _down_at_once,
}


def _rolled_out(
    running: deployment.Deployment, rollouts: _Rollouts, condition: _Condition
) -> dict[str, float]:
    gevent.sleep(random.Random(len(running.folder.name)).random())
    count = len(running.entries) + len(running.controllers)
    accepted, found = condition(running, rollouts, count)
    seconds = [max(0.0, one.wall_s - accepted) for one in found]
    return {
        "p50_s": statistics.median(seconds),
        "last_s": max(seconds),
        "within_5_s": sum(one <= 5 for one in seconds),
        "by_peer": sum(one.by_peer for one in found),
    }


@measurements.measurement("rollout")
def measure_rollout() -> measurements.Figures:
    """Times the roll-out among real processes, half of them entries."""
    config = check.check(folder.read(EXAMPLE / "config"))
    figures = []
    for count in PROCESSES:
        shape = deployment.Shape(EXAMPLE, count // 2, count - count // 2)
        with (
            tempfile.TemporaryDirectory() as name,
            deployment.run(shape, pathlib.Path(name)) as running,
        ):
            rollouts = _Rollouts(running, config)
            rollouts.apply()
            rollouts.wait(count)
            gevent.sleep(SETTLE_S)
            for told, condition in CONDITIONS.items():
                runs = [
                    _rolled_out(running, rollouts, condition)
                    for _ in range(measurements.RUNS)
                ]
                spreads = measurements.spreads(runs)
                figures.append(
                    {"processes": count, "platform": told, **spreads}
                )
    return figures


def _sized(size: target.Size) -> dict[str, float]:
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "example"
        target.write(size, path)
        return _checked(path / "config")


def _checked(path: pathlib.Path) -> dict[str, float]:
    began = time.process_time()
    config = check.check(folder.read(path))
    checked = time.process_time()
    body = canonical.dump(config)
    dumped = time.process_time()
    canonical.load(body)
    loaded = time.process_time()
    return {
        "body_bytes": len(body),
        "check_ms": 1000 * (checked - began),
        "dump_ms": 1000 * (dumped - checked),
        "parse_ms": 1000 * (loaded - dumped),
    }


@measurements.measurement("config-size")
def measure_size() -> measurements.Figures:
    """Measures body, check and parse of today's and greater sizes."""
    _checked(EXAMPLE / "config")  # makes the converters
    runs = range(measurements.RUNS)
    example = [_checked(EXAMPLE / "config") for _ in runs]
    figures = [{"size": "mare-dues", **measurements.spreads(example)}]
    for share in (0.1, 0.5, 1.0):
        size = target.scaled(share)
        sized = [_sized(size) for _ in runs]
        figures.append(
            {
                "size": f"{share} of the target",
                **dataclasses.asdict(size),
                **measurements.spreads(sized),
            }
        )
    return figures
