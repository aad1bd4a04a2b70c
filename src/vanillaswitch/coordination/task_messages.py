"""Messages of a placement duty to workers: start, renew, stop, throttle.

Every message is idempotent. None writes to the table, so that leases of tasks
are renewed through an outage of it.
"""

from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import TypeVar

from vanillaswitch.coordination import controller
from vanillaswitch.coordination import tasks
from vanillaswitch.coordination import usage
from vanillaswitch.protocol import platform

T = TypeVar("T")

STOPS_IN_ONE_STEP = 64
"""Bound on stops sent by a step: starts must not wait behind them."""


REFUSED_S = 5.0
"""How long a worker that refused a start gets no other."""


@dataclasses.dataclass
class Memory:
    """Soft memory of one held placement duty; lost with the duty.

    Times are monotonic seconds.

    Attributes:
        began: when the duty was taken.
        operations: those to renew, by worker, as last read from the table.
        answered: when a worker last accepted a renewal or a start.
        sent: when a renewal was last sent to a worker.
        tried: when a start was first sent.
        reported: when an operation was last reported as running.
        confirmed: operations whose start was answered.
        stopped: when the stop of an operation was answered.
        checkpointed: operations that were asked for a checkpoint.
        shares: what throttled operations were last told.
        seen: usage by job.
        absent: since when a task is missing from the configuration.
        refused: when a worker last refused a start.
    """

    began: float
    operations: dict[str, tuple[str, ...]] = dataclasses.field(
        default_factory=dict
    )
    answered: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: dict[str, float] = dataclasses.field(default_factory=dict)
    tried: dict[str, float] = dataclasses.field(default_factory=dict)
    reported: dict[str, float] = dataclasses.field(default_factory=dict)
    confirmed: set[str] = dataclasses.field(default_factory=set)
    stopped: dict[str, float] = dataclasses.field(default_factory=dict)
    checkpointed: set[str] = dataclasses.field(default_factory=set)
    shares: dict[str, float] = dataclasses.field(default_factory=dict)
    seen: dict[str, usage.Seen] = dataclasses.field(default_factory=dict)
    absent: dict[str, float] = dataclasses.field(default_factory=dict)
    refused: dict[str, float] = dataclasses.field(default_factory=dict)

    def refusing(self, now: float) -> frozenset[str]:
        """Returns the workers that get no starts for a while."""
        return frozenset(
            worker
            for worker, refused in self.refused.items()
            if now - refused < REFUSED_S
        )

    def forget_all_but(
        self, operations: Collection[str], jobs: Collection[str]
    ) -> None:
        """Drops what is kept of others than these and their workers."""
        workers = self.operations.keys()
        self.seen = _only(self.seen, jobs)
        self.answered = _only(self.answered, workers)
        self.sent = _only(self.sent, workers)
        self.confirmed.intersection_update(operations)
        self.checkpointed.intersection_update(operations)
        self.reported = _only(self.reported, operations)
        self.tried = _only(self.tried, operations)
        self.stopped = _only(self.stopped, operations)
        self.absent = _only(self.absent, operations)
        self.shares = _only(self.shares, operations)


def _only(kept: dict[str, T], wanted: Collection[str]) -> dict[str, T]:
    return {key: value for key, value in kept.items() if key in wanted}


def renew(context: controller.Context, memory: Memory) -> None:
    """Renews the leases of each worker's tasks, one message a worker."""
    term = tasks.LEASE_S
    for worker, operations in sorted(memory.operations.items()):
        now = context.clock.monotonic()
        last = memory.sent.get(worker)
        if last is not None and now - last < term / tasks.RENEWALS_PER_TERM:
            continue
        memory.sent[worker] = now
        workers = context.platform.workers
        if isinstance(workers.renew(worker, operations, term), platform.Done):
            memory.answered[worker] = context.clock.monotonic()


def start(
    context: controller.Context, memory: Memory, task: tasks.Task
) -> bool:
    """Sends a start; returns False when it surely had no effect.

    The lease is looked at right before: a holder that was paused after it
    wrote the intent must not send a start that its successor gave up on.
    """
    if not context.leased():
        return True
    memory.tried.setdefault(task.operation, context.clock.monotonic())
    outcome = context.platform.workers.start(task.worker, tasks.spec(task))
    if isinstance(outcome, platform.Done):
        memory.confirmed.add(task.operation)
        memory.answered[task.worker] = context.clock.monotonic()
    return isinstance(outcome, platform.Done | platform.OutcomeUnknown)


def stop(
    context: controller.Context,
    memory: Memory,
    stopping: Iterable[tuple[tasks.Task, bool]],
) -> None:
    """Stops tasks; those that can write a checkpoint are asked for it first.

    Args:
        context: of the step.
        memory: of the duty.
        stopping: tasks to stop, each with whether it checkpoints.
    """
    waiting = [s for s in stopping if s[0].operation not in memory.stopped]
    for task, checkpoints in waiting[:STOPS_IN_ONE_STEP]:
        operation = task.operation
        workers = context.platform.workers
        if checkpoints and operation not in memory.checkpointed:
            memory.checkpointed.add(operation)
            workers.checkpoint(task.worker, operation)
            continue
        outcome = workers.stop(task.worker, operation)
        if isinstance(outcome, platform.Done | platform.Missing):
            memory.stopped[operation] = context.clock.monotonic()


def throttle(
    context: controller.Context,
    memory: Memory,
    running: Mapping[str, tasks.Task],
    shares: Mapping[str, float],
) -> None:
    """Tells tasks their share of processors where it has changed.

    Args:
        context: of the step.
        memory: of the duty.
        running: tasks by name.
        shares: by task name; the others get their whole share.
    """
    for name, task in running.items():
        share = round(shares.get(name, 1.0), 2)
        if memory.shares.get(task.operation, 1.0) == share:
            continue
        workers = context.platform.workers
        outcome = workers.throttle(task.worker, task.operation, share)
        if isinstance(outcome, platform.Done):
            memory.shares[task.operation] = share
