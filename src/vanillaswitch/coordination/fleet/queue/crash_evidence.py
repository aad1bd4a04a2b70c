"""Evidence that a task crashes the instances that start it.

A crash of an instance ends all its runs, and most of them are not its cause.
Giving up a job that is not the cause loses all its work. Keeping a job that is
the cause for longer costs one more instance. So two crashes are enough only if
one of them has no other visible cause. Weaker kinds of evidence need more
crashes.
"""

from collections.abc import Sequence
import dataclasses
import enum


class CrashKind(enum.StrEnum):
    """How certain it is that a run crashed its instance.

    Attributes:
        SOLE_NEW_RUN: no other run had just started there, and no other instance
            was lost at that moment without a cause of its own.
        NEW_RUN: the run had just started there.
        PROVEN_RUN: the run had worked there for a while.
        UNCERTAIN: it is unknown whether or when the run started, or whether the
            instance crashed at all.
    """

    SOLE_NEW_RUN = "alone"
    NEW_RUN = "new"
    PROVEN_RUN = "worked"
    UNCERTAIN = "unsure"


MIN_PROOF_S = 0.1
"""A run that its instance reports for this long did not crash it by
starting."""

PROOF_FACTOR = 2.0
"""A run clears its task after this multiple of the longest time that a crashed
run of the task worked."""

MAX_PROOF_S = 2.0
"""Longest time for which nothing else starts beside a suspect task."""

FULLY_CLEARED_S = 10.0
"""Run time after which a task is cleared of all crashes. A task that crashes
its instances as it starts is already found after ``MAX_PROOF_S``."""

MAX_SOLE_CAUSE_CRASHES = 2
MAX_NEW_RUN_CRASHES = 3
MAX_CERTAIN_CRASHES = 4
MAX_CRASHES = 5
"""Crashes after which a task is given up. The first two limits count crashes
of runs that had just started, since a run of the task last worked: the first
one applies if one of them is ``ALONE``. The third limit counts all crashes at
which the task certainly ran, the last one also those at which it may have run.
The users allow two starts after the third crash."""

EXTRA_CRASHES_LONG_RUNNING = 1
"""A long-running task is given up after this many more crashes. It runs for
minutes, so instances crash under it by chance, and its job serves users of its
own. Crashes of kind ``UNCERTAIN`` do not count against it."""


@dataclasses.dataclass(frozen=True)
class Crash:
    """The loss of an instance during a run of a task.

    Attributes:
        run_time_s: for how long the instance had reported the run.
    """

    run: int
    instance: str
    kind: CrashKind
    run_time_s: float = 0.0

    @property
    def text(self) -> str:
        """Short description for logs."""
        return f"run {self.run} on {self.instance}: {self.kind}"


def required_proof_s(crashes: Sequence[Crash]) -> float:
    """Returns how long a task's next run has to work to clear the task.

    Half a second of work does not clear a task that crashes its instances
    after a second.
    """
    longest_s = max((crash.run_time_s for crash in crashes), default=0.0)
    return min(max(MIN_PROOF_S, PROOF_FACTOR * longest_s), MAX_PROOF_S)


def exceeds_crash_limit(
    crashes: Sequence[Crash], *, long_running: bool
) -> bool:
    """Whether a task is given up because of crashes during its runs.

    Args:
        crashes: crashes of instances during its runs.
        long_running: whether the task runs until its job is cancelled.
    """
    extra = EXTRA_CRASHES_LONG_RUNNING if long_running else 0
    kinds = [crash.kind for crash in crashes]
    certain = len(kinds) - kinds.count(CrashKind.UNCERTAIN)
    # A run that worked shows that no earlier run crashed its instance by
    # starting there.
    latest = kinds[_last_worked_index(kinds) + 1 :]
    alone = latest.count(CrashKind.SOLE_NEW_RUN)
    new = alone + latest.count(CrashKind.NEW_RUN)
    return (
        (alone > 0 and new >= MAX_SOLE_CAUSE_CRASHES + extra)
        or new >= MAX_NEW_RUN_CRASHES + extra
        or certain >= MAX_CERTAIN_CRASHES + extra
        or (not long_running and len(kinds) >= MAX_CRASHES)
    )


def _last_worked_index(kinds: Sequence[CrashKind]) -> int:
    """Returns the index of the last run that had worked; -1 for none."""
    worked = [
        at for at, kind in enumerate(kinds) if kind is CrashKind.PROVEN_RUN
    ]
    return max(worked, default=-1)


def remaining_crashes(
    crashes: Sequence[Crash], run_time_s: float, *, long_running: bool
) -> list[Crash]:
    """Returns the crashes that still count against a task.

    Args:
        crashes: crashes of instances during its runs.
        run_time_s: for how long its current run has worked.
        long_running: whether the task runs until its job is cancelled.
    """
    if run_time_s < MAX_PROOF_S:
        return list(crashes)
    if long_running or run_time_s >= FULLY_CLEARED_S:
        return []
    return [crash for crash in crashes if crash.kind is CrashKind.PROVEN_RUN]


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Whether a task has to run in isolation after its last crash."""
    if not crashes:
        return False
    return crashes[-1].kind is not CrashKind.PROVEN_RUN or len(crashes) > 1
