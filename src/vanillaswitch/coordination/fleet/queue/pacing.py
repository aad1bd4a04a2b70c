"""Paces filler tasks so that serving tasks beside them meet their targets.

Load pattern: filler tasks use the processor time that others leave unused, and
slow down serving tasks on the same instance, by amounts that differ by image
and change within seconds. The reported tail latency is a rough figure over the
last half second. The pace of a task limits its speed, in percent. When a tail
latency is high, the pace of the fillers is halved at once, because users wait.
It is raised again in small steps after a while of low latency.
"""

from collections.abc import Callable
from collections.abc import Iterable
import dataclasses

from vanillaswitch.coordination.fleet.queue import instance_state

HIGH_LATENCY_RATIO = 0.85
"""Fillers are slowed down when a tail latency exceeds this share of its target.
The limit is below 1 because the reported latency is rough and takes up to
``MIN_CHANGE_INTERVAL_S`` to show the effect of a new pace."""

LOW_LATENCY_RATIO = 0.6
"""Fillers are sped up when all tail latencies are below this share."""

MIN_CHANGE_INTERVAL_S = 0.8
"""Pause between two changes of pace: the window of the reported latency plus
the time until a pace takes effect."""

MIN_LOW_LATENCY_S = 1.6
"""How long all tail latencies must be low before fillers are sped up."""

PACE_INCREMENT = 20
"""Percentage points by which a pace is raised at a time."""

MIN_PACE = 10
"""Lowest pace in percent. A filler that would need a lower one is paused, by
the pace 0."""


@dataclasses.dataclass(frozen=True)
class PaceOrder:
    """The decision to set the pace of a run.

    Attributes:
        percent: the new pace, in percent of full speed.
    """

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
    worst = max((_latency_ratio(run) for run in serving), default=0.0)
    if worst >= LOW_LATENCY_RATIO:
        instance.low_latency_since = now
    if worst > HIGH_LATENCY_RATIO:
        return _change_paces(instance, fillers, _reduced_pace, now)
    if now - instance.low_latency_since >= MIN_LOW_LATENCY_S:
        return _change_paces(instance, fillers, _raised_pace, now)
    return []


def _is_serving(run: instance_state.Run) -> bool:
    return run.confirmed and run.step.target_ms > 0 and not run.step.fills


def _is_filler(run: instance_state.Run) -> bool:
    return run.confirmed and run.step.fills and run.stop_requested_at is None


def _latency_ratio(run: instance_state.Run) -> float:
    """Returns the tail latency of a task as a share of its target."""
    return run.gauge / run.step.target_ms


def _reduced_pace(percent: int) -> int:
    half = percent // 2
    return half if half >= MIN_PACE else 0


def _raised_pace(percent: int) -> int:
    return min(instance_state.FULL_PACE, percent + PACE_INCREMENT)


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
