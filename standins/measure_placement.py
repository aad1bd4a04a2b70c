"""Measures plans: how full workers get, and what one step costs.

The packing figures count tasks and don't depend on the machine; the seconds
do. Prints JSON.
"""

import dataclasses
import json
import random
import time

from vanillaswitch.coordination import placement
from vanillaswitch.coordination import rooms
from vanillaswitch.coordination import tasks
from vanillaswitch.state import config as config_lib

SIZE = tasks.Need(16.0, 65_536)
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


def _wanted(count: int, pools: int, rng: random.Random) -> list[rooms.Wanted]:
    found = []
    for number in range(count):
        cores, memory_mb = rng.choice(SHAPES)
        need = tasks.Need(cores, memory_mb)
        pool = f"pool{number % pools}"
        job = f"job{number}"
        found.append(rooms.Wanted(f"{job}/0", job, pool, "team", need))
    return found


def _real(
    wanted: list[rooms.Wanted], rng: random.Random
) -> dict[str, tasks.Need]:
    """Returns the real needs: declarations are wrong by 0.5 to 3 times."""
    found = {}
    for task in wanted:
        factor = rng.uniform(*WRONG_BY)
        found[task.name] = tasks.Need(
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
    unlimited = tasks.Need(1e9, 10**12)
    view = placement.View(
        tuple(
            rooms.Worker(f"w{n:04}", f"pool{n % pools}", SIZE)
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


def main() -> None:
    """Prints one JSON line for each order and source of sizes."""
    for workers, pools, count in ((30, 5, 60), (1300, 153, 2600)):
        for by_usage in (False, True):
            for order in rooms.ORDERS.names:
                found = measure(order, by_usage, workers, pools, count)
                print(json.dumps(dataclasses.asdict(found)))


if __name__ == "__main__":
    main()
