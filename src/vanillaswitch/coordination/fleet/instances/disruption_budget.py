"""The disruption budget of long-running tasks.

A job with long-running tasks limits how many tasks of a step may be
unavailable at once because this system stopped them (``Step.may_miss``). A task
that is not serving counts as unavailable whatever the cause, so that planned
stops in addition to crashes never exceed the budget.
"""

from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.protocol import jobs

SERVING_PERCENT = 100.0
"""Progress that a long-running task reports while it serves."""

MAX_REPORT_AGE_S = 2.0
"""A task counts as serving for this long after its instance last reported it.
An instance with work answers within 1.0 s. A status report may be 1.8 s old on
arrival, the longest that a call takes, and a stop takes up to 0.7 s to arrive.
Together that is 4.5 s, the time after which a task that is not serving counts
against the disruption budget."""

ORDER_TIMEOUT_S = 0.7
"""Limit for sending one start or stop order; it takes a few milliseconds."""


@dataclasses.dataclass(frozen=True)
class SiblingStatus:
    """Assumed availability of the other tasks of a step.

    Attributes:
        unavailable: number of tasks that can't be assumed to be serving.
        max_unavailable: disruption budget of the step; 0 if it has no limit.
        oldest_report_s: age of the oldest status report because of which one of
            these tasks counts as serving.
    """

    unavailable: int = 0
    max_unavailable: int = 0
    oldest_report_s: float = 0.0


def sibling_status(
    state: term_state.TermState, name: jobs.TaskName, now: float
) -> SiblingStatus:
    """Returns the assumed availability of the tasks beside a given one."""
    entry = state.tracker.get(name.job_id)
    step = (
        entry.open_steps_by_key.get((name.occurrence, name.step))
        if entry
        else None
    )
    if step is None or not step.step.may_miss:
        return SiblingStatus()
    unavailable = unavailable_indices(state, step, now) - {name.index}
    report_times = [
        run.reported_at
        for task in step.tasks
        if task.name != name
        and task.name.index not in unavailable
        and (run := _current_run(state, task)) is not None
    ]
    oldest_s = now - min(report_times, default=now)
    return SiblingStatus(len(unavailable), step.step.may_miss, oldest_s)


def unavailable_indices(
    state: term_state.TermState, step: open_steps.OpenStep, now: float
) -> set[int]:
    """Returns the indices of a step's tasks that may not be serving."""
    unavailable = set()
    for task in step.tasks:
        run = _current_run(state, task)
        if run is None or not _is_serving(run) or _is_stale(state, run, now):
            unavailable.add(task.name.index)
    return unavailable


def _is_stale(
    state: term_state.TermState, run: instance_state.Run, now: float
) -> bool:
    """Whether the last report of a run is too old to count it as serving.

    A run blocks its task from starting elsewhere until its lease has expired,
    seconds after its instance crashed or became unreachable. If the run counted
    as serving all that time, the whole budget could be spent on other tasks of
    the step, and more tasks would be unavailable than the budget allows.
    """
    return now - run.reported_at > min(
        MAX_REPORT_AGE_S, state.unavailability_grace_s - ORDER_TIMEOUT_S
    )


def _is_serving(run: instance_state.Run) -> bool:
    """Whether a run serves and is not about to be stopped.

    Guards against a change of owner during a drain. Runs that the previous
    owner ordered to stop are reported as serving until the stop takes effect.
    If the next owner counted them as serving, it would stop as many again: a
    step with a budget of two had three tasks unavailable. So a run of an
    earlier owner counts as unavailable until a report shows it after any such
    stop must have taken effect.
    """
    return (
        run.percent >= SERVING_PERCENT
        and run.stop_requested_at is None
        and not run.may_be_stopping
    )


def _current_run(
    state: term_state.TermState, task: open_steps.Task
) -> instance_state.Run | None:
    """Returns the run of an assigned task.

    Returns:
        None if there is no such run, or if it will end with its machine.
    """
    instance = state.instances.get(task.instance)
    if instance is None or task.state is not open_steps.TaskState.ASSIGNED:
        return None
    # The run will end with its machine, but the instance has not reported that
    # yet. Orders for several machines follow within milliseconds of each other.
    if instance.is_terminating:
        return None
    return instance.runs.get((task.name, task.run))


def allows_disruption(
    state: term_state.TermState, runs: Iterable[instance_state.Run], now: float
) -> bool:
    """Whether ending these runs together stays within all budgets."""
    ending_indices: dict[tuple[str, int, int], set[int]] = {}
    for run in runs:
        if run.has_unknown_demand:
            # The job can't be read yet, so its budget is unknown.
            return False
        if run.step.may_miss:
            name = run.task
            key = (name.job_id, name.occurrence, name.step)
            ending_indices.setdefault(key, set()).add(name.index)
    for (job_id, occurrence, step_number), indices in ending_indices.items():
        entry = state.tracker.get(job_id)
        step = (
            entry.open_steps_by_key.get((occurrence, step_number))
            if entry
            else None
        )
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
