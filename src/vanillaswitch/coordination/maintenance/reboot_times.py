"""Skips status requests to instances whose reboot can't have finished yet.

At the target size a wave has hundreds of instances rebooting at once. To keep
the number of status requests low, an instance is asked only after most of the
shortest reboot time seen so far in this wave has passed.
"""

from collections.abc import Mapping
from typing import Any

from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.protocol import platform

MIN_ELAPSED_FRACTION = 0.8
"""Fraction of the shortest reboot time after which an instance is asked."""

_STARTED_AT = "boots.began"
_SHORTEST_S = "boots.quickest"


def find_unfinished_reboots(
    soft_state: dict[str, Any],
    fleet: fleet_state.Fleet,
    wave_name: str,
    now: float,
) -> frozenset[str]:
    """Returns the instances whose reboot can't have finished yet.

    Args:
        soft_state: of the wave's duty, kept from step to step.
        fleet: rows of all members.
        wave_name: the wave whose instances are considered.
        now: monotonic seconds.
    """
    previous: Mapping[str, float] = soft_state.get(_STARTED_AT, {})
    started_at = {
        name: previous.get(name, now)
        for name, member in fleet.members.items()
        if member.row.wave == wave_name
        and member.row.phase is platform.MaintenancePhase.REBOOTING
    }
    durations_s = [
        now - start
        for name, start in previous.items()
        if name not in started_at
    ]
    shortest_s = min([soft_state.get(_SHORTEST_S, float("inf")), *durations_s])
    soft_state[_STARTED_AT], soft_state[_SHORTEST_S] = started_at, shortest_s
    # No reboot has finished yet, so there is no time to compare with.
    if shortest_s == float("inf"):
        return frozenset()
    return frozenset(
        name
        for name, start in started_at.items()
        if now - start < MIN_ELAPSED_FRACTION * shortest_s
    )
