"""Cordons that operators place on workers and lift again."""

import dataclasses

from vanillaswitch import errors
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows


@dataclasses.dataclass(frozen=True)
class CordonRequest:
    """An operator's request about one worker.

    Attributes:
        wall_s: when it was made, seconds since the Unix epoch.
    """

    worker: str
    reason: str
    operator: str
    wall_s: float


def cordon(
    fleet: fleet_state.Fleet, config: config_lib.Config, request: CordonRequest
) -> changes.Changes:
    """Returns the changes that keep new tasks from a worker.

    Raises:
        errors.CordonRefusedError: there is no such worker, it is cordoned
            already, or its service's budget allows no more.
    """
    member = _find_worker(fleet, request.worker)
    if member.row.cordoned:
        raise errors.CordonRefusedError(
            f"worker {request.worker} is already cordoned: {member.row.reason}"
        )
    _check_budget(fleet, config, member)
    row = dataclasses.replace(member.row, cordoned=True, reason=request.reason)
    return _changes(fleet, request, row, "cordoned by an operator")


def uncordon(
    fleet: fleet_state.Fleet, request: CordonRequest
) -> changes.Changes:
    """Returns the changes that open a cordoned worker to new tasks.

    Raises:
        errors.CordonRefusedError: there is no such worker, or it is not
            cordoned.
    """
    member = _find_worker(fleet, request.worker)
    if not member.row.cordoned:
        raise errors.CordonRefusedError(
            f"worker {request.worker} is not cordoned"
        )
    row = dataclasses.replace(member.row, cordoned=False, reason="")
    return _changes(fleet, request, row, "cordon lifted by an operator")


def _find_worker(fleet: fleet_state.Fleet, name: str) -> fleet_state.Member:
    member = fleet.members.get(name)
    if member is None or member.row.kind is not platform.InstanceKind.WORKER:
        raise errors.CordonRefusedError(f"worker {name!r} does not exist")
    return member


def _check_budget(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    member: fleet_state.Member,
) -> None:
    service = member.row.service
    planned = fleet.budget(service).row.down
    # A worker without a service carries no tasks, and a worker that counts as
    # down already does not use up more of the budget.
    if not service or budgets.down_reason(member, planned):
        return
    headroom = budgets.headroom(fleet, config, service, member.row.kind)
    if headroom > 0:
        return
    if service not in config.services:
        detail = "the configuration has no such service"
    else:
        found = budgets.budget_status(fleet, config, service, member.row.kind)
        detail = (
            f"{found.down_count} of {found.allowed} allowed workers are down"
        )
    raise errors.CordonRefusedError(
        f"cannot cordon a worker of service {service}: {detail}"
    )


def _changes(
    fleet: fleet_state.Fleet,
    request: CordonRequest,
    row: rows.Instance,
    rule: str,
) -> changes.Changes:
    draft = changes.ChangesBuilder(fleet)
    draft.put_instance(request.worker, row)
    draft.add_decision(
        decision_records.Decision(
            decision_records.instance_subject(request.worker),
            request.reason,
            rule,
            {},
            request.operator,
            request.wall_s,
        )
    )
    return draft.build()
