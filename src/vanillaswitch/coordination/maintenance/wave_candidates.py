"""Selects the instances of a wave that may be taken down next.

The selection follows the rounds and the failure domains. Headroom is checked
by the caller.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib


def waiting_members(
    wave: wave_state.Wave, fleet: fleet_state.Fleet
) -> list[fleet_state.Member]:
    """Returns the members of the current round that are not processed yet.

    Args:
        wave: the wave, with ``done`` up to date.
        fleet: the members to consider.
    """
    current = wave.current_round
    names = () if current is None else wave.rounds[current]
    processed = wave.processed
    return [
        fleet.members[name]
        for name in names
        if name not in processed and name in fleet.members
    ]


def select_one_domain(
    members: Iterable[fleet_state.Member],
    planned: Mapping[str, str],
    ready: Sequence[fleet_state.Member],
) -> list[fleet_state.Member]:
    """Returns the ready members of the one domain that may have any down.

    A service never has instances down on purpose in two failure domains at
    once.

    Args:
        members: all members of the service and kind.
        planned: ``down`` of the service's budget row.
        ready: waiting members that are up.
    """
    domains_in_use = budgets.domains_in_maintenance(members, planned)
    if not ready or len(domains_in_use) > 1:
        return []
    domain = min(domains_in_use, default=ready[0].domain)
    return [member for member in ready if member.domain == domain]


def find_startable_services(
    wave: wave_state.Wave,
    whole_fleet: fleet_state.Fleet,
    config: config_lib.Config,
    kind: platform.InstanceKind,
) -> set[str]:
    """Returns the services of which an instance may be taken down next.

    The result is based on rows only. The status of the instances can still
    rule a service out.

    Args:
        wave: the wave, with ``done`` up to date.
        whole_fleet: rows of all members.
        config: the configuration in force.
        kind: kind of the wave's instances.
    """
    by_service: dict[str, list[fleet_state.Member]] = {}
    for member in waiting_members(wave, whole_fleet):
        if member.row.phase is platform.MaintenancePhase.SERVING:
            by_service.setdefault(member.row.service, []).append(member)
    return {
        service
        for service, ready in by_service.items()
        if budgets.may_have_headroom(whole_fleet, config, service, kind)
        and select_one_domain(
            budgets.members_of(whole_fleet, service, kind),
            whole_fleet.budget(service).row.down,
            ready,
        )
    }


def round_index(wave: wave_state.Wave, name: str) -> int:
    """Returns the index of the round that an instance belongs to.

    Raises:
        StopIteration: The wave has no such instance.
    """
    return next(i for i, names in enumerate(wave.rounds) if name in names)
