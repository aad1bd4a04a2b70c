"""Where a task starts that may crash its instance.

Load pattern: a task is lost with its instance, and with it what else had begun
there a moment before; any of them may be the cause. Packed onto the fullest
instance like others, the guilty one takes as many again along. So each starts
where nothing is new, so that a second crash tells which one it was, and where
least is lost; and nothing else starts there until it has worked for a while.
"""

from collections.abc import Sequence

from vanillaswitch.coordination.fleet.instances import sparing
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import book as books
from vanillaswitch.coordination.fleet.queue import rooms

APART_SHARE = 0.25
"""Most of a pool on which suspected tasks run at a time: the others serve the
jobs that did nothing."""

IDLE_SHARE = 0.75
"""The same where the instance has no other work. Most of the tasks that are
lost with an instance are sound, and waited for each other beside idle ones."""


def may_try(pool: Sequence[rooms.Instance], chosen: rooms.Instance) -> bool:
    """Whether one more instance of a pool may run a suspected task."""
    share = APART_SHARE if chosen.runs else IDLE_SHARE
    tried = sum(instance.tries for instance in pool)
    return tried < max(1, int(len(pool) * share))


def least_harm(
    state: term_state.State,
    step: books.OpenStep,
    task: books.Task,
    candidates: Sequence[rooms.Instance],
    now: float,
) -> rooms.Instance | None:
    """Returns the instance whose loss costs least; one to wait for at worst.

    Args:
        state: of the term.
        step: of the task.
        task: that may crash its instance.
        candidates: instances that may run it.
        now: monotonic seconds.
    """
    need = books.need(step.step)

    def rank(instance: rooms.Instance) -> tuple[object, ...]:
        lasting = [
            run for run in instance.runs.values() if run.step.long_running
        ]
        unspared = sum(_is_unspared(state, run, now) for run in lasting)
        return (
            not is_free_for(step, task, instance),
            unspared > 0,
            instance.name != step.held,
            len(lasting),
            instance.name in task.avoid or instance.slow,
            instance.used_cpu,
            instance.name,
        )

    fitting = [
        instance
        for instance in candidates
        if instance.makes_room(step.step, task.name, need, now)
    ]
    return min(fitting, key=rank, default=None)


def is_free_for(
    step: books.OpenStep, task: books.Task, instance: rooms.Instance
) -> bool:
    """Whether a suspected task may start on an instance at once."""
    apart = step.step.anti_affinity
    return (
        not instance.unproven
        and instance.fits(books.need(step.step))
        and not (apart and instance.count_of(task.name) >= apart)
    )


def _is_unspared(state: term_state.State, run: rooms.Run, now: float) -> bool:
    """Whether one more task of a lasting run's step may not be away."""
    beside = sparing.beside(state, run.task, now)
    return bool(beside.spared) and beside.away >= beside.spared
