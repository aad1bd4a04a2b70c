"""Paces tasks that fill so that tasks beside them serve their users in time.

Load pattern: tasks that fill use what others leave of an instance and disturb
those that serve users, by amounts that differ by image and change within
seconds. What is listed is a rough figure over the last half second. A fill
is slowed at once and by half, since users wait, and speeded up again in small
steps once there has been room for a while.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.queue import rooms

HIGH_SHARE = 0.85
"""Fills are slowed when a tail exceeds this share of its target: the figure
is rough, and it takes most of a second until a pace shows in it."""

LOW_SHARE = 0.6
"""They are speeded up when all tails are below this share."""

CHANGE_S = 0.8
"""Pause between two changes: the window of the figure and the time until a
pace takes effect."""

CALM_S = 1.6
"""So long all tails have to be low before fills are speeded up."""

RAISE = 20
"""Percent by which a fill is speeded up at once."""

LEAST = 10
"""Below so many percent a fill is halted."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """A run is to work at a share of its speed, in percent."""

    run: rooms.Run
    percent: int


def plan(instance: rooms.Instance, now: float) -> list[Pace]:
    """Returns the paces to order on one instance."""
    serving = [run for run in instance.runs.values() if _serves(run)]
    fills = [run for run in instance.runs.values() if _fills(run)]
    if not fills or now - instance.paced_at < CHANGE_S:
        return []
    worst = max((_strain(run) for run in serving), default=0.0)
    if worst >= LOW_SHARE:
        instance.calm_since = now
    if worst > HIGH_SHARE:
        return _changed(instance, fills, _slower, now)
    if now - instance.calm_since >= CALM_S:
        return _changed(instance, fills, _faster, now)
    return []


def _serves(run: rooms.Run) -> bool:
    return run.confirmed and run.step.target_ms > 0 and not run.step.fills


def _fills(run: rooms.Run) -> bool:
    return run.confirmed and run.step.fills and run.stopping is None


def _strain(run: rooms.Run) -> float:
    """Returns a task's tail as a share of its target."""
    return run.gauge / run.step.target_ms


def _slower(percent: int) -> int:
    half = percent // 2
    return half if half >= LEAST else 0


def _faster(percent: int) -> int:
    return min(rooms.FULL_PACE, percent + RAISE)


def _changed(
    instance: rooms.Instance,
    fills: Iterable[rooms.Run],
    change: Callable[[int], int],
    now: float,
) -> list[Pace]:
    paces = [
        Pace(run, change(run.pace))
        for run in fills
        if change(run.pace) != run.pace
    ]
    if paces:
        instance.paced_at = now
    return paces
