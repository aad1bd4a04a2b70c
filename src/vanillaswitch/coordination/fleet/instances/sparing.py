"""The disruption budget of long-running tasks.

A job with long-running tasks limits how many tasks of a step may be
unavailable at once because of the fleet's own actions (``may_miss``). A task
that is not serving counts as unavailable whatever the cause, so that planned
stops on top of crashes never exceed the budget.
"""

from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import rooms
from vanillaswitch.protocol import jobs

AT_WORK = 100.0
"""Progress that a long-running task reports while it serves."""

MAX_REPORT_AGE_S = 2.0
"""A task counts as serving for this long after its instance last listed it.
An instance with work answers within 1.0 s. A status report may be 1.8 s old on
arrival, the longest that a call takes, and a stop takes up to 0.7 s to arrive.
Together that is 4.5 s, the time after which a task that is not serving counts
against the disruption budget."""

ORDER_TIMEOUT_S = 0.7
"""Limit for sending one start or stop order; it takes a few milliseconds."""


@dataclasses.dataclass(frozen=True)
class Beside:
    """Assumed availability of the other tasks of a step.

    Attributes:
        away: number of tasks that can't be assumed to be serving.
        spared: disruption budget of the step; 0 if it has no limit.
        unheard_s: age of the oldest status report behind a task that counts
            as serving.
    """

    away: int = 0
    spared: int = 0
    unheard_s: float = 0.0


def beside(state: term_state.State, name: jobs.TaskName, now: float) -> Beside:
    """Returns the assumed availability of the tasks beside a given one."""
    entry = state.book.get(name.job_id)
    step = entry.open.get((name.occurrence, name.step)) if entry else None
    if step is None or not step.step.may_miss:
        return Beside()
    unavailable = unavailable_indices(state, step, now) - {name.index}
    listed_times = [
        run.listed_at
        for task in step.tasks
        if task.name != name
        and task.name.index not in unavailable
        and (run := _current_run(state, task)) is not None
    ]
    oldest_s = now - min(listed_times, default=now)
    return Beside(len(unavailable), step.step.may_miss, oldest_s)


def unavailable_indices(
    state: term_state.State, step: books.OpenStep, now: float
) -> set[int]:
    """Returns the indices of a step's tasks that may not be serving."""
    unavailable = set()
    for task in step.tasks:
        run = _current_run(state, task)
        if run is None or not _is_serving(run) or _is_stale(state, run, now):
            unavailable.add(task.name.index)
    return unavailable


def _is_stale(state: term_state.State, run: rooms.Run, now: float) -> bool:
    """Whether the last report of a run is too old to count it as serving.

    A run blocks its task from starting elsewhere until its lease has expired,
    seconds after its instance crashed or was cut off. If the run counted as
    serving all that time, the whole budget could be spent on other tasks of
    the step, and more tasks would be unavailable than the budget allows.
    """
    return now - run.listed_at > min(
        MAX_REPORT_AGE_S, state.notice_s - ORDER_TIMEOUT_S
    )


def _is_serving(run: rooms.Run) -> bool:
    """Whether a run serves and is not about to be stopped.

    Guards against a change of owner during a drain. Runs that the previous
    owner ordered to stop are reported as serving until the stop takes effect.
    If the next owner counted them as serving, it would stop as many again: a
    step with a budget of two had three tasks unavailable. So a run of an
    earlier owner counts as unavailable until a report shows it after any such
    stop must have taken effect.
    """
    return run.percent >= AT_WORK and run.stopping is None and not run.in_doubt


def _current_run(state: term_state.State, task: books.Task) -> rooms.Run | None:
    """Returns a task's run, or None if it has none that goes on."""
    instance = state.instances.get(task.instance)
    if instance is None or task.state is not books.TaskState.ASSIGNED:
        return None
    # The run will end with its machine, although the instance has not reported
    # that yet: orders for several machines follow within milliseconds.
    if instance.leaving:
        return None
    return instance.runs.get((task.name, task.run))


def may_end(
    state: term_state.State, runs: Iterable[rooms.Run], now: float
) -> bool:
    """Whether ending these runs together stays within all budgets."""
    ending: dict[tuple[str, int, int], set[int]] = {}
    for run in runs:
        if run.unread:
            # The job can't be read yet, so its budget is unknown.
            return False
        if run.step.may_miss:
            name = run.task
            key = (name.job_id, name.occurrence, name.step)
            ending.setdefault(key, set()).add(name.index)
    for (job_id, occurrence, number), indices in ending.items():
        entry = state.book.get(job_id)
        step = entry.open.get((occurrence, number)) if entry else None
        if step is None:
            continue
        # Each run to end uses up the budget even if it does not count as
        # serving: a new owner has not received any status report yet.
        if (
            len(unavailable_indices(state, step, now) | indices)
            > step.step.may_miss
        ):
            return False
    return True
