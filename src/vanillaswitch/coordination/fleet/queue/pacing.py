"""Paces filler tasks so that serving tasks beside them meet their targets.

Load pattern: filler tasks use the processors that others leave unused, and
slow down serving tasks on the same instance, by amounts that differ by image
and change within seconds. The reported tail latency is a rough figure over the
last half second. Fillers are slowed down at once and by half, since users wait.
They are sped up again in small steps after a while of low latency.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.queue import instance_state

HIGH_SHARE = 0.85
"""Fillers are slowed down when a tail latency exceeds this share of its target:
the figure is rough, and shows a new pace only after most of a second."""

LOW_SHARE = 0.6
"""Fillers are sped up when all tail latencies are below this share."""

MIN_CHANGE_INTERVAL_S = 0.8
"""Pause between two changes of pace: the window of the reported latency plus
the time until a pace takes effect."""

MIN_LOW_LATENCY_S = 1.6
"""How long all tail latencies must be low before fillers are sped up."""

STEP_UP = 20
"""Percentage points of one step up."""

MIN_PACE = 10
"""Lowest pace in percent. A filler that would need a lower one is halted."""


@dataclasses.dataclass(frozen=True)
class PaceOrder:
    """The decision to let a run work at a share of its speed, in percent."""

    run: instance_state.Run
    percent: int


def plan_paces(
    instance: instance_state.Instance, now: float
) -> list[PaceOrder]:
    """Returns the paces to order on one instance.

    Args:
        instance: the instance.
        now: monotonic seconds.
    """
    serving = [run for run in instance.runs.values() if _is_serving(run)]
    fillers = [run for run in instance.runs.values() if _is_filler(run)]
    if not fillers or now - instance.last_paced_at < MIN_CHANGE_INTERVAL_S:
        return []
    worst = max((_target_share(run) for run in serving), default=0.0)
    if worst >= LOW_SHARE:
        instance.below_target_since = now
    if worst > HIGH_SHARE:
        return _change_paces(instance, fillers, _slowed, now)
    if now - instance.below_target_since >= MIN_LOW_LATENCY_S:
        return _change_paces(instance, fillers, _sped_up, now)
    return []


def _is_serving(run: instance_state.Run) -> bool:
    return run.confirmed and run.step.target_ms > 0 and not run.step.fills


def _is_filler(run: instance_state.Run) -> bool:
    return run.confirmed and run.step.fills and run.stop_requested_at is None


def _target_share(run: instance_state.Run) -> float:
    """Returns the tail latency of a task as a share of its target."""
    return run.gauge / run.step.target_ms


def _slowed(percent: int) -> int:
    half = percent // 2
    return half if half >= MIN_PACE else 0


def _sped_up(percent: int) -> int:
    return min(instance_state.FULL_PACE, percent + STEP_UP)


def _change_paces(
    instance: instance_state.Instance,
    fillers: Iterable[instance_state.Run],
    change: Callable[[int], int],
    now: float,
) -> list[PaceOrder]:
    paces = [
        PaceOrder(run, change(run.pace))
        for run in fillers
        if change(run.pace) != run.pace
    ]
    if paces:
        instance.last_paced_at = now
    return paces
