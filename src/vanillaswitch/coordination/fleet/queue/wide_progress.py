"""Compact form of the progress of jobs with many tasks.

Load pattern: one job brings thousands of small tasks, which all fit on the
fleet at once. The store limits the size of a row. A plain document has a row
for each started task, and would exceed the limit with some thousand of them.
Here a task that is done takes one bit, and other started tasks name their
instances by number.
"""

from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
from typing import Any

MAX_PLAIN_TASKS = 256
"""A document with more started tasks is written in the compact form. Earlier
versions of this program read plain documents only."""

MAX_PLAIN_OCCURRENCES = 256
"""A longer list of steps that are done is written as ranges."""

DONE = "d"
"""State of a task that is done, as in ``open_steps.TaskState``."""

FIXED_BYTES = 2048
"""What a compact document holds besides its tasks, and the token of its
transaction."""

TASK_BYTES = 64
"""Largest usual size of a started task in a compact document, without its
checkpoint: its row, and the name of its instance if it is the only task
there."""

PLAIN_FIXED_BYTES = 256
PLAIN_TASK_BYTES = 128
"""The same of a plain document, with checkpoint and evidence of crashes."""

RANGE_BYTES = 32
"""Largest usual size of a range of occurrences in which a step is done."""

MIN_CHECKPOINT_BYTES = 16
"""Length of the checkpoints of most instances; a task without one may get one
at any time."""


@dataclasses.dataclass(frozen=True, slots=True)
class StartedTask:
    """What a later owner needs to know of a task that was started.

    Attributes:
        state: see ``open_steps.TaskState``.
        born_ms: see ``open_steps.Task``.
        crashes: rows of ``crash_evidence.encode_crashes``.
    """

    occurrence: int
    step: int
    index: int
    state: str
    run: int
    instance: str = ""
    failed_runs: int = 0
    checkpoint: str = ""
    born_ms: int | None = None
    crashes: Sequence[Sequence[Any]] = ()


def encode(tasks: Iterable[StartedTask]) -> dict[str, Any]:
    """Returns started tasks in the compact form.

    Returns:
        "done": rows of occurrence, step and a hexadecimal number with a bit for
        each index that is done; nothing else of these tasks is kept. "places":
        rows of an instance and its boot time. "tasks": rows of occurrence,
        step, index, state, run and number of the place, and, where one of them
        is not empty, failed runs, checkpoint and crashes.
    """
    places: dict[tuple[str, int | None], int] = {}
    done: dict[tuple[int, int], int] = {}
    rows: list[list[Any]] = []
    for task in tasks:
        key = (task.occurrence, task.step)
        if task.state == DONE:
            done[key] = done.get(key, 0) | 1 << task.index
            continue
        place = places.setdefault((task.instance, task.born_ms), len(places))
        row = [*key, task.index, task.state, task.run, place]
        if task.failed_runs or task.checkpoint or task.crashes:
            row += [task.failed_runs, task.checkpoint, list(task.crashes)]
        rows.append(row)
    return {
        "done": [[*key, f"{bits:x}"] for key, bits in done.items()],
        "places": [list(place) for place in places],
        "tasks": rows,
    }


def decode(document: Mapping[str, Any]) -> Iterator[StartedTask]:
    """Yields the tasks of a document that ``encode`` returned."""
    for occurrence, step, digits in document["done"]:
        bits = int(digits, 16)
        for index in range(bits.bit_length()):
            if bits >> index & 1:
                # Which of its runs did it is not kept: it never starts again.
                yield StartedTask(occurrence, step, index, DONE, 1)
    places = document["places"]
    for occurrence, step, index, state, run, place, *rest in document["tasks"]:
        instance, born_ms = places[place]
        failed_runs, checkpoint, crashes = rest or (0, "", ())
        yield StartedTask(
            occurrence,
            step,
            index,
            state,
            run,
            instance,
            failed_runs,
            checkpoint,
            born_ms,
            crashes,
        )


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentLoad:
    """What determines the size of a job's document.

    Attributes:
        tasks: number of tasks of the job's open steps.
        started: how many of them were started.
        unfinished: how many of those are not done.
        longest_checkpoint: length of their longest checkpoint.
        done_ranges: most rows that the steps that are done take as ranges.
    """

    tasks: int
    started: int
    unfinished: int
    longest_checkpoint: int
    done_ranges: int = 0


def max_bytes(load: DocumentLoad) -> int:
    """Returns the largest usual size of a document, in bytes of JSON."""
    if load.started > MAX_PLAIN_TASKS:
        return _without_tasks(load) + load.unfinished * _task_bytes(load)
    extra = max(0, load.longest_checkpoint - MIN_CHECKPOINT_BYTES)
    tasks = load.started * (PLAIN_TASK_BYTES + extra)
    return PLAIN_FIXED_BYTES + tasks + load.done_ranges * RANGE_BYTES


def free_tasks(load: DocumentLoad, limit: int) -> int:
    """Returns how many more tasks a document has room for.

    At least one task of a job may be started at any time.

    Args:
        load: of the document.
        limit: on its size, in bytes of JSON.
    """
    room = (limit - _without_tasks(load)) // _task_bytes(load)
    return max(0, max(1, room) - load.unfinished)


def _without_tasks(load: DocumentLoad) -> int:
    return FIXED_BYTES + load.tasks // 4 + load.done_ranges * RANGE_BYTES


def _task_bytes(load: DocumentLoad) -> int:
    return TASK_BYTES + max(MIN_CHECKPOINT_BYTES, load.longest_checkpoint)
