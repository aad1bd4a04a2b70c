"""Chooses instances for tasks that are suspected of crashing them.

When an instance crashes, every task that had just started there may be the
cause. Other tasks go to the fullest instance that has capacity for them. If
suspects did so too, the one that causes crashes would end as many runs again.
Each suspect therefore starts on an instance without other new runs, so that a
second crash identifies it, and where the fewest runs would be lost. Nothing
else starts there until the suspect has run long enough to show that it does not
crash its instance.
"""

from collections.abc import Iterable
from collections.abc import Sequence

from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import open_steps

BUSY_SUSPECT_SHARE = 0.25
"""Largest share of a pool that may run suspected tasks at a time. Applies when
an instance with other runs is chosen. The rest of the pool runs tasks that are
not suspected."""

IDLE_SUSPECT_SHARE = 0.75
"""The same limit when an instance without other runs is chosen. Most tasks lost
with an instance are not the cause, and with the lower limit they would wait
for each other while instances are idle."""


class SuspectLimit:
    """Limits how many instances of a pool run suspected tasks at a time."""

    def __init__(self, pool: Sequence[instance_state.Instance]):
        """Counts the suspected tasks that run in a pool.

        Args:
            pool: all instances of the pool.
        """
        self._pool_size = len(pool)
        self._active = sum(
            instance.has_active_isolated_run for instance in pool
        )

    def allows(self, instance: instance_state.Instance) -> bool:
        """Whether an instance of the pool may run a suspected task."""
        if instance.runs:
            return self._is_below(BUSY_SUSPECT_SHARE)
        return self._is_below(IDLE_SUSPECT_SHARE)

    def allows_any(self, instances: Iterable[instance_state.Instance]) -> bool:
        """Whether any of some instances may run a suspected task."""
        if self._is_below(BUSY_SUSPECT_SHARE):
            return True
        return self._is_below(IDLE_SUSPECT_SHARE) and not all(
            instance.runs for instance in instances
        )

    def count_start(self) -> None:
        """Counts a suspected task that was assigned to an instance."""
        self._active += 1

    def _is_below(self, max_share: float) -> bool:
        return self._active < max(1, int(self._pool_size * max_share))


def choose_suspect_instance(
    state: term_state.TermState,
    step: open_steps.OpenStep,
    task: open_steps.Task,
    candidates: Sequence[instance_state.Instance],
    now: float,
) -> instance_state.Instance | None:
    """Returns the instance whose loss would cost least.

    If no instance can start the task now, it returns one to wait for.

    Args:
        state: state of the current term.
        step: the step of the task.
        task: the suspected task.
        candidates: instances that may run it.
        now: monotonic seconds.
    """

    def has_no_budget_left(instance: instance_state.Instance) -> bool:
        return any(
            _has_no_budget_left(state, run, now)
            for run in instance.runs.values()
            if run.step.long_running
        )

    def rank(instance: instance_state.Instance) -> tuple[object, ...]:
        return (
            has_no_budget_left(instance),
            instance.name != step.reserved_instance,
            sum(run.step.long_running for run in instance.runs.values()),
            instance.name in task.avoided_instances or instance.is_straggler,
            instance.used_cpu,
            instance.name,
        )

    def fits(instance: instance_state.Instance) -> bool:
        return instance.fits_beside_long_running_tasks(
            step.step, task.name, step.demand, now
        )

    startable = [
        instance
        for instance in candidates
        if can_start_suspect(step, task, instance) and fits(instance)
    ]
    if startable:
        return min(startable, key=rank)
    # The reserved instance has the lowest rank while it has budget left. A
    # plan asks this of every waiting suspect, and ranking all is slow.
    for instance in candidates:
        if instance.name == step.reserved_instance:
            if fits(instance) and not has_no_budget_left(instance):
                return instance
            break
    return min(filter(fits, candidates), key=rank, default=None)


def can_start_suspect(
    step: open_steps.OpenStep,
    task: open_steps.Task,
    instance: instance_state.Instance,
) -> bool:
    """Whether a suspected task may start on an instance now."""
    limit = step.step.anti_affinity
    return (
        instance.has_capacity_for(step.demand)
        and not instance.has_unproven_run
        and not (limit and instance.count_step_runs(task.name) >= limit)
    )


def _has_no_budget_left(
    state: term_state.TermState, run: instance_state.Run, now: float
) -> bool:
    """Whether no other task of a run's step may become unavailable."""
    siblings = disruption_budget.sibling_status(state, run.task, now)
    return (
        bool(siblings.max_unavailable)
        and siblings.unavailable >= siblings.max_unavailable
    )
