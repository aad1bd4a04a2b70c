"""The order in which open steps get room.

Load pattern: a queue asks several times its mean for some seconds, more than
its pool holds, and little in between. A job is worth most until its
objective, a fraction of that until three times the objective, and nothing
afterwards. So what can still meet its objective goes first, and what can't any
more uses what is left over. Tasks that last come before all: they are few, and
serve their own users all the time.

The least slack first is best while there is room for all. While there is not,
it spends the room on jobs that have just enough time left and miss it by what
nobody foresaw, and those behind them are no better off by then. So a job that
has not begun goes before others only while its slack is a good part of the
work that is left.
"""

from collections.abc import Callable
import dataclasses

from vanillaswitch.coordination.fleet.queue import book
from vanillaswitch.internal import registry
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

Key = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class Moment:
    """When an order is asked for.

    Attributes:
        now: monotonic seconds, by which jobs without times are waited for.
        wall_ms: time of day in milliseconds since 1970, at which occurrences
            are due.
    """

    now: float
    wall_ms: float


Order = Callable[[book.OpenStep, fleet.Queue | None, Moment], Key]

ORDERS: registry.Registry[Order] = registry.Registry("order of a queue")
DEFAULT_ORDER = "headroom"

LATE_FACTOR = 3.0
"""Past so many objectives a job is worth nothing (the users' rule)."""

HEADROOM = 0.3
"""A job that has not begun needs slack of so many times the work that is left:
estimates are off by half, and a start takes its time. In replays of turns that
ask for more than there is, 0.2 and 0.4 earn up to 0.03 less of the credit."""

_LASTING, _IN_TIME, _LATE, _PAST_USE = 0, 1, 2, 3
_BEGUN, _ROOMY, _TIGHT = 0, 1, 2


def chain_ms(job: jobs.Job, done: Callable[[int], bool]) -> float:
    """Returns the longest chain of work that is left, as estimated."""
    longest: list[float] = []
    for number, step in enumerate(job.steps):
        before = max((longest[first] for first in step.after), default=0.0)
        own = 0.0 if done(number) else step.estimate_ms
        longest.append(before + own)
    return max(longest)


def objective_ms(chain: float, queue: fleet.Queue | None) -> float:
    """Returns within which time a job, or one occurrence, should end.

    Args:
        chain: its longest chain of work, in milliseconds.
        queue: its job's queue as configured now.
    """
    if queue is None:
        return chain
    return queue.stretch * chain + queue.target_ms


def _whole_ms(entry: book.Entry) -> float:
    """Returns a job's longest chain of work."""
    if entry.whole_ms is None:
        entry.whole_ms = chain_ms(entry.job, lambda _: False)
    return entry.whole_ms


def _left_ms(step: book.OpenStep) -> float:
    """Returns the longest chain of work that is left of an occurrence.

    Kept until a step is done: worked out anew for each open step in each plan,
    it took a third of a plan of 400 waiting jobs.
    """
    entry = step.entry
    if step.occurrence not in entry.left_ms:
        entry.left_ms[step.occurrence] = chain_ms(
            entry.job, lambda number: entry.is_done(step.occurrence, number)
        )
    return entry.left_ms[step.occurrence]


def _age_ms(step: book.OpenStep, moment: Moment) -> float:
    due_ms = step.entry.job.due_ms(step.occurrence)
    if due_ms:
        return max(0.0, moment.wall_ms - due_ms)
    return (moment.now - step.entry.handed_in_at) * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Standing:
    """How the job of an open step stands.

    Attributes:
        group: whether it can still be in time; the lowest goes first.
        priority: of its queue; 0 goes first.
        left_ms: longest chain of work that is left.
        slack_ms: time to spare until its objective.
        age_ms: time since it was handed in or due.
    """

    group: int
    priority: int
    left_ms: float
    slack_ms: float
    age_ms: float


def _standing(
    step: book.OpenStep, queue: fleet.Queue | None, moment: Moment
) -> _Standing:
    entry = step.entry
    left = _left_ms(step)
    age = _age_ms(step, moment)
    objective = objective_ms(_whole_ms(entry), queue)
    slack_ms = objective - age - left
    if step.step.long_running:
        group = _LASTING
    elif slack_ms >= 0:
        group = _IN_TIME
    elif age + left <= LATE_FACTOR * objective:
        group = _LATE
    else:
        group = _PAST_USE
    return _Standing(group, queue.priority if queue else 0, left, slack_ms, age)


@ORDERS.register("headroom")
def headroom(
    step: book.OpenStep, queue: fleet.Queue | None, moment: Moment
) -> Key:
    """Begun jobs first, then those with slack to spare, then tight ones.

    Against the least slack first, replays of turns with a tenth, a quarter and
    two fifths less room than is asked for earn 0.81 instead of 0.70, 0.71
    instead of 0.50, and 0.61 instead of 0.34 of their credit (four seeds
    each); with room for all the two are alike.

    Args:
        step: an open step.
        queue: its job's queue as configured now.
        moment: when it is asked for.
    """
    standing = _standing(step, queue, moment)
    if standing.group != _IN_TIME:
        return _by_group(standing)
    slack_ms = standing.slack_ms
    if _begun(step):
        rank = (_BEGUN, slack_ms)
    elif slack_ms >= HEADROOM * standing.left_ms:
        rank = (_ROOMY, slack_ms)
    else:
        # The one that is most likely to be in time after all.
        rank = (_TIGHT, -slack_ms)
    return (_IN_TIME, standing.priority, *rank)


def _begun(step: book.OpenStep) -> bool:
    """Whether work was put into this occurrence of the job before."""
    return step.number > 0 or any(task.run for task in step.tasks)


def _by_group(standing: _Standing) -> Key:
    if standing.group == _LASTING:
        return (_LASTING, 0.0)
    if standing.group == _PAST_USE:
        return (_PAST_USE, standing.priority, standing.age_ms)
    return (standing.group, standing.priority, standing.slack_ms)


@ORDERS.register("slack")
def slack(
    step: book.OpenStep, queue: fleet.Queue | None, moment: Moment
) -> Key:
    """Least slack first among jobs that can still meet their objective."""
    return _by_group(_standing(step, queue, moment))


@ORDERS.register("arrival")
def arrival(
    step: book.OpenStep, queue: fleet.Queue | None, moment: Moment
) -> Key:
    """First come, first served; what a comparison starts from."""
    del queue
    return (0.0 if step.step.long_running else 1.0, -_age_ms(step, moment))
