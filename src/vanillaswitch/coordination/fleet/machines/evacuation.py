"""Drains instances within the disruption budgets of their jobs.

The budget of a long-running step is ``may_miss``: how many of its tasks may be
unavailable at once because of planned stops.
"""

from collections.abc import Iterable

from vanillaswitch.coordination.fleet.instances import disruption_budget
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import instance_state


def allows_disruption_of_all(
    scheduler: schedulers.Scheduler,
    instance: instance_state.Instance,
    now: float,
) -> bool:
    """Whether the budgets allow all runs of an instance to end at once."""
    return disruption_budget.allows_disruption(
        scheduler, instance.runs.values(), now
    )


def evacuate_instance(
    scheduler: schedulers.Scheduler,
    instance: instance_state.Instance,
    now: float,
) -> None:
    """Stops long-running tasks of an instance, within their budgets.

    They start elsewhere once the instance has listed their end. Short tasks
    are left to finish. An instance that is shutting down itself ends its tasks
    in any case, so there the budgets are not checked.
    """
    others = [
        other
        for other in scheduler.pool_instances(instance.registration.service)
        if other is not instance
    ]
    for run in list(instance.runs.values()):
        if not run.step.long_running or run.stop_requested_at is not None:
            continue
        if instance.registration.is_draining:
            scheduler.stop_run(
                instance, run, now, "its instance is shutting down"
            )
        elif disruption_budget.allows_disruption(
            scheduler, [run], now
        ) and _can_run_elsewhere(instance, run, others, now):
            scheduler.stop_run(
                instance, run, now, "its instance is drained for maintenance"
            )


def _can_run_elsewhere(
    instance: instance_state.Instance,
    run: instance_state.Run,
    others: Iterable[instance_state.Instance],
    now: float,
) -> bool:
    """Whether another instance can run a task that is stopped here.

    If none can, the task would wait while its own instance is half empty. A
    cordoned instance is drained now, so its tasks may also go where short
    tasks have to end first. An instance that is due for maintenance later has
    time: its tasks go only where there is free capacity now, and not to an
    instance that is due as well.
    """
    if instance.is_cordoned:
        return any(
            other.fits_without_short_tasks(run.step, run.task, run.demand, now)
            for other in others
        )
    return any(
        not other.is_maintenance_due and other.can_take_over(run, now)
        for other in others
    )


def evacuate_instances(scheduler: schedulers.Scheduler, now: float) -> None:
    """Drains all instances that are cordoned, due or shutting down.

    Long-running tasks leave an instance as soon as its machine is due for
    maintenance, while it still gets short ones. A job allows only one or two
    of them to stop at a time. Started later, the drain of the last machines of
    a wave would run one after the other, 1.2 s each, past the wave's end.
    """
    for instance in list(scheduler.instances.values()):
        draining = instance.registration.is_draining
        if instance.is_cordoned or instance.is_maintenance_due or draining:
            evacuate_instance(scheduler, instance, now)
