"""Measures plans: how full workers get, and what one step costs.

The packing figures count tasks and don't depend on the machine; the seconds
do. ``measure`` fills empty workers at once; ``churn`` lets tasks of jobs come
and go on workers that are wanted more than there are. Prints JSON.
"""

import dataclasses
import json
import random
import statistics
import time

from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.coordination.workloads import worker_capacity
from vanillaswitch.state import config as config_lib

SIZE = task_rows.ResourceVector(16.0, 65_536)
SHAPES = ((1.0, 4_096), (2.0, 4_096), (4.0, 8_192), (8.0, 49_152))
WRONG_BY = (0.5, 3.0)


@dataclasses.dataclass(frozen=True)
class Measured:
    """One plan over empty workers.

    Attributes:
        sizes: whether needs were taken from declarations or from usage.
        placed: tasks that got a worker.
        overloaded: workers whose real usage exceeds their memory.
        plan_s: processor time of the plan on this machine.
    """

    order: str
    sizes: str
    workers: int
    wanted: int
    placed: int
    overloaded: int
    plan_s: float


def _wanted(
    count: int, pools: int, rng: random.Random
) -> list[worker_capacity.PendingTask]:
    found = []
    for number in range(count):
        cores, memory_mb = rng.choice(SHAPES)
        need = task_rows.ResourceVector(cores, memory_mb)
        pool = f"pool{number % pools}"
        job = f"job{number}"
        found.append(
            worker_capacity.PendingTask(f"{job}/0", job, pool, "team", need)
        )
    return found


def _real(
    wanted: list[worker_capacity.PendingTask], rng: random.Random
) -> dict[str, task_rows.ResourceVector]:
    """Returns the real needs: declarations are wrong by 0.5 to 3 times."""
    found = {}
    for task in wanted:
        factor = rng.uniform(*WRONG_BY)
        found[task.name] = task_rows.ResourceVector(
            min(task.need.cores * factor, SIZE.cores),
            min(round(task.need.memory_mb * factor), SIZE.memory_mb),
        )
    return found


def measure(
    order: str, by_usage: bool, workers: int, pools: int, count: int
) -> Measured:
    """Plans ``count`` tasks on empty workers, the same ones for each order."""
    rng = random.Random(7)
    wanted = _wanted(count, pools, rng)
    real = _real(wanted, rng)
    if by_usage:
        wanted = [dataclasses.replace(w, need=real[w.name]) for w in wanted]
    unlimited = task_rows.ResourceVector(1e9, 10**12)
    view = placement.PlannerInput(
        tuple(
            worker_capacity.Worker(f"w{n:04}", f"pool{n % pools}", SIZE)
            for n in range(workers)
        ),
        (),
        tuple(wanted),
        {"team": unlimited},
        {},
    )
    config = config_lib.Config(
        {}, {}, {}, policies=config_lib.Policies(placement=order)
    )
    began = time.process_time()
    plan = placement.plan(view, config)
    plan_s = time.process_time() - began
    used: dict[str, int] = {}
    for name, worker in plan.starts.items():
        used[worker] = used.get(worker, 0) + real[name].memory_mb
    return Measured(
        order,
        "usage" if by_usage else "declared",
        workers,
        count,
        len(plan.starts),
        sum(memory_mb > SIZE.memory_mb for memory_mb in used.values()),
        round(plan_s, 4),
    )


CHURN_STEPS = 200
CHURN_SEEDS = 10
RACK = 4
LARGE = SHAPES[-1]


@dataclasses.dataclass(frozen=True)
class Churned:
    """Tasks that come and go on one pool, over all seeds.

    Attributes:
        load: cores wanted over cores there are, on average.
        core_share: processors in use over all, mean of the steps.
        large_waits: mean steps until a task of the largest shape starts.
        waits: the same of all tasks; those never started count to the end.
        worst_rack_share: mean over jobs of the share of a job's running
            tasks that the loss of one rack takes.
    """

    order: str
    workers: int
    load: float
    core_share: float
    large_waits: float
    waits: float
    worst_rack_share: float


