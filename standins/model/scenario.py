"""What an experiment plays: read from TOML, checked, unknown keys refused."""

from collections.abc import Mapping
import dataclasses
import pathlib
import tomllib
from typing import Any

import cattrs
import cattrs.errors
import cattrs.gen

from standins.model import errors
from vanillaswitch.coordination.fleet.machines import capacity_planner
from vanillaswitch.coordination.fleet.queue import queue_order


@dataclasses.dataclass(frozen=True)
class Prices:
    """What is taken off the credit, in worth.

    Attributes:
        machine_s: a second of a machine in a pool that is not standby.
        move: a machine that changes its pool.
        waste_core_s: a core-second of work that was thrown away.
    """

    machine_s: float = 0.064
    move: float = 0.072
    waste_core_s: float = 0.013


@dataclasses.dataclass(frozen=True)
class Queue:
    """One queue, the pool of its name, and its clients.

    Attributes:
        machines: that stand in its pool at the beginning.
        jobs_per_s: mean over the day.
        turn: its place among the turns; queues of the same one ask together.
        worth: of a job of mean work that is in time.
        steps: mean number of steps.
        width: mean number of tasks of a step.
        cpu: mean thousandths of a core of a task.
        task_s: mean duration of a task.
        estimate_off: spread of the logarithm of estimate over duration.
        twice: share of jobs whose tasks may run in copies.
        lasting: tasks that last, each on an instance of its own.
        lasting_cpu: thousandths of a core of each of them.
        may_miss: how many of them may be away by our own doing.
    """

    name: str
    machines: int
    jobs_per_s: float
    turn: int
    worth: float
    steps: float = 1.6
    width: float = 6.0
    cpu: float = 900.0
    mem_mb: float = 1500.0
    task_s: float = 1.0
    estimate_off: float = 0.2
    twice: float = 0.0
    priority: int = 0
    stretch: float = 1.6
    target_ms: float = 600.0
    lasting: int = 0
    lasting_cpu: int = 1500
    may_miss: int = 1


@dataclasses.dataclass(frozen=True)
class Fault:
    """Trouble that begins at a second and lasts for some.

    Attributes:
        kind: one of ``FAULTS``.
        queue: whose pool it hits, where it hits instances.
        count: how many instances, all of one rack where there are enough.
        factor: how many times longer tasks take on slow instances, and how
            many times smaller the room is of those that shrink.
        share: part of the jobs that come meanwhile of which a task crashes
            the instances that start it.
    """

    kind: str
    at: float
    for_s: float
    queue: str = ""
    count: int = 3
    factor: float = 5.0
    share: float = 0.05


FAULTS = (
    "dark",
    "slow",
    "errors",
    "restarted",
    "owner_lost",
    "store_away",
    "crashing_tasks",
    "crashing_steps",
    "shrunk",
)


