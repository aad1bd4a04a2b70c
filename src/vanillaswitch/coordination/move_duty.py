"""Looks after the pools of the service that a controller holds the duty of."""

from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination import changes
from vanillaswitch.coordination import controller
from vanillaswitch.coordination import duties
from vanillaswitch.coordination import duty_names
from vanillaswitch.coordination import fleet_cache
from vanillaswitch.coordination import fleet_state
from vanillaswitch.coordination import pool_step
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform

LOST_AFTER_S = 30.0
"""A worker that is down for so long by itself is replaced in its pool."""

GONE_AFTER_S = 3600.0
"""An instance that is neither listed nor answers for so long is forgotten."""

_DOWN_SINCE = "down-since"


@controller.duty(duty_names.POOL_GROUP)
def step(context: controller.Context, name: str, fence: duties.Fence) -> None:
    """Does one step of a service's pools."""
    service = duty_names.subject(name)
    view = _view(context, service, _asked(context, service))
    if view is None:
        return
    # Workers come from other services too, which were not asked yet.
    sources = pool_step.sources(view)
    if not sources <= {service, ""}:
        asked = _asked(context, service, sources)
        view = _view(context, service, asked)
    if view is not None:
        decided = pool_step.decide(view)
        changes.carry_out(context, fence, view.fleet, decided)
        wrote = not decided.changes.empty
        if wrote:
            fleet_cache.forget(context)
        context.rest(not (wrote or decided.calls or sources))


@dataclasses.dataclass(frozen=True)
class _Asked:
    """Services whose instances are asked for their status.

    Attributes:
        named: these in any case.
        known: services of the configuration, when all others are asked too.
    """

    named: frozenset[str]
    known: frozenset[str] | None

    def __contains__(self, service: object) -> bool:
        others = self.known is not None and service not in self.known
        return service in self.named or others


def _asked(
    context: controller.Context, service: str, more: Iterable[str] = ()
) -> _Asked:
    config = context.config
    known = frozenset(config.services)
    keeps_spare = pool_step.keeps_spare(config, service)
    return _Asked(
        frozenset({service, "", *more}), known if keeps_spare else None
    )


def _view(
    context: controller.Context, service: str, asked: _Asked
) -> pool_step.View | None:
    recorded = fleet_cache.recorded(context)
    if isinstance(recorded, platform.Unavailable):
        return None
    fleet = fleet_state.ask(context.platform, recorded, asked)
    if isinstance(fleet, platform.Unavailable):
        return None
    down_for = _down_for(context, fleet, asked)
    lost = {name for name, age in down_for.items() if age >= LOST_AFTER_S}
    gone = {
        name
        for name, age in down_for.items()
        if age >= GONE_AFTER_S and fleet.members[name].listing is None
    }
    return pool_step.View(
        service,
        fleet,
        context.config,
        frozenset(lost),
        frozenset(gone),
        context.clock.wall(),
        lambda: ids.new_id(context.rng),
    )


def _down_for(
    context: controller.Context,
    fleet: fleet_state.Fleet,
    asked: _Asked,
) -> dict[str, float]:
    """Returns for how many seconds instances have been down by themselves.

    Times are on this process's monotonic clock; a new holder begins anew,
    which delays a replacement and never makes one early.
    """
    now = context.clock.monotonic()
    before = context.memory.get(_DOWN_SINCE, {})
    since = {
        name: before.get(name, now)
        for name, member in fleet.members.items()
        if member.row.service in asked and _is_down_by_itself(member)
    }
    context.memory[_DOWN_SINCE] = since
    return {name: now - then for name, then in since.items()}


def _is_down_by_itself(member: fleet_state.Member) -> bool:
    if member.status is None:
        return True
    return member.status.phase is platform.Phase.DOWN
