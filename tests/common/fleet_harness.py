"""A test harness: a small in-memory fleet and controllers that can be killed.

A controller can be killed at any of its platform calls.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import random
from typing import Any

from standins import fleet as fleet_module
from tests.common import clocks
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

MINION = platform.InstanceKind.MINION
WORKER = platform.InstanceKind.WORKER


class KilledError(Exception):
    """The controller was killed at a call."""


class KillableClient:
    """Forwards calls until one of them kills the caller.

    If ``count_call`` returns "after", the call takes effect and its answer is
    lost.
    """

    def __init__(self, inner: Any, count_call: Callable[[], str]):
        self._inner = inner
        self._count_call = count_call

    def __getattr__(self, name: str) -> Any:
        method = getattr(self._inner, name)

        def call(*args: Any) -> Any:
            when = self._count_call()
            if when == "before":
                raise KilledError
            answer = method(*args)
            if when == "after":
                raise KilledError
            return answer

        return call


def build_config(
    services: Sequence[str] = ("quotes",),
    minions: int = 6,
    minions_down: int = 2,
    pools: dict[str, config_lib.Pool] | None = None,
    workers_down: int = 1,
    **fields: Any,
) -> config_lib.Config:
    """Returns a configuration whose services are all alike."""
    budget = config_lib.AvailabilityBudget(minions_down, workers_down)
    service = config_lib.Service(budget, (), minions)
    return config_lib.Config(
        data_centres={},
        classes={},
        services=dict.fromkeys(services, service),
        pools=pools or {},
        **fields,
    )


def minion_listings(
    service: str = "quotes", count: int = 6, data_centres: int = 3
) -> list[platform.Listing]:
    """Returns the minions of a service, spread over data centres."""
    return [
        platform.Listing(
            f"{service}-{index}",
            MINION,
            platform.ListedState.LIVE,
            f"dc{index % data_centres}",
            "r0",
            service=service,
        )
        for index in range(count)
    ]


def worker_listings(count: int, per_rack: int = 4) -> list[platform.Listing]:
    """Returns workers, ``per_rack`` in each rack."""
    return [
        platform.Listing(
            f"worker-{index:03}",
            WORKER,
            platform.ListedState.LIVE,
            "dc0",
            f"r{index // per_rack}",
            cores=16.0,
            memory_mb=65536,
        )
        for index in range(count)
    ]


@dataclasses.dataclass
class FleetHarness:
    """A platform, rows for its instances, and one holder for each duty."""

    listings: list[platform.Listing]
    config: config_lib.Config
    pool_of: Callable[[platform.Listing], tuple[str, str]] = lambda listing: (
        listing.service,
        listing.service,
    )
    lag_s: float = 0.0
    reboot_s: float = 1.0

    def __post_init__(self):
        self.clock = clocks.ManualClock()
        members = tuple(fleet_module.Member(one) for one in self.listings)
        fleet = fleet_module.Fleet(members, self.lag_s, self.reboot_s)
        self.platform = fleet_module.MemoryPlatform(fleet, self.clock)
        self.rng = random.Random(1)
        self.memory: dict[str, dict[str, Any]] = {}
        self.notices: list[peers.Message] = []
        self.fences: dict[str, duty_assignment.Fence] = {}
        self.kill_at_call: int | None = None
        self.kill_before_or_after = "before"
        self.call_count = 0
        self._interfaces: dict[int, platform.Platform] = {}
        self.process_by_duty: dict[str, int] = {}
        for listing in self.listings:
            pool, service = self.pool_of(listing)
            row = rows.Instance(
                pool,
                listing.kind,
                service,
                listing.data_centre,
                listing.rack,
            )
            self.put(keys.instance(listing.instance), row)

    def interface(self, process: int = 0) -> platform.Platform:
        """Returns the platform for the controllers of one process.

        Its calls can kill the controller. Each process has its own fleet
        cache.
        """
        real = self.platform.interface
        return self._interfaces.setdefault(
            process,
            platform.Platform(
                KillableClient(real.table, self._count_call),
                real.objects,
                KillableClient(real.instances, self._count_call),
                real.workers,
            ),
        )

    def hand_over(self, duty: str, process: int) -> None:
        """A controller of another process takes over the duty."""
        self.process_by_duty[duty] = process
        self.replace_holder(duty)

    def put(self, key: str, row: object) -> int:
        """Writes a row regardless of its version; returns the new version."""
        table = self.platform.table
        found = table.read([key]).rows
        version = found[0].version if found else platform.ABSENT
        token = f"bench-{self.rng.random()}"
        put = platform.Put(key, version, rows.dump(row))
        return table.commit(platform.Transaction(token, (put,))).version

    def replace_holder(self, duty: str) -> None:
        """A new controller without soft state takes over the duty."""
        epoch = self.fences[duty].epoch + 1 if duty in self.fences else 1
        row = rows.Duty(f"controller-{epoch}", "boot", epoch)
        key = keys.duty(duty)
        self.fences[duty] = duty_assignment.Fence(
            key, self.put(key, row), epoch
        )
        self.memory[duty] = {}

    def step(self, duty: str) -> None:
        """Runs one step; a new controller replaces one that is killed."""
        if duty not in self.fences:
            self.replace_holder(duty)
        context = controller.DutyContext(
            self.interface(self.process_by_duty.get(duty, 0)),
            self.clock,
            self.rng,
            self.config,
            self.notices.append,
            self.memory[duty],
        )
        kind = duty.partition("/")[0]
        try:
            controller.DUTY_STEPS.get(kind)(context, duty, self.fences[duty])
        except KilledError:
            self.replace_holder(duty)
        self.clock.advance(0.5)

    def before_next_commit(self, event: Callable[[], object]) -> None:
        """Calls ``event`` once, right before the next commit."""
        table = self.platform.table
        commit = table.commit

        def interrupted(transaction: platform.Transaction) -> Any:
            table.commit = commit
            event()
            return commit(transaction)

        table.commit = interrupted

    def fleet(self) -> fleet_state.Fleet:
        """Reads the fleet without faults."""
        return fleet_state.read_with_statuses(self.platform.interface)

    def instances_not_serving(self) -> set[str]:
        """Returns the instances that don't serve, as the platform knows."""
        return {
            one.instance
            for one in self.listings
            if self.platform.instances.phase(one.instance)
            is not platform.MaintenancePhase.SERVING
        }

    def _count_call(self) -> str:
        self.call_count += 1
        if self.call_count == self.kill_at_call:
            return self.kill_before_or_after
        return ""
