"""The order in which open steps get capacity.

Load pattern: for some seconds the jobs of a queue need several times the mean
capacity, more than its pool has, and little in between. Each job has an
objective, the time within which it should end. It has its full value until
then, a fraction of it until three times the objective, and none afterwards. So
jobs that can still meet their objective go first, and late jobs use what is
left over. Jobs that a client account submitted beyond its share follow, so that
they delay no other account. Jobs without any value left come last, the oldest
first. Long-running tasks go before all others: they are few, and users depend
on them all the time.

The slack of a job is the time that it can lose and still meet its objective.
Least slack first is the best order while there is capacity for all jobs. While
there is not, it spends the capacity on jobs that have just enough time left and
then miss their objective by a small delay. By then the jobs behind them have no
more slack either. So a job that has not started goes before others only while
its slack is a large enough part of its remaining work.
"""

from collections.abc import Callable
import dataclasses
import enum

from vanillaswitch.coordination.fleet.queue import job_tracker
from vanillaswitch.coordination.fleet.queue import open_steps
from vanillaswitch.internal import registry
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

Key = tuple[float, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PlanTime:
    """The time of a plan on two clocks.

    Attributes:
        now: monotonic seconds; gives the age of jobs without a schedule.
        wall_ms: time of day in milliseconds since 1970; gives the age of
            scheduled occurrences.
    """

    now: float
    wall_ms: float


Order = Callable[[open_steps.OpenStep, fleet.Queue | None, PlanTime], Key]

ORDERS: registry.Registry[Order] = registry.Registry("order of a queue")
DEFAULT_ORDER = "headroom"
FAIR_ORDER = "fair"
"""The order where ``Deployment.overload.fair_order`` is on."""

LATE_FACTOR = 3.0
"""A job has no value after this multiple of its objective (a requirement)."""

MIN_SLACK_RATIO = 0.3
"""Slack that a job that has not started needs to go before others, as a share
of its remaining work. Estimates are off by half, and a start takes time. In
replays of bursts beyond the capacity, the jobs ended with up to 0.03 less of
their total value with 0.2 or 0.4."""


class Group(enum.IntEnum):
    """Groups of open steps by urgency; the lowest goes first.

    Attributes:
        LONG_RUNNING: its tasks run until the job is cancelled.
        IN_TIME: the job can still meet its objective.
        LATE: it can't, but still has a part of its value.
        OVER_SHARE: its account submitted it beyond its share.
        NO_VALUE: it can't end within ``LATE_FACTOR`` times its objective.
    """

    LONG_RUNNING = 0
    IN_TIME = 1
    LATE = 2
    OVER_SHARE = 3
    NO_VALUE = 4


_STARTED, _AMPLE_SLACK, _LITTLE_SLACK = 0, 1, 2
_BY_LEAST_WORK = frozenset({Group.LATE, Group.OVER_SHARE})
_NO_SHARES = frozenset({Group.LONG_RUNNING, Group.LATE, Group.NO_VALUE})


def critical_path_ms(
    job: jobs.Job,
    is_done: Callable[[int], bool],
    duration_ms: Callable[[int], float] | None = None,
) -> float:
    """Returns the estimated duration of the longest chain of remaining steps.

    Args:
        job: the job.
        is_done: returns whether the step with a number is done.
        duration_ms: returns the estimated duration of the tasks of the step
            with a number; the declared one by default.
    """
    ends_ms: list[float] = []
    for number, step in enumerate(job.steps):
        start_ms = max((ends_ms[other] for other in step.after), default=0.0)
        if is_done(number):
            ends_ms.append(start_ms)
        elif duration_ms is None:
            ends_ms.append(start_ms + step.estimate_ms)
        else:
            ends_ms.append(start_ms + duration_ms(number))
    return max(ends_ms)


def objective_ms(path_ms: float, queue: fleet.Queue | None) -> float:
    """Returns the time within which a job, or one occurrence, should end.

    Args:
        path_ms: critical path of the whole job in milliseconds.
        queue: the job's queue as configured now; None if it was removed.
    """
    if queue is None:
        return path_ms
    return queue.stretch * path_ms + queue.target_duration_ms


def _cached_critical_path_ms(entry: job_tracker.JobEntry) -> float:
    """Returns the critical path of a whole job."""
    if entry.critical_path_ms is None:
        entry.critical_path_ms = critical_path_ms(
            entry.job, lambda _: False, entry.expected_ms
        )
    return entry.critical_path_ms


def _remaining_path_ms(step: open_steps.OpenStep) -> float:
    """Returns the remaining critical path of an occurrence.

    The value is cached until a step is done. Computing it for each open step in
    each plan took a third of the time of a plan with 400 waiting jobs.
    """
    entry = step.entry
    if step.occurrence not in entry.remaining_path_ms:
        entry.remaining_path_ms[step.occurrence] = critical_path_ms(
            entry.job,
            lambda number: entry.is_step_done(step.occurrence, number),
            entry.expected_ms,
        )
    return entry.remaining_path_ms[step.occurrence]


def _remaining_work(step: open_steps.OpenStep) -> float:
    """Returns the estimated remaining work of an occurrence.

    The unit is thousandths of a core x ms. The value is cached until a step is
    done, like ``_remaining_path_ms``.
    """
    entry = step.entry
    if step.occurrence not in entry.remaining_work:
        entry.remaining_work[step.occurrence] = sum(
            item.count * item.cpu * entry.expected_ms(number)
            for number, item in enumerate(entry.job.steps)
            if not entry.is_step_done(step.occurrence, number)
        )
    return entry.remaining_work[step.occurrence]


def _age_ms(step: open_steps.OpenStep, plan_time: PlanTime) -> float:
    due_ms = step.entry.job.due_ms(step.occurrence)
    if due_ms:
        return max(0.0, plan_time.wall_ms - due_ms)
    return (plan_time.now - step.entry.submitted_at) * 1000


@dataclasses.dataclass(frozen=True, slots=True)
class _Urgency:
    """How urgent the job of an open step is.

    Attributes:
        group: the lowest goes first.
        priority: priority of its queue; 0 goes first.
        remaining_ms: remaining critical path.
        slack_ms: time that it can lose and still meet its objective; negative
            if it can't meet it any more.
        waited_ms: time since it was submitted or due. If it was due before its
            job was submitted, or before the last start of the job, the time
            since then.
    """

    group: Group
    priority: int
    remaining_ms: float
    slack_ms: float
    waited_ms: float


def _urgency(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> _Urgency:
    entry = step.entry
    entry.drop_outdated_paths()
    remaining = _remaining_path_ms(step)
    age = _age_ms(step, plan_time)
    objective = objective_ms(_cached_critical_path_ms(entry), queue)
    slack_ms = objective - age - remaining
    if step.step.long_running:
        group = Group.LONG_RUNNING
    elif age + remaining > LATE_FACTOR * objective:
        group = Group.NO_VALUE
    elif entry.is_over_share:
        group = Group.OVER_SHARE
    elif slack_ms >= 0:
        group = Group.IN_TIME
    else:
        group = Group.LATE
    waited = age
    if entry.job.repeat_count:
        since = max(entry.submitted_at, entry.last_assigned_at)
        waited = min(age, (plan_time.now - since) * 1000)
    return _Urgency(
        group, queue.priority if queue else 0, remaining, slack_ms, waited
    )


def classify(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> Group:
    """Returns the group of an open step.

    Args:
        step: an open step.
        queue: its job's queue as configured now.
        plan_time: the time of the plan.
    """
    return _urgency(step, queue, plan_time).group


@ORDERS.register("headroom")
def headroom(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> Key:
    """Started jobs first, then those with ample slack, then the others.

    In replays of bursts with a tenth, a quarter and two fifths less capacity
    than demand, the jobs ended with 0.81, 0.71 and 0.61 of their total value in
    this order, and with 0.70, 0.50 and 0.34 with least slack first (four seeds
    each). With capacity for all jobs, both orders reached the same value.

    Args:
        step: an open step.
        queue: its job's queue as configured now.
        plan_time: the time of the plan.
    """
    urgency = _urgency(step, queue, plan_time)
    if urgency.group != Group.IN_TIME:
        return _by_group(urgency)
    return _by_headroom(step, urgency)


def _by_headroom(step: open_steps.OpenStep, urgency: _Urgency) -> Key:
    slack_ms = urgency.slack_ms
    if _has_started(step):
        rank = (_STARTED, slack_ms)
    elif slack_ms >= MIN_SLACK_RATIO * urgency.remaining_ms:
        rank = (_AMPLE_SLACK, slack_ms)
    else:
        # The most slack first: that job is the most likely to be in time.
        rank = (_LITTLE_SLACK, -slack_ms)
    return (Group.IN_TIME, urgency.priority, *rank)


@ORDERS.register(FAIR_ORDER)
def fair(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> Key:
    """Like ``headroom``, but late jobs with the least work left first.

    A late job is worth a fraction, whatever its size, and its client counts as
    served. So the same capacity serves more clients if late jobs with little
    work go first. In replays with a tenth, a quarter, two fifths and half less
    capacity than demand, 0.910, 0.880, 0.832 and 0.777 of the jobs ended within
    ``LATE_FACTOR`` times their objective, and 0.904, 0.873, 0.813 and 0.744
    with least slack first (four seeds each). The newest first served no more
    than least slack first. Jobs that can be in time stay in the order of their
    slack: by least work they lost 0.02 of their value with a tenth less.

    Args:
        step: an open step.
        queue: its job's queue as configured now.
        plan_time: the time of the plan.
    """
    urgency = _urgency(step, queue, plan_time)
    if urgency.group in _BY_LEAST_WORK:
        return (urgency.group, urgency.priority, 0, _remaining_work(step))
    if urgency.group == Group.IN_TIME:
        return _by_headroom(step, urgency)
    return _by_group(urgency)


def with_level(key: Key, level: int) -> Key:
    """Returns a key of ``fair`` that considers the share of its account.

    The level goes after group, priority and whether the job has started, and
    before urgency. Long-running tasks don't compete for shares, and jobs
    without any value left run oldest first. Late jobs are not divided by
    shares either: with shares 0.03 fewer of all jobs were served in replays of
    a hot account with half of the capacity.

    Args:
        key: a key that ``fair`` returned.
        level: see ``fair_shares.PoolShares.levels``.
    """
    if key[0] in _NO_SHARES:
        return key
    is_started = key[0] == Group.IN_TIME and key[2] == _STARTED
    return (*key[:2], not is_started, level, *key[2:])


def _has_started(step: open_steps.OpenStep) -> bool:
    """Whether a task of this occurrence of the job was ever assigned."""
    return step.number > 0 or step.counts.started > 0


def _by_group(urgency: _Urgency) -> Key:
    if urgency.group == Group.LONG_RUNNING:
        return (Group.LONG_RUNNING, 0.0)
    if urgency.group == Group.NO_VALUE:
        # The client of the oldest job has waited longest. With the youngest
        # first, it would not run while younger jobs lose their value. A job
        # with a long backlog of occurrences takes turns with the others.
        return (Group.NO_VALUE, urgency.priority, -urgency.waited_ms)
    return (urgency.group, urgency.priority, urgency.slack_ms)


@ORDERS.register("slack")
def slack(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> Key:
    """Jobs that can still meet their objective first, by least slack."""
    return _by_group(_urgency(step, queue, plan_time))


@ORDERS.register("arrival")
def arrival(
    step: open_steps.OpenStep, queue: fleet.Queue | None, plan_time: PlanTime
) -> Key:
    """First come, first served; a baseline to compare other orders with."""
    del queue
    return (0.0 if step.step.long_running else 1.0, -_age_ms(step, plan_time))
