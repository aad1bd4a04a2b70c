"""The steps that take one instance through maintenance or a move.

Each step is recorded with an operation id before the platform is called. The
next holder of the duty therefore repeats the same operation and never starts a
second one. A row advances only when the instance's own status names that
operation. A delayed duplicate of the call then finds the operation done and
has no effect.

Phase of the row, and the platform call that is sent during it::

    SERVING -> DRAINING (drain) -> REBOOTING (reboot) -> DRAINED (resume)
            -> SERVING

A move skips the reboot. An undone drain goes from DRAINING to DRAINED.
"""

from collections.abc import Callable
import dataclasses
import enum

from vanillaswitch.protocol import platform
from vanillaswitch.state import rows


class Action(enum.StrEnum):
    """An operation of the platform."""

    DRAIN = "drain"
    REBOOT = "reboot"
    RESUME = "resume"


@dataclasses.dataclass(frozen=True)
class PlatformCall:
    """Call the platform for an operation that is already recorded."""

    action: Action
    instance: str
    operation: str


@dataclasses.dataclass(frozen=True)
class Advance:
    """Write this row; no call is sent before it is committed."""

    row: rows.Instance


@dataclasses.dataclass(frozen=True)
class Wait:
    """Wait until the instance has finished the current operation."""


Step = PlatformCall | Advance | Wait

_ACTIONS = {
    platform.MaintenancePhase.DRAINING: Action.DRAIN,
    platform.MaintenancePhase.REBOOTING: Action.REBOOT,
    platform.MaintenancePhase.DRAINED: Action.RESUME,
}


def next_step(
    name: str,
    row: rows.Instance,
    status: platform.InstanceStatus | None,
    undo: bool,
    target_service: str,
    new_operation: Callable[[], str],
) -> Step:
    """Returns the next step of an instance that is in maintenance or a move.

    Args:
        name: the instance.
        row: its row, in any phase but SERVING.
        status: its own status; None when it does not answer.
        undo: whether to return it to service where it is, if it has not
            gone beyond the drain.
        target_service: service of the pool to which a move takes it.
        new_operation: generates the id of the next operation.
    """
    if status is None or status.operation != row.operation:
        return call_for(name, row)
    if row.phase is platform.MaintenancePhase.DRAINING:
        return _after_drain(row, status, undo, target_service, new_operation)
    if row.phase is platform.MaintenancePhase.REBOOTING:
        return _after_reboot(row, status, new_operation)
    return _after_resume(row, status, new_operation)


def call_for(name: str, row: rows.Instance) -> PlatformCall:
    """Returns the platform call for the current phase of an instance."""
    return PlatformCall(_ACTIONS[row.phase], name, row.operation)


def begin_drain(
    row: rows.Instance, status: platform.InstanceStatus, operation: str
) -> rows.Instance:
    """Returns the row that starts the drain of a serving instance."""
    return dataclasses.replace(
        row,
        phase=platform.MaintenancePhase.DRAINING,
        operation=operation,
        boots=status.boots,
    )


def begin_resume(
    row: rows.Instance, status: platform.InstanceStatus, operation: str
) -> rows.Instance:
    """Returns the row that resumes an instance after an unplanned reboot."""
    return _with_resume(dataclasses.replace(row, boots=status.boots), operation)


def is_in_progress(row: rows.Instance) -> bool:
    """Returns whether the instance has a recorded, unfinished operation."""
    return row.phase in _ACTIONS


def send(instances: platform.Instances, call: PlatformCall) -> None:
    """Sends a call; the instance's next status shows whether it worked."""
    methods = {
        Action.DRAIN: instances.drain,
        Action.REBOOT: instances.reboot,
        Action.RESUME: instances.resume,
    }
    methods[call.action](call.instance, call.operation)


def _after_drain(
    row: rows.Instance,
    status: platform.InstanceStatus,
    undo: bool,
    target_service: str,
    new_operation: Callable[[], str],
) -> Step:
    if undo:
        kept = dataclasses.replace(row, target_pool="")
        return Advance(_with_resume(kept, new_operation()))
    # Wait for the jobs: a reboot would cut off those in flight, and a move
    # would leave them running in a pool that no longer counts this worker.
    if (
        status.phase is not platform.MaintenancePhase.DRAINED
        or status.in_flight
    ):
        return Wait()
    if row.target_pool:
        return Advance(_moved(row, target_service, new_operation()))
    return Advance(
        dataclasses.replace(
            row,
            phase=platform.MaintenancePhase.REBOOTING,
            operation=new_operation(),
            boots=status.boots,
        )
    )


def _after_reboot(
    row: rows.Instance,
    status: platform.InstanceStatus,
    new_operation: Callable[[], str],
) -> Step:
    # An accepted reboot has not happened yet: right after the call the
    # instance still reports DRAINED. Only a higher boot count shows that it
    # has rebooted.
    if (
        status.phase is platform.MaintenancePhase.DRAINED
        and status.boots > row.boots
    ):
        return Advance(_with_resume(row, new_operation()))
    return Wait()


def _after_resume(
    row: rows.Instance,
    status: platform.InstanceStatus,
    new_operation: Callable[[], str],
) -> Step:
    if status.phase is platform.MaintenancePhase.SERVING:
        return Advance(_finished(row))
    if status.phase is platform.MaintenancePhase.DRAINED:
        # It accepted the resume and is drained again, so it has rebooted
        # unexpectedly. The operation is done; only a new one resumes it.
        return Advance(_with_resume(row, new_operation()))
    return Wait()


def _moved(row: rows.Instance, service: str, operation: str) -> rows.Instance:
    moved = dataclasses.replace(
        row, pool=row.target_pool, target_pool="", service=service
    )
    return _with_resume(moved, operation)


def _with_resume(row: rows.Instance, operation: str) -> rows.Instance:
    return dataclasses.replace(
        row, phase=platform.MaintenancePhase.DRAINED, operation=operation
    )


def _finished(row: rows.Instance) -> rows.Instance:
    return dataclasses.replace(
        row,
        phase=platform.MaintenancePhase.SERVING,
        operation="",
        wave="",
        boots=0,
    )
