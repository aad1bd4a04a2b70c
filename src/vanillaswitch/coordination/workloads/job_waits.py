"""Why jobs wait; a reason is recorded once a job has waited for a while."""

from collections.abc import Mapping
import dataclasses

RECORD_AFTER_S = 30.0
"""How long a job waits for one reason before the reason is recorded."""

MAX_RECORDED_PER_STEP = 20
"""Most reasons recorded in one step."""


@dataclasses.dataclass(frozen=True)
class Wait:
    """The wait of one job.

    Attributes:
        since: monotonic seconds at which the reason was first seen.
        is_recorded: whether the reason has been recorded.
    """

    reason: str
    since: float
    is_recorded: bool = False


def update_waits(
    before: Mapping[str, Wait], wait_reasons: Mapping[str, str], now: float
) -> dict[str, Wait]:
    """Returns the current waits; a new reason starts a new wait.

    Args:
        before: waits by job.
        wait_reasons: reason by job that waits now.
        now: monotonic seconds.
    """
    found = {}
    for job, reason in wait_reasons.items():
        known = before.get(job)
        is_same = known is not None and known.reason == reason
        found[job] = known if known and is_same else Wait(reason, now)
    return found


def due_for_record(waits: Mapping[str, Wait], now: float) -> dict[str, str]:
    """Returns the reasons to record now, by job, the longest waits first."""
    due = [
        (wait.since, job)
        for job, wait in waits.items()
        if not wait.is_recorded and now - wait.since >= RECORD_AFTER_S
    ]
    return {
        job: waits[job].reason for _, job in sorted(due)[:MAX_RECORDED_PER_STEP]
    }


def mark_recorded(
    waits: Mapping[str, Wait], jobs: Mapping[str, str]
) -> dict[str, Wait]:
    """Returns the waits after the reasons of some jobs were recorded."""
    return {
        job: dataclasses.replace(
            wait, is_recorded=wait.is_recorded or job in jobs
        )
        for job, wait in waits.items()
    }
