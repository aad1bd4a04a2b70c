"""Harness that steps one placement duty over an in-memory platform."""

from collections.abc import Mapping
import dataclasses
import random
from typing import Any

from standins import fleet as fleet_lib
from tests.common import clocks
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.workloads import job_progress
from vanillaswitch.coordination.workloads import placement_duty
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.protocol import platform
from vanillaswitch.state import config
from vanillaswitch.state import keys
from vanillaswitch.state import rows

DUTY = "placement/hall-recife"
JOB = config.Job("batch", "billing", tasks=1, cores=4, memory_mb=4096)


def job(**changes: Any) -> config.Job:
    """Returns a job whose tasks have 4 cores and 4 GB, with changes."""
    return dataclasses.replace(JOB, **changes)


def listing(number: int) -> platform.Listing:
    """Returns the listing of a worker with 16 cores and 64 GB."""
    return platform.Listing(
        f"w{number}",
        platform.InstanceKind.WORKER,
        platform.ListedState.LIVE,
        "hall-recife",
        f"r{number // 4}",
        cores=16,
        memory_mb=65536,
    )


class PlacementHarness:
    """A service with workers and jobs, and the duty that places them.

    Attributes:
        is_leased: whether the controller holds its session lease.
    """

    def __init__(self, workers: int, jobs: Mapping[str, config.Job]):
        self.clock = clocks.ManualClock()
        members = tuple(fleet_lib.Member(listing(n)) for n in range(workers))
        self.platform = fleet_lib.MemoryPlatform(
            fleet_lib.Fleet(members), self.clock
        )
        self.config = config.Config(
            data_centres={"hall-recife": config.DataCentre("nordeste")},
            classes={},
            services={
                "backoffice": config.Service(
                    config.AvailabilityBudget(1, 1), (), 0
                )
            },
            pools={"batch": config.Pool("backoffice", workers)},
            teams={"billing": config.Team(1000, 10**7)},
            jobs=jobs,
        )
        self.rng = random.Random(1)
        self.is_leased = True
        for member in members:
            self.put(keys.instance(member.listing.instance), _row(member))
        self.take_duty()

    def take_duty(self) -> None:
        """Lets another controller take the duty, with no soft state."""
        found = self.platform.table.read([keys.duty(DUTY)])
        assert isinstance(found, platform.Rows)
        epoch = found.rows[0].value["epoch"] + 1 if found.rows else 1
        version = self.put(keys.duty(DUTY), rows.Duty("c", "b", epoch))
        self.fence = duty_assignment.Fence(keys.duty(DUTY), version, epoch)
        self.memory: dict[str, Any] = {}

    def put(self, key: str, row: object) -> int:
        """Writes a row, whether it exists or not.

        Returns:
            Its new version.
        """
        table = self.platform.table
        found = table.read([key])
        assert isinstance(found, platform.Rows)
        version = found.rows[0].version if found.rows else platform.ABSENT
        change = platform.Put(key, version, rows.dump(row))
        token = f"test{self.rng.random()}"
        outcome = table.commit(platform.Transaction(token, (change,)))
        assert isinstance(outcome, platform.Committed)
        return outcome.version

    def set_jobs(self, **changes: config.Job) -> None:
        """Adds or replaces jobs of the configuration."""
        wanted = {**self.config.jobs, **changes}
        self.config = dataclasses.replace(self.config, jobs=wanted)

    def context(self) -> controller.DutyContext:
        """Returns the context of the next step."""
        return controller.DutyContext(
            platform=self.platform.interface,
            clock=self.clock,
            rng=self.rng,
            config=self.config,
            broadcast=self.memory.setdefault("sent", []).append,
            soft_state=self.memory,
            has_lease=lambda: self.is_leased,
        )

    def step(self, count: int = 1) -> None:
        """Runs steps, each followed by the pause between two steps."""
        for _ in range(count):
            placement_duty.step(self.context(), DUTY, self.fence)
            self.clock.advance(controller.STEP_PAUSE_S)

    def renew_leases(self, count: int) -> None:
        """Renews task leases as while the session lease has expired."""
        for _ in range(count):
            placement_duty.renew_leases(self.context(), DUTY, self.fence)
            self.clock.advance(controller.STEP_PAUSE_S)

    def running(self) -> dict[str, str]:
        """Returns the worker of each task that runs right now.

        Raises:
            AssertionError: a task runs twice.
        """
        workers = self.platform.workers
        lag, workers._lag_s = workers._lag_s, 0.0
        reports = workers.reports()
        workers._lag_s = lag
        assert not isinstance(reports, platform.Unavailable)
        running = platform.ReportedTaskState.RUNNING
        found = [(r.task, r.worker) for r in reports if r.state is running]
        assert len(dict(found)) == len(found), f"a task runs twice: {found}"
        return dict(found)

    def count_starts(self, worker: str) -> int:
        """Returns how many starts a worker has accepted so far."""
        tasks_there = self.platform.workers._tasks.values()
        return sum(task.worker == worker for task in tasks_there)

    def job_state(self, name: str) -> job_progress.JobProgress:
        """Returns the state in a job's row, the initial one if it has none."""
        found = self.platform.table.read([keys.job(name)])
        assert isinstance(found, platform.Rows)
        states = [
            rows.load(job_progress.JobProgress, row.value) for row in found.rows
        ]
        return states[0] if states else job_progress.JobProgress()

    def task_rows(self) -> dict[str, task_rows.Task]:
        """Returns the task rows by name."""
        found = self.platform.table.scan(keys.TASKS)
        assert isinstance(found, platform.Rows)
        return {
            keys.name_of(keys.TASKS, r.key): rows.load(task_rows.Task, r.value)
            for r in found.rows
        }

    def cordoned_workers(self) -> set[str]:
        """Returns the names of the cordoned workers."""
        found = self.platform.table.scan(keys.INSTANCES)
        assert isinstance(found, platform.Rows)
        return {
            keys.name_of(keys.INSTANCES, row.key)
            for row in found.rows
            if row.value["cordoned"]
        }


def _row(member: fleet_lib.Member) -> rows.Instance:
    return rows.Instance(
        pool="batch",
        kind=platform.InstanceKind.WORKER,
        service="backoffice",
        data_centre=member.listing.data_centre,
        rack=member.listing.rack,
    )
