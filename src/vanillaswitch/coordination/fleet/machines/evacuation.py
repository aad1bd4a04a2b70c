"""Taking tasks off an instance without breaking what their jobs bear.

A job whose tasks last says how many of them may be away at once by our own
doing. Whatever the cause, a task that is not at work counts as away here, so
that a crash and a planned stop never add up to more than the job bears.
"""

from collections.abc import Iterable

from vanillaswitch.coordination.fleet.instances import core as cores
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import rooms

AT_WORK = 100.0
"""Percent that a lasting task shows while it serves."""


def away(core: cores.Core, step: books.OpenStep) -> set[int]:
    """Returns the indices of a step's tasks that are not surely at work."""
    missing = set()
    for task in step.tasks:
        run = _run(core, task)
        if run is None or not _at_work(run):
            missing.add(task.name.index)
    return missing


def _at_work(run: rooms.Run) -> bool:
    """Whether a run is at work and goes on.

    Guards against a change of owner in the middle of an evacuation: runs that
    the owner before told to stop are listed as at work for as long as a stop
    takes. The next owner ended as many again, and a job that spares two was
    three short. So a run of an earlier owner counts as away until it is listed
    after any such stop is over.
    """
    return run.percent >= AT_WORK and run.stopping is None and not run.in_doubt


def _run(core: cores.Core, task: books.Task) -> rooms.Run | None:
    instance = core.instances.get(task.instance)
    if instance is None or task.state is not books.TaskState.ASSIGNED:
        return None
    # Its end is certain, although the instance has not listed it yet: orders
    # for several machines follow each other within milliseconds.
    if instance.leaving:
        return None
    return instance.runs.get((task.name, task.run))


def may_end(core: cores.Core, runs: Iterable[rooms.Run]) -> bool:
    """Whether these runs may be ended together by our own doing."""
    ending: dict[tuple[str, int, int], set[int]] = {}
    for run in runs:
        if run.unread:
            # How many of its step may be away is not known.
            return False
        if run.step.may_miss and run.stopping is None:
            name = run.task
            key = (name.job_id, name.occurrence, name.step)
            ending.setdefault(key, set()).add(name.index)
    for (job_id, occurrence, number), indices in ending.items():
        entry = core.book.get(job_id)
        step = entry.open.get((occurrence, number)) if entry else None
        if step is None:
            continue
        # What is to be ended counts as at work whatever was listed last: an
        # owner that has just taken over has not heard of any run yet.
        if len(away(core, step) | indices) > step.step.may_miss:
            return False
    return True


def may_end_all(core: cores.Core, instance: rooms.Instance) -> bool:
    """Whether all that an instance runs may be ended at once."""
    return may_end(core, instance.runs.values())


def evacuate(core: cores.Core, instance: rooms.Instance, now: float) -> None:
    """Stops the lasting tasks of an instance, as many as their jobs bear.

    They start elsewhere once their end is listed. Short tasks are left to
    finish. An instance that leaves by itself takes its tasks with it anyway,
    so there no bound is kept.
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
            core.stop_run(instance, run, now, "its instance leaves")
        elif may_end(core, [run]) and _has_place(instance, run, others, now):
            core.stop_run(instance, run, now, "its instance is emptied")


def _has_place(
    instance: rooms.Instance,
    run: rooms.Run,
    others: Iterable[rooms.Instance],
    now: float,
) -> bool:
    """Whether a task that is stopped here can go on elsewhere.

    Stopped without one, it would wait while its own instance stands half
    empty. An instance that is being emptied may wait for the short tasks of
    another one. One that is only due later has time: its tasks leave it for
    room that is there, and not for an instance that is due as well.
    """
    if instance.cordoned:
        return any(
            other.makes_room(run.step, run.task, run.need, now)
            for other in others
        )
    return any(not other.due and other.takes_over(run, now) for other in others)


def evacuate_all(core: cores.Core, now: float) -> None:
    """Empties the instances that are wanted empty or leave by themselves.

    Lasting tasks leave an instance as soon as its machine is due, while it
    goes on with short ones: a job spares one or two of them at a time, so the
    last machines of a wave were emptied one after the other, 1.2 s each, when
    its time was over.
    """
    for instance in list(core.instances.values()):
        draining = instance.registration.draining
        if instance.cordoned or instance.due or draining:
            evacuate(core, instance, now)
