"""Stops long-running tasks of drained instances so that they run elsewhere.

Stops stay within the disruption budgets of the jobs. The budget of a
long-running step is ``may_miss``: how many of its tasks may be unavailable at
once because of planned stops.
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
    """Whether the budgets allow stopping all runs of an instance at once."""
    return disruption_budget.allows_disruption(
        scheduler, instance.runs.values(), now
    )


def evacuate_instance(
    scheduler: schedulers.Scheduler,
    instance: instance_state.Instance,
    now: float,
) -> None:
    """Stops long-running tasks of an instance, within their budgets.

    The tasks start elsewhere after the instance has reported that they ended.
    Short tasks may finish. An instance that is shutting down ends its tasks in
    any case, so the budgets are not checked for it.
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

    If none can, a stopped task would wait while its own instance is half empty.
    A cordoned instance is drained now. So its tasks may also move to an
    instance where short tasks have to end first. An instance that is only due
    for maintenance is drained later. So its tasks move only to an instance that
    has free capacity now and is not due for maintenance itself.
    """
    if instance.is_cordoned:
        return any(
            other.fits_beside_long_running_tasks(
                run.step, run.task, run.demand, now
            )
            for other in others
        )
    return any(
        not other.is_maintenance_due and other.could_start(run, now)
        for other in others
    )


def evacuate_instances(scheduler: schedulers.Scheduler, now: float) -> None:
    """Evacuates instances that are cordoned, due or shutting down.

    An instance is due if its machine waits for maintenance.

    Long-running tasks are stopped as soon as the machine of their instance is
    due for maintenance, while the instance still gets short tasks. A job allows
    only one or two of its long-running tasks to stop at a time. If this started
    later, the last machines of a wave would be drained one after the other, in
    1.2 s each, and the wave would end too late.
    """
    for instance in list(scheduler.instances.values()):
        is_shutting_down = instance.registration.is_draining
        if (
            instance.is_cordoned
            or instance.is_maintenance_due
            or is_shutting_down
        ):
            evacuate_instance(scheduler, instance, now)
