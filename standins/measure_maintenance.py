"""Measures what maintenance costs one process at shares of the target.

A wave and idle duties run on a clock that only the measurement moves, so that
seconds are those of the plan; processor time is this machine's. Bytes are
those of the platform's HTTP interface.
"""

import dataclasses
import random
import time
from typing import Any

import click

from standins import counted_platform
from standins import fleet as fleet_lib
from standins import measure_measures
from standins import measurements
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import operator_commits
from vanillaswitch.coordination.maintenance import pool_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import wave_commands
from vanillaswitch.coordination.maintenance import wave_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

SHARES = (0.1, 0.5, 1.0)
CONTROLLERS = 8
"""Processes between which the duties are shared."""

IDLE_S = 600.0
WAVE_LIMIT_S = 7200.0
WINDOW_S = 60.0
WAVE = "measured"


class Clock:
    """Time that only the measurement moves."""

    def __init__(self) -> None:
        self.now = 0.0

    def monotonic(self) -> float:
        """Returns seconds since the start."""
        return self.now

    def wall(self) -> float:
        """Returns seconds since the start."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Moves the time on."""
        self.now += seconds


class Site:
    """A fleet whose instances have their pools, and one process's duties."""

    def __init__(self, share: float):
        world = measure_measures.target_world(share)
        adopted = measure_measures.adopted(world)
        self.clock = Clock()
        wave = config_lib.Wave(
            tuple(world.config.services), config_lib.WaveTarget.WORKERS
        )
        self.config = dataclasses.replace(world.config, waves={WAVE: wave})
        members = tuple(fleet_lib.Member(one) for one in world.listings)
        fleet = fleet_lib.Fleet(members, 2.0, wave_plan.REBOOT_S)
        self.memory = fleet_lib.MemoryPlatform(fleet, self.clock)
        self.counted = counted_platform.Counted(self.memory)
        self._rng = random.Random(1)
        self._fences: dict[str, duty_assignment.Fence] = {}
        self._memories: dict[str, dict[str, Any]] = {}
        self._due: dict[str, float] = {}
        for name, member in adopted.members.items():
            self.put(keys.instance(name), member.row)

    def put(self, key: str, row: object) -> int:
        """Inserts a row; returns its version."""
        put = platform.Put(key, platform.ABSENT, rows.dump(row))
        transaction = platform.Transaction(ids.new_id(self._rng), (put,))
        outcome = self.memory.table.commit(transaction)
        assert isinstance(outcome, platform.Committed)
        return outcome.version

    def step(self, duty: str) -> None:
        """Runs one step of a duty when it is due, as the controller does."""
        if duty not in self._fences:
            key = keys.duty(duty)
            version = self.put(key, rows.Duty("measure", "boot", 1))
            self._fences[duty] = duty_assignment.Fence(key, version, 1)
        context = controller.DutyContext(
            self.counted.interface,
            self.clock,
            self._rng,
            self.config,
            lambda _message: None,
            self._memories.setdefault(duty, {}),
        )
        if self.clock.now >= self._due.get(duty, 0.0):
            kind = duty_names.kind_of(duty)
            controller.DUTY_STEPS.get(kind)(context, duty, self._fences[duty])
            pause_s = controller.next_step_pause_s(context.soft_state)
            self._due[duty] = self.clock.now + pause_s

    def start_wave(self) -> None:
        """Starts the wave as the operators' command does."""
        outside = self.memory.interface
        fleet = fleet_state.read_with_statuses(outside)
        assert isinstance(fleet, fleet_state.Fleet)
        request = wave_commands.WaveRequest(WAVE, "measure", 0.0, "run")
        changed = wave_commands.start(fleet, self.config, request)
        operator_commits.commit(
            outside.table, self.clock, self._rng, fleet, changed
        )

    def wave_runs(self) -> bool:
        """Tells whether the wave is not over."""
        found = self.memory.table.read([keys.wave(WAVE)])
        assert isinstance(found, platform.Rows)
        return bool(found.rows[0].value["state"] == "running")

    def most_down(self) -> int:
        """Returns the most workers of one service that don't serve now."""
        down: dict[str, int] = {}
        found = self.memory.table.scan(keys.INSTANCES)
        assert isinstance(found, platform.Rows)
        for row in found.rows:
            name = keys.name_of(keys.INSTANCES, row.key)
            if (
                self.memory.instances.phase(name)
                is not platform.MaintenancePhase.SERVING
            ):
                service = row.value["service"]
                down[service] = down.get(service, 0) + 1
        return max(down.values(), default=0)


def _run(site: Site, names: list[str], limit_s: float) -> dict[str, float]:
    """Steps duties until a limit or the end of a wave that runs."""
    wave = names[0] == f"{duty_names.WAVE}/{WAVE}"
    aside_s, began = 0.0, site.clock.now
    windows = [0]
    most_down = 0
    for name in names:
        site.step(name)
    start, start_cpu = site.counted.bytes, _cpu_s(site)
    while site.clock.now - began < limit_s:
        before = site.counted.bytes
        for name in names:
            site.step(name)
        if site.clock.now - began >= len(windows) * WINDOW_S:
            windows.append(0)
        windows[-1] += site.counted.bytes - before
        aside = time.process_time()
        most_down = max(most_down, site.most_down())
        over = wave and not site.wave_runs()
        aside_s += time.process_time() - aside
        if over:
            break
        site.clock.sleep(controller.STEP_PAUSE_S)
    seconds = site.clock.now - began
    cpu_s = _cpu_s(site) - start_cpu - aside_s
    return {
        "seconds": seconds,
        "start_bytes": start,
        "bytes_per_s": sum(windows) / seconds,
        "worst_minute_bytes_per_s": max(windows) / WINDOW_S,
        "core_percent": 100 * cpu_s / seconds,
        "most_down_of_a_service": most_down,
    }


def _cpu_s(site: Site) -> float:
    return time.process_time() - site.counted.platform_s


def running_wave(share: float, limit_s: float = WAVE_LIMIT_S) -> dict[str, Any]:
    """Measures a wave over all workers, in the process that holds it."""
    site = Site(share)
    site.start_wave()
    found = _run(site, [f"{duty_names.WAVE}/{WAVE}"], limit_s)
    return {**found, "finished": not site.wave_runs()}


def idle(share: float, limit_s: float = IDLE_S) -> dict[str, float]:
    """Measures one process's share of pool-group duties at rest."""
    site = Site(share)
    services = sorted(site.config.services)[::CONTROLLERS]
    names = [f"{duty_names.POOL_GROUP}/{name}" for name in services]
    return {"duties": len(names), **_run(site, names, limit_s)}


@measurements.measurement("maintenance")
def measure_maintenance() -> measurements.Figures:
    """Measures a wave and idle duties at three sizes, once each."""
    return [
        {"share": share, "wave": running_wave(share), "idle": idle(share)}
        for share in SHARES
    ]


@click.command()
@click.option("--limit-s", type=float, default=None)
@click.option("--share", type=float, multiple=True, default=SHARES)
def main(limit_s: float | None, share: tuple[float, ...]) -> None:
    """Prints the figures, of a part of the time when limited."""
    for one in share:
        wave = running_wave(one, limit_s or WAVE_LIMIT_S)
        click.echo(f"{one} wave {wave}")
        click.echo(f"{one} idle {idle(one, limit_s or IDLE_S)}")


if __name__ == "__main__":
    main()
