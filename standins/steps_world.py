"""A share of the target on a platform process, and duties over it."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import json
import pathlib
import random
import tempfile
import time
from typing import Any

import cattrs

from standins import deployment
from standins import fleet as fleet_lib
from standins import target
from standins import traffic
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.coordination.maintenance import pool_duty
from vanillaswitch.coordination.maintenance import wave_duty
from vanillaswitch.coordination.workloads import placement_duty
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform
from vanillaswitch.state import check
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import folder
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.transport import platform_http

STEPS = 5
"""Equal acts over which one figure is the mean."""

MOST_TURNS = 200
REPORT_LAG_S = 1.0

DUTIES = (pool_duty, placement_duty, wave_duty)
"""Modules that register their steps when they are imported."""


class World:
    """A platform process with a fleet, and the duties over it."""

    def __init__(
        self, address: str, outside: platform.Platform, size: target.Size
    ):
        self._address = address
        self.size = size
        self.outside = outside
        self.config = _config(size)
        self._rng = random.SystemRandom()
        self._fences: dict[str, duty_assignment.Fence] = {}
        self._memories: dict[str, dict[str, Any]] = {}
        self._clock = clocks.SystemClock()

    def context(self, name: str) -> controller.DutyContext:
        """Returns what a duty's step works with."""
        return controller.DutyContext(
            platform=self.outside,
            clock=self._clock,
            rng=self._rng,
            config=self.config,
            broadcast=lambda message: None,  # noqa: ARG005
            soft_state=self._memories.setdefault(name, {}),
        )

    def step(self, name: str) -> None:
        """Runs one step of a duty."""
        step = controller.DUTY_STEPS.get(duty_names.kind_of(name))
        step(self.context(name), name, self._fence(name))

    def _fence(self, name: str) -> duty_assignment.Fence:
        if name not in self._fences:
            key = keys.duty(name)
            value = rows.dump(rows.Duty("measure", "boot", 1))
            put = platform.Put(key, platform.ABSENT, value)
            token = f"duty-{name}"
            outcome = self.outside.table.commit(
                platform.Transaction(token, (put,))
            )
            assert isinstance(outcome, platform.Committed)
            self._fences[name] = duty_assignment.Fence(key, outcome.version, 1)
        return self._fences[name]

    def traffic(self) -> tuple[int, int, int]:
        """Returns calls, table reads and bytes of the platform so far."""
        page = deployment.fetch(self._address, traffic.PATH)
        calls = page["calls"]
        reads = calls.get("/table/read", 0) + calls.get("/table/scan", 0)
        return sum(calls.values()), reads, sum(page["bytes"].values())

    def settle(self) -> dict[str, float]:
        """Adopts the fleet and starts its jobs; returns what that took."""
        began = time.monotonic()
        groups = [
            f"{duty_names.POOL_GROUP}/{service}"
            for service in sorted(self.config.services)
        ]
        for group in groups:
            self.step(group)
        # The first one looks after workers that belong to no pool yet.
        while len(self.rows(keys.INSTANCES)) < len(target.listings(self.size)):
            self.step(groups[0])
        placing = [
            f"{duty_names.PLACEMENT}/{name}"
            for name in sorted(self.config.data_centres)
        ]
        wanted = sum(job.tasks for job in self.config.jobs.values())
        for _ in range(MOST_TURNS):
            for name in placing:
                self.step(name)
            if len(self.rows(keys.TASKS)) >= wanted:
                break
        self._clock.sleep(REPORT_LAG_S)
        for name in placing:
            self.step(name)
        return {"tasks": wanted, "settled_s": time.monotonic() - began}

    def rows(self, prefix: str) -> tuple[platform.Row, ...]:
        """Returns the rows below a prefix."""
        found = self.outside.table.scan(prefix)
        assert isinstance(found, platform.Rows)
        return found.rows

    def measured(self, act: Callable[[], object]) -> dict[str, float]:
        """Returns what one of several equal acts took, after a first one."""
        act()
        calls, reads, size = self.traffic()
        used, began = time.process_time(), time.monotonic()
        for _ in range(STEPS):
            act()
        used, took = time.process_time() - used, time.monotonic() - began
        after = self.traffic()
        # The page itself is one call that the counters leave out.
        return {
            "cpu_ms": 1000 * used / STEPS,
            "elapsed_ms": 1000 * took / STEPS,
            "calls": (after[0] - calls) / STEPS,
            "table_reads": (after[1] - reads) / STEPS,
            "bytes": (after[2] - size) / STEPS,
        }


def _config(size: target.Size) -> config_lib.Config:
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "example"
        target.write(size, path)
        return check.check(folder.read(path / "config"))


@contextlib.contextmanager
def platform_process(share: float) -> Iterator[str]:
    """Yields the address of a platform process with a share of the target."""
    members = [
        fleet_lib.Member(one) for one in target.listings(target.scaled(share))
    ]
    fleet = fleet_lib.Fleet(tuple(members), lag_s=REPORT_LAG_S / 2)
    with tempfile.TemporaryDirectory() as name:
        path = pathlib.Path(name) / "fleet.json"
        path.write_text(json.dumps(cattrs.unstructure(fleet)))
        process = deployment.Process(
            "platform",
            ["standins.platform", "--fleet", str(path)],
            path.with_name("platform.log"),
        )
        try:
            yield process.addresses["address"]
        finally:
            process.kill()


@contextlib.contextmanager
def open_world(address: str, share: float) -> Iterator[World]:
    """Yields a world over a platform process."""
    logs.configure("measure", "silent")
    with platform_http.connect(address, 10.0) as outside:
        yield World(address, outside, target.scaled(share))
