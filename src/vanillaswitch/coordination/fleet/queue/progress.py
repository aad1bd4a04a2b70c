"""Finds tasks that stand still, and instances that are slow.

Load pattern: some instances take several times as long for everything, or
let what they run stand still, while they answer as ever. What waits there is
late, although others have room. Estimates of single tasks are off by half and
more, so the speed of an instance is judged over all it runs, and against its
pool.
"""

from collections.abc import Iterable
import statistics

from vanillaswitch.coordination.fleet.queue import rooms

STALL_S = 2.2
"""A task whose progress stayed the same for so long, over two accounts of its
instance or more, stands still."""

GAP_S = 1.5
"""Accounts that are further apart tell nothing of the time between them. An
instance with work answers within 1.0 s; longer ones are its own silence, a
pause of the owner or a change of owner. Judged across such a gap, all that ran
was stopped as standing still in the moment an owner went on after a pause."""

SMOOTHING = 0.3
"""Weight of a new sample of an instance's speed; about three samples tell a
change."""

MIN_SAMPLES = 3
"""Fewer samples than this say nothing of an instance."""

SLOW_SHARE = 0.4
"""An instance is slow below this share of its pool's median speed: a sound
one strays by about half, a slow one takes four times as long and more."""

MIN_INTERVAL_S = 0.2
"""Shorter intervals give no sample: progress is listed in whole percent."""


def observe(
    instance: rooms.Instance, run: rooms.Run, percent: float, now: float
) -> None:
    """Takes note of the progress of a run as its instance lists it."""
    if percent != run.percent:
        _sample(instance, run, percent, now)
        run.percent, run.percent_at = percent, now
        run.still_s = 0.0
    elif now - run.listed_at <= GAP_S:
        run.still_s += now - run.listed_at
    else:
        run.still_s = 0.0
    run.listed_at = now


def _sample(
    instance: rooms.Instance, run: rooms.Run, percent: float, now: float
) -> None:
    step = run.step
    interval_s = now - run.percent_at
    if step.long_running or not step.estimate_ms:
        return
    if interval_s < MIN_INTERVAL_S or percent <= run.percent:
        return
    worked_s = (percent - run.percent) / 100 * step.estimate_ms / 1000
    speed = worked_s / interval_s
    instance.speed += SMOOTHING * (speed - instance.speed)
    instance.speed_samples += 1


def stalled(run: rooms.Run, now: float) -> bool:
    """Whether a run stands still, by accounts that came without a gap."""
    unheard_s = now - run.listed_at
    return (
        run.confirmed
        and run.stopping is None
        and not run.step.long_running
        and run.pace == rooms.FULL_PACE
        and unheard_s <= GAP_S
        and run.still_s > 0
        and run.still_s + unheard_s >= STALL_S
    )


def mark_slow(instances: Iterable[rooms.Instance]) -> None:
    """Marks the instances of one pool that are slow among their like."""
    known = [
        instance
        for instance in instances
        if instance.speed_samples >= MIN_SAMPLES
    ]
    if len(known) < MIN_SAMPLES:
        return
    median = statistics.median(instance.speed for instance in known)
    for instance in known:
        instance.slow = instance.speed < SLOW_SHARE * median