@dataclasses.dataclass(frozen=True)
class Wave:
    """Machines that are due for upkeep from a second on."""

    at: float
    share: float
    for_s: float
    count: int


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A deployment and its day.

    Attributes:
        seconds: how long clients hand jobs in.
        turn_s: how long a queue asks more before the next one does.
        peak: how many times its mean a queue asks in its turn.
        swing: the same in between.
        rack: machines in one rack.
        move_s: time for which a machine that moves is away.
        seen_s: time from then until its instance is heard of.
    """

    name: str
    queue: tuple[Queue, ...]
    seconds: float = 34.0
    turn_s: float = 4.5
    peak: float = 4.0
    swing: float = 0.05
    standby: int = 6
    rack: int = 4
    machine_cpu: int = 16_000
    machine_mem_mb: int = 32_768
    move_s: float = 1.5
    seen_s: float = 0.1
    upkeep_s: float = 2.0
    prices: Prices = Prices()
    fault: tuple[Fault, ...] = ()
    wave: tuple[Wave, ...] = ()


@dataclasses.dataclass(frozen=True)
class Policy:
    """One variant of the decisions.

    Attributes:
        order: of a queue, by its registered name.
        machines: figures of ``capacity.Policy`` that differ, by field.
    """

    name: str
    order: str = queue_order.DEFAULT_ORDER
    machines: Mapping[str, float] = dataclasses.field(default_factory=dict)

    @property
    def capacity(self) -> capacity_planner.ScalingPolicy:
        """The figures by which machines follow the load."""
        return dataclasses.replace(
            capacity_planner.DEFAULT_POLICY, **self.machines
        )


@dataclasses.dataclass(frozen=True)
class Experiment:
    """Policies that are compared on a scenario.

    Attributes:
        sizes: multiples of the scenario's machines and traffic.
    """

    scenario: Scenario
    policy: tuple[Policy, ...]
    seeds: tuple[int, ...] = (1, 2, 3, 4, 5)
    sizes: tuple[float, ...] = (1.0,)


def load(path: pathlib.Path) -> Experiment:
    """Reads an experiment.

    Raises:
        errors.ExperimentError: it can't be read, or a field is wrong.
    """
    try:
        document = tomllib.loads(path.read_text(encoding="utf-8"))
    except OSError as error:
        raise errors.ExperimentError(f"{path}: {error.strerror}") from error
    except tomllib.TOMLDecodeError as error:
        raise errors.ExperimentError(f"{path}: {error}") from error
    try:
        experiment = _converter().structure(document, Experiment)
    except cattrs.errors.BaseValidationError as error:
        first = cattrs.transform_error(error, "")[0]
        raise errors.ExperimentError(f"{path}: {first}") from error
    for problem in _problems(experiment):
        raise errors.ExperimentError(f"{path}: {problem}")
    return experiment


def _converter() -> cattrs.Converter:
    converter = cattrs.Converter(forbid_extra_keys=True)

    def number(value: Any, _: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise TypeError(f"{value!r} is not a number")
        return float(value)

    converter.register_structure_hook(float, number)
    return converter


def _problems(experiment: Experiment) -> list[str]:
    """Returns what is wrong with values that are of the right type."""
    scenario = experiment.scenario
    problems = [
        f"scenario.queue: {queue.name}: {field} is {value}: give one above 0"
        for queue in scenario.queue
        for field, value in (
            ("machines", queue.machines),
            ("jobs_per_s", queue.jobs_per_s),
            ("task_s", queue.task_s),
            ("cpu", queue.cpu),
        )
        if value <= 0
    ]
    names = {queue.name for queue in scenario.queue}
    if not names:
        problems.append("scenario.queue: give at least one")
    for fault in scenario.fault:
        if fault.kind not in FAULTS:
            known = ", ".join(FAULTS)
            problems.append(
                f"scenario.fault: kind {fault.kind!r} is not one of {known}"
            )
        elif fault.queue and fault.queue not in names:
            problems.append(f"scenario.fault: no queue is {fault.queue!r}")
    if any(size <= 0 for size in experiment.sizes):
        problems.append("sizes: give numbers above 0")
    if not experiment.seeds or not experiment.policy:
        problems.append("seeds, policy: give at least one of each")
    for policy in experiment.policy:
        problems.extend(_policy_problems(policy))
    return problems


def _policy_problems(policy: Policy) -> list[str]:
    problems = []
    if policy.order not in queue_order.ORDERS.names:
        known = ", ".join(queue_order.ORDERS.names)
        problems.append(
            f"policy {policy.name}: order {policy.order!r} is not one of "
            f"{known}"
        )
    fields = {
        field.name
        for field in dataclasses.fields(capacity_planner.ScalingPolicy)
    }
    for name, value in policy.machines.items():
        if name not in fields:
            known = ", ".join(sorted(fields))
            problems.append(
                f"policy {policy.name}: machines.{name} is not one of {known}"
            )
        elif value < 0:
            problems.append(f"policy {policy.name}: machines.{name} is below 0")
    return problems
