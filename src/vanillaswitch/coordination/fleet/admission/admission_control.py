"""Decides whether a submitted job can still be of use to its client.

Load pattern: for 4 to 8 s the jobs of a queue need several times what its pool
can get. Without admission control all of them are accepted, written, planned
and held, and most of those that are accepted last end after all their value is
lost. Their clients wait for nothing, and the store and the owner have less
time for the others.

A job is of use if it ends within ``queue_order.LATE_FACTOR`` times its
objective, counted from its first submission. One beyond the share of its
account has to end within its objective: later on, jobs of other accounts go
before it. The prediction is optimistic in each of its terms, because a refusal
is only right if it is certain.
"""

from collections.abc import Collection
import dataclasses
import math

from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers

WAIT_MARGIN = 1.3
"""A refusal needs a predicted wait that is so many times longer than what the
job can bear. Declared durations are off by half and more; the sum over some
hundred jobs of a turn is off by much less, up to a third for declared durations
that are biased."""

WITHIN_SHARE_MARGIN = 4.0
"""The same for a job within its account's share, whose refusal must be certain.
Jobs with less slack overtake what waits, and some of that loses its value
first. In replays with four times the demand that the pool could meet, 0.17 of
all jobs were refused and lost that were served without admission control with
a margin of 1.3, 0.03 with 2.5 and 0.001 with 4 (standins/admitted_turns.py)."""

MIN_WAIT_MS = 500.0
"""With a shorter predicted wait nothing is refused. The smallest objective
leaves a job that takes no time itself 606 ms to wait."""

MAX_RETRY_AFTER_S = 10
"""Longest delay that a client is told. A turn lasts 4 to 8 s, so an overload is
over by then, and a client that waits longer gains nothing."""


@dataclasses.dataclass(frozen=True)
class Need:
    """What a submitted job needs, and until when.

    Attributes:
        pool: the pool of its queue.
        priority: priority of its queue; 0 goes first.
        work: thousandths of a core times milliseconds, by declared durations.
        path_ms: its longest chain of steps.
        allowed_ms: time from now in which it has to end to be of use; negative
            if that has passed.
        is_over_share: whether it is beyond the share of its account.
        is_past_use: whether it certainly loses all its value before it ends,
            even if nothing goes before it.
    """

    pool: str
    priority: int
    work: float
    path_ms: float
    allowed_ms: float
    is_over_share: bool
    is_past_use: bool


@dataclasses.dataclass(frozen=True)
class Overload:
    """Why a job can't be of use.

    Attributes:
        wait_ms: predicted time until the work that goes before it is done.
        excess_ms: time until that work has drained so far that the job could
            be of use.
    """

    wait_ms: float
    excess_ms: float


def need_of(
    job: jobs.Job,
    queue: fleet.Queue,
    age_ms: float,
    accounts_over_share: Collection[str],
) -> Need | None:
    """Returns what a job needs; None for a job that is never refused for load.

    These are scheduled jobs, and jobs with tasks that are long-running or that
    use only processor time that others leave unused.

    Args:
        job: the job.
        queue: its queue.
        age_ms: time since its first submission.
        accounts_over_share: client accounts that have used up their share.
    """
    if job.repeat_count or any(
        step.long_running or step.fills for step in job.steps
    ):
        return None
    path_ms = queue_order.critical_path_ms(job, lambda _: False)
    objective_ms = queue_order.objective_ms(path_ms, queue)
    is_over_share = bool(job.account) and job.account in accounts_over_share
    factor = 1.0 if is_over_share else queue_order.LATE_FACTOR
    return Need(
        queue.service,
        queue.priority,
        sum(step.count * step.cpu * step.estimate_ms for step in job.steps),
        path_ms,
        factor * objective_ms - age_ms,
        is_over_share,
        age_ms + path_ms > WAIT_MARGIN * queue_order.LATE_FACTOR * objective_ms,
    )


def predict_wait_ms(need: Need, backlog: peers.PoolBacklog) -> float:
    """Returns the time until the work that goes before a job is done.

    For a job within its share that is only work that can be in time. Late work
    does not certainly go before it: the job overtakes it while it can be in
    time itself, and older jobs lose their value before it does. In replays
    with twice the demand that the pool could meet, 0.59 of the jobs were
    served with late work included, and 0.76 without admission control.

    Work of queues with a lower priority is left out. It goes before the job
    only once the job is late.
    """
    last_group = (
        queue_order.Group.OVER_SHARE
        if need.is_over_share
        else queue_order.Group.IN_TIME
    )
    ahead = sum(
        item.work
        for item in backlog.groups
        if item.group <= last_group and item.priority <= need.priority
    )
    return ahead / backlog.rate if backlog.rate > 0 else 0.0


def find_overload(need: Need, backlog: peers.PoolBacklog) -> Overload | None:
    """Returns why a job can't be of use; None if it may be.

    A client that returns too late is refused again while its pool has any
    significant backlog.

    Args:
        need: what the job needs.
        backlog: the backlog of its pool.
    """
    wait_ms = predict_wait_ms(need, backlog)
    margin = WAIT_MARGIN if need.is_over_share else WITHIN_SHARE_MARGIN
    excess_ms = wait_ms / margin + need.path_ms - need.allowed_ms
    if wait_ms < MIN_WAIT_MS and not need.is_past_use:
        return None
    return Overload(wait_ms, excess_ms) if excess_ms > 0 else None


class RetrySchedule:
    """Spreads the retries of refused clients while the backlog drains.

    Without it, all clients that were refused in one second return in the same
    one. Clients that were refused first return first, without any state by
    client: a second that is full is given to no more clients.
    """

    def __init__(self) -> None:
        """Creates a schedule without any retries."""
        self._given: dict[tuple[str, int], int] = {}

    def assign(
        self,
        need: Need,
        overload: Overload,
        rate: float,
        processes: int,
        now: float,
    ) -> int:
        """Returns after how many seconds the client of a job should return.

        Args:
            need: what the job needs.
            overload: why it is refused.
            rate: thousandths of a core of its pool.
            processes: how many processes give out retries.
            now: monotonic seconds.
        """
        for key in [key for key in self._given if key[1] < now]:
            del self._given[key]
        jobs_per_s = 1000 * rate / max(need.work, 1.0) / max(1, processes)
        first = math.ceil(now + max(1.0, overload.excess_ms / 1000))
        drained = math.ceil(now + overload.wait_ms / 1000)
        last = min(max(first, drained), math.floor(now) + MAX_RETRY_AFTER_S)
        second = min(first, last)
        while second < last and self._given.get((need.pool, second), 0) >= max(
            1.0, jobs_per_s
        ):
            second += 1
        key = (need.pool, second)
        self._given[key] = self._given.get(key, 0) + 1
        return max(1, second - math.floor(now))
