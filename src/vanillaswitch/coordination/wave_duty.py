"""Carries out the maintenance wave that a controller holds the duty of."""

from collections.abc import Mapping
from typing import Any

from vanillaswitch.coordination import changes
from vanillaswitch.coordination import controller
from vanillaswitch.coordination import duties
from vanillaswitch.coordination import duty_names
from vanillaswitch.coordination import fleet_state
from vanillaswitch.coordination import wave_state
from vanillaswitch.coordination import wave_step
from vanillaswitch.coordination import wave_verdict
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys

RETURN_LIMIT_S = 600.0
"""An instance that is not back from its reboot by then has failed."""

SILENT_LIMIT_S = 10.0
"""An instance that is down or silent for so long has failed."""

_SINCE = "since"
_SETTLED = "settled"


@controller.duty(duty_names.WAVE)
def step(context: controller.Context, name: str, fence: duties.Fence) -> None:
    """Does one step of a wave; does nothing while the platform is away."""
    wave = duty_names.subject(name)
    spec = context.config.waves.get(wave)
    if spec is None or _rests(context, wave):
        return
    fleet = fleet_state.read(context.platform, spec.services)
    if isinstance(fleet, platform.Unavailable) or wave not in fleet.waves:
        return
    view = wave_verdict.View(
        wave,
        fleet,
        context.config,
        _broken(context, fleet, wave),
        context.clock.wall(),
        lambda: ids.new_id(context.rng),
    )
    decided = wave_step.decide(view)
    changes.carry_out(context, fence, fleet, decided)
    if decided.changes.empty and not decided.calls and not view.under_way:
        context.memory[_SETTLED] = fleet.waves[wave].version


def _rests(context: controller.Context, name: str) -> bool:
    """Tells whether a wave has nothing to do; reads no more than its row.

    It was never started, or it is not running, has nothing down and its row
    is the one that an earlier step found so.
    """
    found = context.platform.table.read([keys.wave(name)])
    if isinstance(found, platform.Unavailable) or not found.rows:
        return True
    row = found.rows[0]
    running = row.value["state"] == wave_state.WaveState.RUNNING
    return not running and context.memory.get(_SETTLED) == row.version


def _broken(
    context: controller.Context, fleet: fleet_state.Fleet, name: str
) -> dict[str, str]:
    """Returns the wave's instances that have been in trouble for too long.

    Times are taken on this process's monotonic clock from the moment it saw
    the trouble first. A new holder begins anew: that delays a verdict and
    never makes one early, while a wall clock in the row could jump.
    """
    now = context.clock.monotonic()
    before: Mapping[tuple[str, str], float] = context.memory.get(_SINCE, {})
    since: dict[tuple[str, str], float] = {}
    broken = {}
    for member in _planned(fleet, name):
        for trouble, limit in _troubles(member, name).items():
            key = (member.name, trouble)
            since[key] = before.get(key, now)
            if now - since[key] >= limit:
                broken[member.name] = f"{trouble} for {limit:.0f} s"
    memory: dict[str, Any] = context.memory
    memory[_SINCE] = since
    return broken


def _planned(fleet: fleet_state.Fleet, name: str) -> list[fleet_state.Member]:
    wave: wave_state.Wave = fleet.waves[name].row
    names = sorted({one for names in wave.rounds for one in names})
    return [fleet.members[one] for one in names if one in fleet.members]


def _troubles(member: fleet_state.Member, wave: str) -> dict[str, float]:
    """Returns what is wrong with an instance and how long it may last."""
    troubles: dict[str, float] = {}
    if member.row.wave not in ("", wave):
        return troubles
    if member.status is None:
        # Rebooting instances don't answer either; only the long limit fits.
        rebooting = member.row.phase is platform.Phase.REBOOTING
        troubles["silent"] = RETURN_LIMIT_S if rebooting else SILENT_LIMIT_S
    elif member.status.phase is platform.Phase.DOWN:
        troubles["down"] = SILENT_LIMIT_S
    if member.row.phase in (platform.Phase.REBOOTING, platform.Phase.DRAINED):
        troubles[f"not back ({member.row.phase})"] = RETURN_LIMIT_S
    return troubles
