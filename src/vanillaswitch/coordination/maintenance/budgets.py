"""Availability budgets: how many more instances of a service may go down.

Planned and unplanned downtime both count against a budget. An instance counts
as down when the budget row names it, when it is in maintenance or in a move,
when the platform's list omits it or shows it as leaving, when its own status
is not SERVING, or when it is cordoned and takes no new work.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib


@dataclasses.dataclass(frozen=True)
class BudgetStatus:
    """How much of a service's budget is used, for one kind of instance.

    Attributes:
        service: the service.
        kind: the kind of instance.
        meant: number of instances that the configuration asks for.
        members: number of instances that belong to the service's pools.
        allowed: number of instances that may be down at once.
        down: maps each instance that counts as down to the reason.
    """

    service: str
    kind: platform.InstanceKind
    meant: int
    members: int
    allowed: int
    down: Mapping[str, str]

    @property
    def down_count(self) -> int:
        """Number of instances that are down, missing ones included."""
        return len(self.down) + max(0, self.meant - self.members)

    @property
    def headroom(self) -> int:
        """How many more may go down; negative when the budget is exceeded."""
        return self.allowed - self.down_count


def down_reason(
    member: fleet_state.Member, planned: Mapping[str, str]
) -> str | None:
    """Returns why an instance counts as down, or None when it is up.

    Args:
        member: the instance.
        planned: ``down`` field of its service's budget row.
    """
    if member.name in planned:
        return "taken down on purpose"
    if member.row.phase is not platform.MaintenancePhase.SERVING:
        return f"in maintenance or a move ({member.row.phase})"
    if member.listing is None:
        return "missing from the platform's list"
    if member.listing.state is not platform.ListedState.LIVE:
        return "listed as leaving"
    # The list lags: an instance that failed seconds ago is still listed as
    # live. It can't report a status, so a missing status counts as down.
    if member.status is None:
        return "does not answer"
    if member.status.phase is not platform.MaintenancePhase.SERVING:
        return f"says that it is {member.status.phase}"
    if member.row.cordoned:
        return f"cordoned: {member.row.reason}"
    return None


def is_down_only_by_cordon(
    member: fleet_state.Member, planned: Mapping[str, str]
) -> bool:
    """Returns whether a cordon is the only reason why an instance is down.

    Draining such an instance does not raise the number of down instances.
    """
    if not member.row.cordoned:
        return False
    open_row = dataclasses.replace(member.row, cordoned=False)
    return (
        down_reason(dataclasses.replace(member, row=open_row), planned) is None
    )


def members_of(
    fleet: fleet_state.Fleet, service: str, kind: platform.InstanceKind
) -> tuple[fleet_state.Member, ...]:
    """Returns a service's instances of one kind, sorted by name."""
    return fleet.groups.get((service, kind), ())


def budget_status(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    kind: platform.InstanceKind,
) -> BudgetStatus:
    """Returns the budget status of a service that is in the configuration."""
    planned = fleet.budget(service).row.down
    members = members_of(fleet, service, kind)
    reasons = {m.name: down_reason(m, planned) for m in members}
    return BudgetStatus(
        service,
        kind,
        _configured_count(config, service, kind),
        len(members),
        _max_down(config, service, kind),
        {name: reason for name, reason in reasons.items() if reason},
    )


def headroom(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    kind: platform.InstanceKind,
) -> int:
    """Returns how many more instances of a service may be taken down.

    It is 0 for a service that is not in the configuration.
    """
    if service not in config.services:
        return 0
    return budget_status(fleet, config, service, kind).headroom


def may_have_headroom(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    kind: platform.InstanceKind,
) -> bool:
    """Returns whether rows alone leave headroom; needs no instance status."""
    if service not in config.services:
        return False
    planned = fleet.budget(service).row.down
    down = [m for m in members_of(fleet, service, kind) if m.name in planned]
    return len(down) < _max_down(config, service, kind)


def domains_in_maintenance(
    members: Iterable[fleet_state.Member], planned: Mapping[str, str]
) -> frozenset[str]:
    """Returns the failure domains that have planned downtime."""
    return frozenset(
        member.domain
        for member in members
        if member.name in planned
        or member.row.phase is not platform.MaintenancePhase.SERVING
    )


def drains_to_undo(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    draining: Iterable[fleet_state.Member],
) -> frozenset[str]:
    """Returns the instances whose drain to undo because of exceeded budgets.

    Instances can fail while others are down for maintenance. An instance that
    is only draining can serve again at once.

    Args:
        fleet: current state of the fleet.
        config: the configuration in force.
        draining: members that are draining and have not gone further.
    """
    groups: dict[tuple[str, platform.InstanceKind], list[str]] = {}
    for member in draining:
        group = (member.row.service, member.row.kind)
        groups.setdefault(group, []).append(member.name)
    returned: set[str] = set()
    for (service, kind), names in groups.items():
        room = headroom(fleet, config, service, kind) if service else 0
        returned.update(sorted(names)[: max(0, -room)])
    return frozenset(returned)


def _configured_count(
    config: config_lib.Config, service: str, kind: platform.InstanceKind
) -> int:
    if kind is platform.InstanceKind.MINION:
        return config.services[service].minions
    return sum(
        pool.workers
        for pool in config.pools.values()
        if pool.service == service
    )


def _max_down(
    config: config_lib.Config, service: str, kind: platform.InstanceKind
) -> int:
    budget = config.services[service].availability_budget
    if kind is platform.InstanceKind.MINION:
        return budget.minions_down
    return budget.workers_down
