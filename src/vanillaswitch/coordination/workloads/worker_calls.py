"""Calls of a placement duty to workers: start, renew, stop and throttle.

Every call is idempotent. None writes to the table, so that the leases of tasks
are renewed during an outage of the table.
"""

from collections.abc import Iterable
from collections.abc import Mapping

from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.workloads import placement_soft_state
from vanillaswitch.coordination.workloads import task_rows
from vanillaswitch.protocol import platform

MAX_STOPS_SENT_PER_STEP = 64
"""Most stops sent in one step, so that they do not delay starts."""


def renew_leases(
    context: controller.DutyContext, soft_state: placement_soft_state.SoftState
) -> None:
    """Renews the leases of all tasks, with one call to each worker."""
    term = task_rows.LEASE_S
    for worker, operations in sorted(soft_state.operations_by_worker.items()):
        now = context.clock.monotonic()
        last = soft_state.renewal_sent_at.get(worker)
        if last is not None and now - last < term / task_rows.RENEWALS_PER_TERM:
            continue
        soft_state.renewal_sent_at[worker] = now
        workers = context.platform.workers
        if isinstance(workers.renew(worker, operations, term), platform.Done):
            soft_state.last_answer_at[worker] = context.clock.monotonic()


def start(
    context: controller.DutyContext,
    soft_state: placement_soft_state.SoftState,
    task: task_rows.Task,
) -> bool:
    """Sends a start; returns False when it certainly had no effect.

    The session lease is checked right before the call: a holder that was
    paused after it wrote the intent must not send a start that its successor
    has given up.
    """
    if not context.has_lease():
        return True
    soft_state.start_sent_at.setdefault(
        task.operation, context.clock.monotonic()
    )
    outcome = context.platform.workers.start(task.worker, task_rows.spec(task))
    if isinstance(outcome, platform.Done):
        soft_state.confirmed_starts.add(task.operation)
        soft_state.last_answer_at[task.worker] = context.clock.monotonic()
    return isinstance(outcome, platform.Done | platform.OutcomeUnknown)


def stop(
    context: controller.DutyContext,
    soft_state: placement_soft_state.SoftState,
    stopping: Iterable[tuple[task_rows.Task, bool]],
) -> None:
    """Stops tasks; those that can write a checkpoint are asked for it first.

    Args:
        context: of the step.
        soft_state: of the duty.
        stopping: tasks to stop, each with whether it writes a checkpoint.
    """
    remaining = [
        s for s in stopping if s[0].operation not in soft_state.stopped_at
    ]
    for task, writes_checkpoint in remaining[:MAX_STOPS_SENT_PER_STEP]:
        operation = task.operation
        workers = context.platform.workers
        if (
            writes_checkpoint
            and operation not in soft_state.checkpoint_requested
        ):
            soft_state.checkpoint_requested.add(operation)
            workers.checkpoint(task.worker, operation)
            continue
        outcome = workers.stop(task.worker, operation)
        if isinstance(outcome, platform.Done | platform.Missing):
            soft_state.stopped_at[operation] = context.clock.monotonic()


def throttle(
    context: controller.DutyContext,
    soft_state: placement_soft_state.SoftState,
    running: Mapping[str, task_rows.Task],
    cpu_shares: Mapping[str, float],
) -> None:
    """Sends tasks their share of processors where it has changed.

    Args:
        context: of the step.
        soft_state: of the duty.
        running: tasks by name.
        cpu_shares: by task name; the other tasks get their full share.
    """
    for name, task in running.items():
        share = round(cpu_shares.get(name, 1.0), 2)
        if soft_state.cpu_shares.get(task.operation, 1.0) == share:
            continue
        workers = context.platform.workers
        outcome = workers.throttle(task.worker, task.operation, share)
        if isinstance(outcome, platform.Done):
            soft_state.cpu_shares[task.operation] = share
