"""Detects stalled tasks and slow instances.

Load pattern: some instances take several times as long for everything, or stall
their tasks, while they answer as usual. Their tasks end late, although other
instances have capacity. Estimates of single tasks are off by half and more, so
the speed of an instance is measured over all its tasks and compared with its
pool.
"""

from collections.abc import Iterable
import statistics

from vanillaswitch.coordination.fleet.queue import instance_state

STALL_S = 2.2
"""A task is stalled when its progress has not changed for this long, over two
or more status reports of its instance."""

MAX_REPORT_GAP_S = 1.5
"""Longest time between two status reports that counts towards a stall. An
instance with work reports within 1.0 s. A longer gap means that the instance
did not answer, that the owner was paused or that the owner changed. If such
gaps counted, an owner that resumes after a pause would stop all running tasks
as stalled."""

SMOOTHING_FACTOR = 0.3
"""Weight of a new sample in the moving average of an instance's speed. A change
shows after about three samples."""

MIN_SAMPLES = 3
"""Samples below which the speed of an instance is unknown, and instances with a
known speed below which a pool has no median."""

STRAGGLER_SPEED_RATIO = 0.4
"""An instance is slow below this share of its pool's median speed. The speed of
a healthy one deviates by about half, and a slow one takes at least four times
as long."""

MIN_SAMPLE_INTERVAL_S = 0.2
"""Shortest time between two changes of progress that gives a sample. Progress
is reported in whole percent, so a shorter one would be inexact."""


def record_progress(
    instance: instance_state.Instance,
    run: instance_state.Run,
    percent: float,
    now: float,
) -> None:
    """Records the progress of a run from a status report.

    Args:
        instance: the instance that reports it.
        run: the run.
        percent: reported progress.
        now: monotonic seconds.
    """
    if percent != run.percent:
        _update_speed(instance, run, percent, now)
        run.percent, run.progress_at = percent, now
        run.stalled_s = 0.0
    elif now - run.reported_at <= MAX_REPORT_GAP_S:
        run.stalled_s += now - run.reported_at
    else:
        run.stalled_s = 0.0
    run.reported_at = now


def _update_speed(
    instance: instance_state.Instance,
    run: instance_state.Run,
    percent: float,
    now: float,
) -> None:
    step = run.step
    interval_s = now - run.progress_at
    if step.long_running or not step.estimate_ms:
        return
    if interval_s < MIN_SAMPLE_INTERVAL_S or percent <= run.percent:
        return
    expected_s = (percent - run.percent) / 100 * step.estimate_ms / 1000
    speed = expected_s / interval_s
    instance.relative_speed += SMOOTHING_FACTOR * (
        speed - instance.relative_speed
    )
    instance.speed_samples += 1


def is_stalled(run: instance_state.Run, now: float) -> bool:
    """Whether a run is stalled, from consecutive reports without a gap."""
    unreported_s = now - run.reported_at
    return (
        run.confirmed
        and run.stop_requested_at is None
        and not run.step.long_running
        and run.pace == instance_state.FULL_PACE
        and unreported_s <= MAX_REPORT_GAP_S
        and run.stalled_s > 0
        and run.stalled_s + unreported_s >= STALL_S
    )


def mark_stragglers(instances: Iterable[instance_state.Instance]) -> None:
    """Marks the instances of one pool that are slow compared with it."""
    known = [
        instance
        for instance in instances
        if instance.speed_samples >= MIN_SAMPLES
    ]
    if len(known) < MIN_SAMPLES:
        return
    median = statistics.median(instance.relative_speed for instance in known)
    for instance in known:
        instance.is_straggler = (
            instance.relative_speed < STRAGGLER_SPEED_RATIO * median
        )
