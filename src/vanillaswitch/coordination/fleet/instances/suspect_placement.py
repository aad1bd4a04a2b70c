"""Chooses instances for tasks that are suspected of crashing them.

When an instance crashes, every task that had just started there may be the
cause. Other tasks go to the fullest instance that has capacity for them. If
suspects did so too, the one that causes crashes would end as many runs again.
Each suspect therefore starts on an instance without other new runs, so that a
second crash identifies it, and where the fewest runs would be lost. Nothing
else starts there until the suspect has run long enough to show that it does not
crash its instance.
"""

from collections.abc import Sequence

from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import job_tracker

BUSY_SUSPECT_SHARE = 0.25
"""Largest share of a pool that may run suspected tasks at a time. Applies when
an instance with other runs is chosen. The rest of the pool runs tasks that are
not suspected."""

IDLE_SUSPECT_SHARE = 0.75
"""The same limit when an instance without other runs is chosen. Most tasks lost
with an instance are not the cause, and with the lower limit they would wait
for each other while instances are idle."""


def may_run_suspect(
    pool: Sequence[instance_state.Instance], chosen: instance_state.Instance
) -> bool:
    """Whether the chosen instance of a pool may run a suspected task."""
    max_share = BUSY_SUSPECT_SHARE if chosen.runs else IDLE_SUSPECT_SHARE
    active_suspects = sum(instance.has_active_isolated_run for instance in pool)
    return active_suspects < max(1, int(len(pool) * max_share))


def choose_suspect_instance(
    state: term_state.TermState,
    step: job_tracker.OpenStep,
    task: job_tracker.Task,
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
    need = job_tracker.task_demand(step.step)

    def rank(instance: instance_state.Instance) -> tuple[object, ...]:
        long_running = [
            run for run in instance.runs.values() if run.step.long_running
        ]
        over_budget = sum(
            _has_no_budget_left(state, run, now) for run in long_running
        )
        return (
            not can_start_suspect(step, task, instance),
            over_budget > 0,
            instance.name != step.reserved_instance,
            len(long_running),
            instance.name in task.avoided_instances or instance.is_straggler,
            instance.used_cpu,
            instance.name,
        )

    fitting = [
        instance
        for instance in candidates
        if instance.fits_beside_long_running_tasks(
            step.step, task.name, need, now
        )
    ]
    return min(fitting, key=rank, default=None)


def can_start_suspect(
    step: job_tracker.OpenStep,
    task: job_tracker.Task,
    instance: instance_state.Instance,
) -> bool:
    """Whether a suspected task may start on an instance now."""
    limit = step.step.anti_affinity
    return (
        not instance.unproven_runs
        and instance.has_capacity_for(job_tracker.task_demand(step.step))
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
