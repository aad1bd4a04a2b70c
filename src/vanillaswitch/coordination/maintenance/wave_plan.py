"""Plans a maintenance wave before it starts: rounds, duration, obstacles.

Within a round, a service never has more instances down than its budget has
headroom for, and never instances of two failure domains. The next round starts
when every instance of the previous one serves again.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import math

from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.internal import registry
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

DRAIN_S = {
    platform.InstanceKind.MINION: 5.0,
    platform.InstanceKind.WORKER: 30.0,
}
"""Modelled seconds until an instance of a kind has drained."""

REBOOT_S = 120.0
"""Modelled seconds that a reboot takes."""

RESUME_S = 5.0
"""Modelled seconds until a rebooted instance is known to serve again."""

KIND_BY_TARGET = {
    config_lib.WaveTarget.MINIONS: platform.InstanceKind.MINION,
    config_lib.WaveTarget.WORKERS: platform.InstanceKind.WORKER,
}


@dataclasses.dataclass(frozen=True)
class WaveTargetInstance:
    """One instance that a wave reboots, with its service and domain."""

    name: str
    service: str
    domain: str


@dataclasses.dataclass(frozen=True)
class WavePlan:
    """The plan of a wave.

    Attributes:
        rounds: instances by round.
        expected_s: modelled seconds from start to finish.
        cannot: reasons why the wave can't finish within the budgets; empty
            when it can.
        skipped: instance to the reason why it is left out.
    """

    rounds: tuple[tuple[str, ...], ...]
    expected_s: float
    cannot: tuple[str, ...]
    skipped: Mapping[str, str]


Rounds = tuple[tuple[str, ...], ...]
OrderStrategy = Callable[
    [Sequence[WaveTargetInstance], Mapping[str, int], config_lib.Wave], Rounds
]
"""(targets, headroom by service, at least 1 each, the wave) -> rounds."""

ORDER_STRATEGIES: registry.Registry[OrderStrategy] = registry.Registry(
    "wave order"
)
DEFAULT_ORDER = "growing"


def plan_wave(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    wave: config_lib.Wave,
    order: str = DEFAULT_ORDER,
) -> WavePlan:
    """Returns the plan of a wave for the current state of the fleet.

    Raises:
        errors.UnknownVariantError: There is no such order.
    """
    kind = KIND_BY_TARGET[wave.targets]
    cannot = []
    targets = []
    skipped: dict[str, str] = {}
    allowance = {}
    for service in sorted(set(wave.services)):
        members = budgets.members_of(fleet, service, kind)
        reason = _refusal_reason(fleet, config, service, kind)
        if reason:
            cannot.append(reason)
            continue
        planned = fleet.budget(service).row.down
        allowance[service] = budgets.headroom(fleet, config, service, kind)
        for member in members:
            down = budgets.down_reason(member, planned)
            if down and not budgets.is_down_only_by_cordon(member, planned):
                skipped[member.name] = down
            else:
                targets.append(
                    WaveTargetInstance(member.name, service, member.domain)
                )
    rounds = ORDER_STRATEGIES.get(order)(targets, allowance, wave)
    seconds = estimate_duration_s(len(rounds), kind)
    if len(rounds) > 1:
        seconds += wave.soak_s
    return WavePlan(rounds, seconds, tuple(cannot), skipped)


def estimate_duration_s(rounds: int, kind: platform.InstanceKind) -> float:
    """Returns the modelled seconds that a number of rounds takes."""
    return rounds * (DRAIN_S[kind] + REBOOT_S + RESUME_S)


def min_growing_rounds(
    targets: Sequence[WaveTargetInstance],
    allowance: Mapping[str, int],
    wave: config_lib.Wave,
) -> int:
    """Returns a lower bound on the rounds of an order with a canary."""
    total_allowance = sum(
        allowance[service] for service in {t.service for t in targets}
    )
    remaining = len(targets)
    limit = float(max(1, wave.canary))
    rounds = 0
    while remaining > 0:
        remaining -= min(math.floor(limit), total_allowance)
        limit *= max(1.0, wave.growth)
        rounds += 1
    return max(rounds, min_rounds(targets, allowance))


def min_rounds(
    targets: Sequence[WaveTargetInstance], allowance: Mapping[str, int]
) -> int:
    """Returns a lower bound on the rounds of any order.

    A service needs ``ceil(instances / allowance)`` rounds for each of its
    failure domains. Different services can share a round.
    """
    by_service: dict[str, int] = {}
    for (service, _), names in _group_by_domain(targets).items():
        needed = math.ceil(len(names) / allowance[service])
        by_service[service] = by_service.get(service, 0) + needed
    return max(by_service.values(), default=0)


@ORDER_STRATEGIES.register("growing")
def _plan_growing(
    targets: Sequence[WaveTargetInstance],
    allowance: Mapping[str, int],
    wave: config_lib.Wave,
) -> Rounds:
    """Returns rounds that start with a canary and grow by a factor.

    Services that need the most rounds go first, so that none of them is left
    alone at the end.
    """
    waiting = _group_by_domain(targets)
    rounds = []
    limit = float(max(1, wave.canary))
    while waiting:
        names = _fill_round(waiting, allowance, math.floor(limit))
        rounds.append(tuple(sorted(names)))
        waiting = _remove_names(waiting, set(names))
        limit = min(limit * max(1.0, wave.growth), float(len(targets)))
    return tuple(rounds)


@ORDER_STRATEGIES.register("rack-at-a-time")
def _plan_rack_at_a_time(
    targets: Sequence[WaveTargetInstance],
    allowance: Mapping[str, int],
    wave: config_lib.Wave,
) -> Rounds:
    """Returns rounds of one failure domain after the other.

    This order serves as a baseline for comparisons.
    """
    del wave
    rounds = []
    for domain in sorted({target.domain for target in targets}):
        waiting = _group_by_domain([t for t in targets if t.domain == domain])
        while waiting:
            names = _fill_round(waiting, allowance, len(targets))
            rounds.append(tuple(sorted(names)))
            waiting = _remove_names(waiting, set(names))
    return tuple(rounds)


_NamesByDomain = dict[tuple[str, str], list[str]]
"""Names of waiting instances by service and failure domain."""


def _group_by_domain(targets: Sequence[WaveTargetInstance]) -> _NamesByDomain:
    waiting: _NamesByDomain = {}
    for target in sorted(targets, key=lambda target: target.name):
        key = (target.service, target.domain)
        waiting.setdefault(key, []).append(target.name)
    return waiting


def _remove_names(waiting: _NamesByDomain, names: set[str]) -> _NamesByDomain:
    remaining = {
        key: [name for name in group if name not in names]
        for key, group in waiting.items()
    }
    return {key: group for key, group in remaining.items() if group}


def _fill_round(
    waiting: _NamesByDomain, allowance: Mapping[str, int], limit: int
) -> list[str]:
    """Returns at most ``limit`` names, one failure domain for each service."""
    needed = {
        service: _rounds_left(waiting, service, allowance[service])
        for service in {service for service, _ in waiting}
    }
    names: list[str] = []
    for service in sorted(needed, key=lambda one: (-needed[one], one)):
        max_names = min(limit - len(names), allowance[service])
        if max_names <= 0:
            break
        names += _best_domain(waiting, service, allowance[service], max_names)
    return names


def _rounds_left(waiting: _NamesByDomain, service: str, allowed: int) -> int:
    return sum(
        math.ceil(len(names) / allowed)
        for (other, _), names in waiting.items()
        if other == service
    )


def _best_domain(
    waiting: _NamesByDomain, service: str, allowed: int, max_names: int
) -> list[str]:
    """Returns names from the domain whose turn now saves the most rounds."""

    def saving(item: tuple[str, list[str]]) -> tuple[int, int, str]:
        domain, names = item
        removed = min(max_names, len(names))
        before = math.ceil(len(names) / allowed)
        after = math.ceil((len(names) - removed) / allowed)
        return (before - after, removed, domain)

    domains = [
        (domain, names)
        for (other, domain), names in waiting.items()
        if other == service
    ]
    return max(domains, key=saving)[1][:max_names]


def _refusal_reason(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    service: str,
    kind: platform.InstanceKind,
) -> str | None:
    if service not in config.services:
        return f"{service}: the configuration has no such service"
    usage = budgets.budget_status(fleet, config, service, kind)
    if usage.allowed <= 0:
        return f"{service}: its budget allows no {kind} to be down"
    if usage.headroom <= 0:
        return (
            f"{service}: {usage.down_count} of {usage.allowed} allowed "
            f"{kind}s are down already"
        )
    return None
