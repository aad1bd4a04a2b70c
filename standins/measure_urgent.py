"""Times urgent work: from the accepted wish to its starts on the workers.

The wish is a configuration with one more job. A start counts when the
stand-in platform has answered it.
"""

import dataclasses
import pathlib
import random
import tempfile
import time

import gevent

from standins import deployment
from standins import measure_calls
from standins import measurements
from standins import target
from standins import traffic
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder
from vanillaswitch.transport import platform_http

SHARES = (0.03, 0.1, 0.25)
CONTROLLERS = 8
TASKS = 4
SETTLE_S = 40.0
LIMIT_S = 30.0
RUNS = 5


def _starts(running: deployment.Deployment) -> int:
    page = deployment.fetch(running.platform, traffic.PATH)
    starts: int = page["calls"].get("/workers/start", 0)
    return starts


def _with_job(config: config_lib.Config, number: int) -> config_lib.Config:
    pool = sorted(config.pools)[number % len(config.pools)]
    job = config_lib.Job(
        pool, min(config.teams), TASKS, cores=1.0, memory_mb=1024, urgent=True
    )
    jobs = {**config.jobs, f"wish-{number}": job}
    return dataclasses.replace(config, jobs=jobs)


def _wished(
    running: deployment.Deployment,
    outside: platform.Platform,
    config: config_lib.Config,
    number: int,
) -> dict[str, float]:
    before = _starts(running)
    clock, rng = clocks.SystemClock(), random.SystemRandom()
    rollout.apply(outside, clock, rng, config, "measure", number)
    accepted = time.monotonic()
    seconds: list[float] = []
    with gevent.Timeout(LIMIT_S, deployment.DeploymentError("not started")):
        while len(seconds) < TASKS:
            started = _starts(running) - before
            passed = time.monotonic() - accepted
            seconds += [passed] * (min(started, TASKS) - len(seconds))
            gevent.sleep(0.01)
    return {"first_start_s": seconds[0], "last_start_s": seconds[-1]}


def _measured(share: float) -> dict[str, object]:
    size = dataclasses.replace(target.scaled(share), minions=0, waves=0)
    with tempfile.TemporaryDirectory() as name:
        place = pathlib.Path(name)
        example = place / "example"
        target.write(size, example)
        shape = deployment.Shape(example, 0, CONTROLLERS)
        with (
            deployment.run(shape, place) as running,
            platform_http.connect(running.platform, 10.0) as outside,
        ):
            measure_calls.apply(running, example / "config")
            gevent.sleep(SETTLE_S)
            config = check.check(folder.read(example / "config"))
            runs = []
            for number in range(1, RUNS + 1):
                config = _with_job(config, number)
                runs.append(_wished(running, outside, config, number))
                gevent.sleep(3 + random.random())
            return {
                "share": share,
                **dataclasses.asdict(size),
                "tasks_running": _running(outside),
                **measurements.spreads(runs),
            }


def _running(outside: platform.Platform) -> int:
    reports = outside.workers.reports()
    return 0 if isinstance(reports, platform.Unavailable) else len(reports)


@measurements.measurement("urgent")
def measure_urgent() -> measurements.Figures:
    """Measures five wishes at three shares of the target."""
    return [_measured(share) for share in SHARES]
