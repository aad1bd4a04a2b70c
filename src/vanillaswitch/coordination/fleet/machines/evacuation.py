"""Drains instances within the disruption budgets of their jobs.

The budget of a long-running step is ``may_miss``: how many of its tasks may be
unavailable at once because of planned stops.
"""

from collections.abc import Iterable

from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.instances import sparing
from vanillaswitch.coordination.fleet.queue import rooms


def may_end_all(core: cores.Core, instance: rooms.Instance, now: float) -> bool:
    """Whether the budgets allow all runs of an instance to end at once."""
    return sparing.may_end(core, instance.runs.values(), now)


def evacuate(core: cores.Core, instance: rooms.Instance, now: float) -> None:
    """Stops long-running tasks of an instance, within their budgets.

    They start elsewhere once the instance has listed their end. Short tasks
    are left to finish. An instance that is shutting down itself ends its tasks
    in any case, so there the budgets are not checked.
    """
    others = [
        other
        for other in core.pool_instances(instance.registration.service)
        if other is not instance
    ]
    for run in list(instance.runs.values()):
        if not run.step.long_running or run.stopping is not None:
            continue
        if instance.registration.draining:
            core.stop_run(instance, run, now, "its instance is shutting down")
        elif sparing.may_end(core, [run], now) and _can_run_elsewhere(
            instance, run, others, now
        ):
            core.stop_run(
                instance, run, now, "its instance is drained for maintenance"
            )


def _can_run_elsewhere(
    instance: rooms.Instance,
    run: rooms.Run,
    others: Iterable[rooms.Instance],
    now: float,
) -> bool:
    """Whether another instance can run a task that is stopped here.

    If none can, the task would wait while its own instance is half empty. A
    cordoned instance is drained now, so its tasks may also go where short
    tasks have to end first. An instance that is due for maintenance later has
    time: its tasks go only where there is free capacity now, and not to an
    instance that is due as well.
    """
    if instance.cordoned:
        return any(
            other.makes_room(run.step, run.task, run.need, now)
            for other in others
        )
    return any(not other.due and other.takes_over(run, now) for other in others)


def evacuate_all(core: cores.Core, now: float) -> None:
    """Drains all instances that are cordoned, due or shutting down.

    Long-running tasks leave an instance as soon as its machine is due for
    maintenance, while it still gets short ones. A job allows only one or two
    of them to stop at a time. Started later, the drain of the last machines of
    a wave would run one after the other, 1.2 s each, past the wave's end.
    """
    for instance in list(core.instances.values()):
        draining = instance.registration.draining
        if instance.cordoned or instance.due or draining:
            evacuate(core, instance, now)
