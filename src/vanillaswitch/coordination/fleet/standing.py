"""How jobs, instances and waves stand, as the store's rows tell.

An operator who asks reads the rows that the next owner would restore. So the
answer does not depend on which process owns the fleet, or whether any does.
"""

import collections
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import unusable

_STATES = {
    books.TaskState.WAITING: "waiting",
    books.TaskState.ASSIGNED: "assigned",
    books.TaskState.DONE: "done",
}


@dataclasses.dataclass(frozen=True)
class TaskStanding:
    """One task that is not done, or that failed or crashed before.

    Attributes:
        task: "OCCURRENCE.STEP.INDEX".
        run: highest run number given out; 0 before the first start.
        instance: where that run is; empty while it waits.
        failed: runs that ended as failed.
        crashes: instances that were lost under its runs.
        apart: it runs apart from others, since it may crash its instance.
    """

    task: str
    state: str
    run: int
    instance: str
    failed: int
    crashes: tuple[str, ...]
    apart: bool


@dataclasses.dataclass(frozen=True)
class JobStanding:
    """One job.

    Attributes:
        cancelled: its client cancelled it.
        steps: by "OCCURRENCE.STEP", "done" or how many tasks are in which
            state; steps whose turn has not come are left out.
        tasks: those that say more than that they are done.
        given_up: crashes for which it was given up.
    """

    job: str
    queue: str
    state: str
    cancelled: bool
    steps: Mapping[str, str]
    tasks: tuple[TaskStanding, ...]
    given_up: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class InstanceStanding:
    """One instance.

    Attributes:
        state: "ready", "draining", or why its entry can't be used.
        born_ms: when it started, milliseconds since 1970; None where it does
            not say.
        runs: runs that rows of jobs name, "JOB OCCURRENCE.STEP.INDEX run N".
    """

    instance: str
    service: str
    address: str
    state: str
    capacity: fleet.Resources
    born_ms: int | None
    runs: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class WaveStanding:
    """One wave.

    Attributes:
        state: as the operators were told last; empty for not yet.
        left: machines whose upkeep is not recorded as over.
    """

    wave: str
    state: str
    machines: int
    left: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class FleetStanding:
    """The fleet as a whole.

    Attributes:
        owner: name of the process; empty for nobody.
        queues: jobs by queue and state.
        services: instances by service and state.
        machines: by pool and state.
        unusable: rows that can't be used, and why.
    """

    owner: str
    owner_address: str
    queues: Mapping[str, Mapping[str, int]]
    services: Mapping[str, Mapping[str, int]]
    machines: Mapping[str, Mapping[str, int]]
    waves: tuple[WaveStanding, ...]
    unusable: Mapping[str, str]


def entry_of(
    accepted: Mapping[str, Any], progress: Mapping[str, Any] | None
) -> books.Entry | unusable.Unusable:
    """Restores a job from its two rows, as an owner does.

    Args:
        accepted: as it was handed in.
        progress: as its owner wrote it; None before its first start.
    """
    job = job_rows.unpack(accepted)
    if isinstance(job, unusable.Unusable):
        return job
    entry = books.Entry(job, 0.0)
    wrong = entry.unpack(progress) if progress is not None else None
    return wrong or entry


def of_job(entry: books.Entry, cancelled: bool) -> JobStanding:
    """Returns how a job stands."""
    steps = {}
    for occurrence in range(entry.job.occurrences):
        for number in range(len(entry.job.steps)):
            if entry.is_done(occurrence, number):
                steps[f"{occurrence}.{number}"] = "done"
    told: list[TaskStanding] = []
    for step in entry.open.values():
        key = f"{step.occurrence}.{step.number}"
        counts = collections.Counter(_STATES[item.state] for item in step.tasks)
        steps[key] = ", ".join(f"{n} {state}" for state, n in counts.items())
        told.extend(_of_task(task) for task in step.tasks if _says_more(task))
    return JobStanding(
        entry.job.job_id,
        entry.job.queue,
        entry.state.value,
        cancelled,
        dict(sorted(steps.items())),
        tuple(told),
        tuple(crash.text for crash in entry.given_up),
    )


def _says_more(task: books.Task) -> bool:
    done = task.state is books.TaskState.DONE
    return not done or bool(task.failed or task.crashes)


def _of_task(task: books.Task) -> TaskStanding:
    return TaskStanding(
        task.name.label,
        _STATES[task.state],
        task.run,
        task.instance,
        task.failed,
        tuple(crash.text for crash in task.crashes),
        task.suspect,
    )


def of_instance(
    name: str,
    found: fleet.Registration | unusable.Unusable,
    entries: Iterable[books.Entry],
) -> InstanceStanding:
    """Returns how an instance stands.

    Args:
        name: its id.
        found: its entry.
        entries: all jobs.
    """
    runs = tuple(_runs_on(name, entries))
    if isinstance(found, unusable.Unusable):
        nothing = fleet.Resources(0, 0)
        return InstanceStanding(name, "", "", found.reason, nothing, None, runs)
    return InstanceStanding(
        name,
        found.service,
        found.address,
        _state_of(found),
        found.capacity,
        found.born_ms,
        runs,
    )


def _runs_on(name: str, entries: Iterable[books.Entry]) -> Iterable[str]:
    for entry in entries:
        for step in entry.open.values():
            for task in step.tasks:
                here = task.instance == name
                if here and task.state is books.TaskState.ASSIGNED:
                    label = task.name.label
                    yield f"{entry.job.job_id} {label} run {task.run}"


def _state_of(found: fleet.Registration | unusable.Unusable) -> str:
    if isinstance(found, unusable.Unusable):
        return "unusable"
    return "draining" if found.draining else "ready"


def of_wave(
    order: fleet.WaveOrder, finished: Iterable[str], state: str
) -> WaveStanding:
    """Returns how a wave stands.

    Args:
        order: as the operators wrote it.
        finished: machines whose upkeep is recorded as over.
        state: as it was reported last.
    """
    over = set(finished)
    left = tuple(name for name in order.machines if name not in over)
    return WaveStanding(order.name, state, len(order.machines), left)


def count_jobs(
    entries: Iterable[books.Entry],
) -> Mapping[str, Mapping[str, int]]:
    """Returns jobs by queue and state."""
    return _count((entry.job.queue, entry.state.value) for entry in entries)


def count_instances(
    found: Iterable[fleet.Registration],
) -> Mapping[str, Mapping[str, int]]:
    """Returns instances by service and state."""
    return _count((item.service, _state_of(item)) for item in found)


def count_machines(
    listed: Iterable[fleet.Machine],
) -> Mapping[str, Mapping[str, int]]:
    """Returns machines by pool and state."""
    return _count((item.pool, item.state.value) for item in listed)


def _count(
    pairs: Iterable[tuple[str, str]],
) -> Mapping[str, Mapping[str, int]]:
    counted: dict[str, dict[str, int]] = {}
    for (name, state), number in sorted(collections.Counter(pairs).items()):
        counted.setdefault(name, {})[state] = number
    return counted