class _Pool:
    """One pool under churn."""

    def __init__(self, order: str, workers: int, load: float, seed: int):
        self._rng = random.Random(seed)
        self._config = config_lib.Config(
            {}, {}, {}, policies=config_lib.Policies(placement=order)
        )
        self._workers = tuple(
            worker_capacity.Worker(f"w{n:04}", "pool", SIZE)
            for n in range(workers)
        )
        mean_cores = sum(cores for cores, _ in SHAPES) / len(SHAPES)
        self._arrivals = load * workers * SIZE.cores / mean_cores / 20
        self._waiting: dict[str, tuple[int, worker_capacity.PendingTask]] = {}
        self._running: dict[str, tuple[int, worker_capacity.PlacedTask]] = {}
        self._jobs = 0
        self.waits: list[tuple[bool, int]] = []
        self.core_shares: list[float] = []
        self.rack_shares: list[float] = []

    def run(self) -> None:
        """Lets tasks come, start and end for all steps."""
        for step in range(CHURN_STEPS):
            self._end(step)
            self._arrive(step)
            self._start(step)
            self._look()
        for since, wanted in self._waiting.values():
            self._waited(wanted, CHURN_STEPS - since)

    def _end(self, step: int) -> None:
        for name, (until, _) in list(self._running.items()):
            if until <= step:
                del self._running[name]

    def _arrive(self, step: int) -> None:
        left = self._arrivals * self._rng.uniform(0.5, 1.5)
        while left > 0:
            shape = self._rng.choice(SHAPES)
            tasks_of_job = self._rng.randint(1, 6)
            for index in range(tasks_of_job):
                name = f"j{self._jobs:05}/{index}"
                wanted = worker_capacity.PendingTask(
                    name,
                    name.split("/")[0],
                    "pool",
                    "team",
                    task_rows.ResourceVector(*shape),
                )
                self._waiting[name] = (step, wanted)
            self._jobs += 1
            left -= tasks_of_job

    def _start(self, step: int) -> None:
        unlimited = task_rows.ResourceVector(1e9, 10**12)
        view = placement.PlannerInput(
            self._workers,
            tuple(placed for _, placed in self._running.values()),
            tuple(wanted for _, wanted in self._waiting.values()),
            {"team": unlimited},
            {},
        )
        for name, worker in placement.plan(view, self._config).starts.items():
            since, wanted = self._waiting.pop(name)
            self._waited(wanted, step - since)
            # Drawn by name, so that each order meets the same run times.
            runs = random.Random(name).randint(5, 35)
            placed = worker_capacity.PlacedTask(name, worker, wanted.need)
            self._running[name] = (step + runs, placed)

    def _waited(self, wanted: worker_capacity.PendingTask, steps: int) -> None:
        large = wanted.need == task_rows.ResourceVector(*LARGE)
        self.waits.append((large, steps))

    def _look(self) -> None:
        used = sum(p.need.cores for _, p in self._running.values())
        self.core_shares.append(used / (len(self._workers) * SIZE.cores))
        racks: dict[str, list[int]] = {}
        for name, (_, placed) in self._running.items():
            job = name.split("/")[0]
            racks.setdefault(job, []).append(int(placed.worker[1:]) // RACK)
        for found in racks.values():
            if len(found) > 1:
                most = max(found.count(rack) for rack in found)
                self.rack_shares.append(most / len(found))


def churn(order: str, workers: int, load: float) -> Churned:
    """Runs all seeds of one order, the same ones for each order."""
    pools = [_Pool(order, workers, load, n) for n in range(CHURN_SEEDS)]
    for pool in pools:
        pool.run()
    waits = [wait for pool in pools for wait in pool.waits]
    large = [steps for is_large, steps in waits if is_large]
    shares = [one for pool in pools for one in pool.core_shares]
    racks = [one for pool in pools for one in pool.rack_shares]
    return Churned(
        order,
        workers,
        load,
        round(statistics.mean(shares), 3),
        round(statistics.mean(large), 2),
        round(statistics.mean(steps for _, steps in waits), 2),
        round(statistics.mean(racks), 3),
    )


def main() -> None:
    """Prints one JSON line for each order and condition."""
    for workers in (6, 30):
        for load in (0.4, 0.55, 0.7, 1.0):
            for order in worker_capacity.ORDERS.names:
                churned = churn(order, workers, load)
                print(json.dumps(dataclasses.asdict(churned)))
    for workers, pools, count in ((30, 5, 60), (1300, 153, 2600)):
        for by_usage in (False, True):
            for order in worker_capacity.ORDERS.names:
                found = measure(order, by_usage, workers, pools, count)
                print(json.dumps(dataclasses.asdict(found)))


if __name__ == "__main__":
    main()
