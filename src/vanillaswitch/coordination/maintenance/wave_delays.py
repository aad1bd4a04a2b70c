"""Delays of a wave: the soak time after the first round, and slow drains.

Times are measured on this process's monotonic clock and kept in the soft state
of the duty. A new holder of the duty starts measuring again, which can make a
soak longer but never shorter.
"""

from collections.abc import Mapping
import dataclasses
from typing import Any

from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_evaluation
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib

_SOAK_SINCE = "delays.soaks"
_DRAINING_SINCE = "delays.drains"


def remaining_soak_s(
    soft_state: dict[str, Any],
    wave: wave_state.Wave,
    spec: config_lib.Wave,
    now: float,
) -> float:
    """Returns how long the first round must still serve before the second.

    Args:
        soft_state: of the wave's duty, kept from step to step.
        wave: the wave, with ``done`` up to date.
        spec: the wave's configuration.
        now: monotonic seconds.
    """
    if wave.current_round != 1 or wave.processed & frozenset(wave.rounds[1]):
        return 0.0
    run, since = soft_state.get(_SOAK_SINCE, ("", now))
    if run != wave.run:
        since = now
        soft_state[_SOAK_SINCE] = (wave.run, since)
    remaining_s: float = since + spec.soak_s - now
    return max(0.0, remaining_s)


def find_slow_drains(
    soft_state: dict[str, Any],
    under_way: Mapping[str, fleet_state.Member],
    limit_s: float,
    now: float,
) -> dict[str, str]:
    """Returns the instances whose drain takes too long, with the reason.

    Args:
        soft_state: of the wave's duty, kept from step to step.
        under_way: the wave's instances in maintenance, by name.
        limit_s: how long a drain may take.
        now: monotonic seconds.
    """
    previous: Mapping[str, float] = soft_state.get(_DRAINING_SINCE, {})
    draining_since = {
        name: previous.get(name, now)
        for name, member in under_way.items()
        if member.row.phase is platform.MaintenancePhase.DRAINING
    }
    soft_state[_DRAINING_SINCE] = draining_since
    return {
        name: f"drains for more than {limit_s:g} s, work is in flight on it"
        for name, start in draining_since.items()
        if now - start >= limit_s
    }


def record_slow_drains(
    view: wave_evaluation.WaveView,
    wave: wave_state.Wave,
    draft: changes.ChangesBuilder,
) -> wave_state.Wave:
    """Returns the wave with its slow drains, and explains new ones.

    Slow drains are reported but never forced, because a reboot would cut off
    the work in flight.
    """
    if view.slow_drains == wave.slow:
        return wave
    for name, why in sorted(view.slow_drains.items()):
        if name not in wave.slow:
            limit_s = view.config.waves[view.name].drain_limit_s
            draft.add_decision(
                wave_evaluation.build_decision(
                    view, f"{name} {why}", "slow drain", {"limit_s": limit_s}
                )
            )
    return dataclasses.replace(wave, slow=dict(view.slow_drains))
