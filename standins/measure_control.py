"""Measures controllers: memory, processor time, bytes and calls.

The spread is over windows of one deployment.
"""

import collections
import dataclasses
import pathlib
import random
import tempfile

import gevent

from standins import deployment
from standins import measure_calls
from standins import measurements
from standins import process_stats
from standins import target
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.transport import platform_http

EXAMPLE = pathlib.Path("examples/mare-dues")
CONTROLLERS = (8, 16)
DUTIES = (10, 50, 200)
DATA_CENTRES = 3
FIXED_DUTIES = DATA_CENTRES + 2
WINDOW_S = 8.0
SETTLE_S = 15.0
WAVE = "measured"
WAVE_S = 300.0


def _example(duties: int, folder_: pathlib.Path) -> None:
    """Writes a fleet of one worker a service that has so many duties."""
    services = duties - FIXED_DUTIES
    size = target.Size(
        pools=services,
        workers=services,
        teams=1,
        data_centres=DATA_CENTRES,
        minions=0,
        waves=0,
    )
    target.write(size, folder_)


def _memory(running: deployment.Deployment) -> dict[str, dict[str, float]]:
    taken = [
        dataclasses.asdict(process_stats.memory(one.pid))
        for one in running.controllers.values()
    ]
    return measurements.spreads(taken, 0)


def _window(running: deployment.Deployment) -> dict[str, float]:
    names = tuple(running.controllers)
    before = measure_calls.sample(running)
    gevent.sleep(WINDOW_S)
    return measure_calls.rates(before, measure_calls.sample(running), names)


def _held(running: deployment.Deployment) -> int:
    return sum(len(one.page("duties")) for one in running.controllers.values())


def _measured(controllers: int, duties: int) -> dict[str, object]:
    with tempfile.TemporaryDirectory() as name:
        place = pathlib.Path(name)
        example = place / "example"
        _example(duties, example)
        shape = deployment.Shape(example, 0, controllers)
        with deployment.run(shape, place) as running:
            bare = _memory(running)
            measure_calls.apply(running, example / "config")
            gevent.sleep(SETTLE_S)
            runs = [_window(running) for _ in range(measurements.RUNS)]
            return {
                "controllers": controllers,
                "duties": duties,
                "duties_held": _held(running),
                "memory_before_configuration_kib": bare,
                "memory_kib": _memory(running),
                **measurements.spreads(runs),
            }


@measurements.measurement("controllers")
def measure_controllers() -> measurements.Figures:
    """Measures controllers at rest, by their number and that of duties."""
    return [
        _measured(controllers, duties)
        for controllers in CONTROLLERS
        for duties in DUTIES
    ]


def _start_wave(
    outside: platform.Platform, config: config_lib.Config
) -> fleet_state.Fleet:
    fleet = fleet_state.read_with_statuses(outside)
    if isinstance(fleet, platform.Unavailable):
        raise deployment.DeploymentError(fleet.reason)
    plan = wave_plan.plan_wave(fleet, config, config.waves[WAVE])
    wave = wave_state.Wave(
        state=wave_state.WaveState.RUNNING,
        run=WAVE,
        rounds=plan.rounds,
        started_wall_s=0.0,
        expected_s=plan.expected_s,
    )
    put = platform.Put(keys.wave(WAVE), platform.ABSENT, rows.dump(wave))
    token = ids.new_id(random.SystemRandom())
    outside.table.commit(platform.Transaction(token, (put,)))
    return fleet


def _finished(outside: platform.Platform) -> bool:
    found = outside.table.read([keys.wave(WAVE)])
    if not isinstance(found, platform.Rows):
        return False
    wave = rows.load(wave_state.Wave, found.rows[0].value)
    if wave.state is wave_state.WaveState.STOPPED:
        raise deployment.DeploymentError(wave.reason)
    return wave.state is wave_state.WaveState.FINISHED


def _while_wave(services: int) -> dict[str, float]:
    """Maintains each worker of some services and measures the time of it."""
    size = target.Size(
        pools=services, workers=services * 6, teams=1, data_centres=3, waves=0
    )
    with tempfile.TemporaryDirectory() as name:
        place = pathlib.Path(name)
        example = place / "example"
        target.write(size, example)
        _add_wave(example / "config", services)
        config = check.check(folder.read(example / "config"))
        shape = deployment.Shape(example, 0, 8)
        with (
            deployment.run(shape, place) as running,
            platform_http.connect(running.platform, 10.0) as outside,
        ):
            measure_calls.apply(running, example / "config")
            gevent.sleep(SETTLE_S)
            return _maintained(running, outside, config)


def _add_wave(config: pathlib.Path, services: int) -> None:
    names = [f'"service-{number:03}"' for number in range(services)]
    (config / "20-wave.json").write_text(
        f'{{"waves": {{"{WAVE}": {{"services": [{", ".join(names)}], '
        '"targets": "workers"}}}'
    )


def _maintained(
    running: deployment.Deployment,
    outside: platform.Platform,
    config: config_lib.Config,
) -> dict[str, float]:
    rest = _window(running)
    fleet = _start_wave(outside, config)
    names = tuple(running.controllers)
    before = measure_calls.sample(running)
    limit = deployment.DeploymentError("the wave hangs")
    with gevent.Timeout(WAVE_S, limit):
        while not _finished(outside):
            gevent.sleep(0.2)
    after = measure_calls.sample(running)
    busy = measure_calls.rates(before, after, names)
    seconds = after.at_s - before.at_s
    kinds = collections.Counter(m.row.kind for m in fleet.members.values())
    workers = kinds[platform.InstanceKind.WORKER]
    added = busy["commits_per_s"] - rest["commits_per_s"]
    return {
        "instances_maintained": workers,
        "wave_s": seconds,
        "core_percent_at_rest": rest["core_percent"],
        "core_percent": busy["core_percent"],
        "commits_an_instance": added * seconds / workers,
        "commits_per_s": busy["commits_per_s"],
        "reads_per_s": busy["reads_per_s"],
        "platform_bytes_per_s": busy["platform_bytes_per_s"],
        "peer_bytes_per_s": busy["peer_bytes_per_s"],
    }


@measurements.measurement("wave")
def measure_wave() -> measurements.Figures:
    """Measures eight controllers while a wave maintains each worker."""
    return [
        {
            "services": services,
            **measurements.spreads(
                [_while_wave(services) for _ in range(measurements.RUNS)]
            ),
        }
        for services in (2, 4, 8)
    ]
