"""The order in which open steps get room.

Load pattern: a queue asks several times its mean for some seconds, more than
its pool holds, and little in between. A job is worth most until its
objective, a fraction of that until three times the objective, and nothing
afterwards. So what can still meet its objective goes first, the most urgent
before others, and what can't any more uses what is left over. Tasks that last
come before all: they are few, and serve their own users all the time.
"""

from collections.abc import Callable

from vanillaswitch.coordination.fleet import book
from vanillaswitch.internal import registry
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

Key = tuple[float, ...]
Order = Callable[[book.OpenStep, fleet.Queue | None, float], Key]

ORDERS: registry.Registry[Order] = registry.Registry("order of a queue")
DEFAULT_ORDER = "slack"

LATE_FACTOR = 3.0
"""Past so many objectives a job is worth nothing (the users' rule)."""

_LASTING, _IN_TIME, _LATE, _PAST_USE = 0, 1, 2, 3


def chain_ms(job: jobs.Job, done: Callable[[int], bool]) -> float:
    """Returns the longest chain of work that is left, as estimated."""
    longest: list[float] = []
    for number, step in enumerate(job.steps):
        before = max((longest[first] for first in step.after), default=0.0)
        own = 0.0 if done(number) else step.estimate_ms
        longest.append(before + own)
    return max(longest)


def objective_ms(job: jobs.Job, queue: fleet.Queue | None) -> float:
    """Returns within which time a job, or one occurrence, should end."""
    chain = chain_ms(job, lambda _: False)
    if queue is None:
        return chain
    return queue.stretch * chain + queue.target_ms


def _age_ms(step: book.OpenStep, wall_ms: float) -> float:
    job = step.entry.job
    begin = job.due_ms(step.occurrence) or job.submitted_ms
    return max(0.0, wall_ms - begin)


@ORDERS.register("slack")
def slack(step: book.OpenStep, queue: fleet.Queue | None, now: float) -> Key:
    """Least slack first among jobs that can still meet their objective.

    Args:
        step: an open step.
        queue: its job's queue as configured now.
        now: wall clock in milliseconds.
    """
    if step.step.long_running:
        return (_LASTING, 0.0)
    job = step.entry.job
    priority = queue.priority if queue else 0
    left = chain_ms(
        job,
        lambda number: step.entry.is_done(step.occurrence, number),
    )
    age = _age_ms(step, now)
    objective = objective_ms(job, queue)
    slack_ms = objective - age - left
    if slack_ms >= 0:
        return (_IN_TIME, priority, slack_ms)
    if age + left <= LATE_FACTOR * objective:
        return (_LATE, priority, slack_ms)
    return (_PAST_USE, priority, age)


@ORDERS.register("arrival")
def arrival(step: book.OpenStep, queue: fleet.Queue | None, now: float) -> Key:
    """First come, first served; what a comparison starts from."""
    del queue
    return (0.0 if step.step.long_running else 1.0, -_age_ms(step, now))
