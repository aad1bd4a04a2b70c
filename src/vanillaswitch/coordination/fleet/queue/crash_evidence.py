"""Evidence that a task crashes the instances that start it.

A crash of an instance ends all its runs, and most of them are not its cause.
Failing a job that is not the cause loses all its work. Retrying a job that is
the cause costs one more instance. So two crashes are enough to fail a job only
if one of them has no other visible cause. Weaker kinds of evidence need more
crashes.

A task that may be the cause (see ``is_suspect``) is a suspect and runs in
isolation: nothing else starts on its instance. Once a run of it has lasted for
``required_run_time_s``, the run is proven: it did not crash its instance by
starting there. If it lasts still longer, fewer or none of the earlier crashes
count against the task (see ``remaining_crashes``).
"""

from collections.abc import Iterable
from collections.abc import Sequence
import dataclasses
import enum
from typing import Any


class CrashKind(enum.StrEnum):
    """How certain it is that a run crashed its instance.

    Attributes:
        SOLE_NEW_RUN: the run had just started there and no other one had, and
            no other instance was lost at that moment without a cause of its
            own.
        NEW_RUN: the run had just started there.
        OLDER_RUN: the run had lasted for at least
            ``MIN_REQUIRED_RUN_TIME_S``, even if ``required_run_time_s`` is
            longer.
        UNCERTAIN: it is unknown whether or when the run started, or whether the
            instance crashed at all.
    """

    SOLE_NEW_RUN = "alone"
    NEW_RUN = "new"
    OLDER_RUN = "worked"
    UNCERTAIN = "unsure"


MIN_REQUIRED_RUN_TIME_S = 0.1
"""A run that its instance has reported for this long did not crash it by
starting."""

REQUIRED_PROOF_FACTOR = 2.0
"""A run is proven after this multiple of the longest time that a run of the
task lasted before its instance crashed."""

MAX_REQUIRED_RUN_TIME_S = 2.0
"""Upper limit of ``required_run_time_s``, and so of the time for which nothing
else starts beside a suspect task."""

DROP_ALL_CRASHES_AFTER_S = 10.0
"""Run time after which no earlier crash counts against a task any more.
Crashes of other kinds than ``OLDER_RUN`` stop counting after
``MAX_REQUIRED_RUN_TIME_S``, because a task that crashes its instances as it
starts does so by then."""

MAX_SOLE_CAUSE_CRASHES = 2
MAX_NEW_RUN_CRASHES = 3
MAX_CERTAIN_CRASHES = 4
MAX_CRASHES = 5
"""Number of crashes at which the job of a task fails.

The first two limits count crashes of runs that had just started, after the last
crash of kind ``OLDER_RUN``. The first one applies if one of them is of kind
``SOLE_NEW_RUN``. The third limit counts all crashes at which the task certainly
ran, and the last one also those at which it may have run. The requirements
allow at most two starts after the third crash."""

EXTRA_CRASHES_LONG_RUNNING = 1
"""The job of a long-running task fails after this many more crashes. The task
runs for minutes, so instances crash by chance while they run it, and users of
the job depend on it. Crashes of kind ``UNCERTAIN`` do not count against it."""


@dataclasses.dataclass(frozen=True)
class Crash:
    """The loss of an instance during a run of a task.

    Attributes:
        run_time_s: how long the run had lasted, by its instance's reports.
    """

    run: int
    instance: str
    kind: CrashKind
    run_time_s: float = 0.0

    @property
    def text(self) -> str:
        """Short description for logs."""
        return f"run {self.run} on {self.instance}: {self.kind}"


def required_run_time_s(crashes: Sequence[Crash]) -> float:
    """Returns how long a task's next run has to last to be proven.

    A run of half a second shows nothing about a task that crashes its instances
    after a second.
    """
    longest_s = max((crash.run_time_s for crash in crashes), default=0.0)
    return min(
        max(MIN_REQUIRED_RUN_TIME_S, REQUIRED_PROOF_FACTOR * longest_s),
        MAX_REQUIRED_RUN_TIME_S,
    )


def exceeds_crash_limit(
    crashes: Sequence[Crash], *, long_running: bool
) -> bool:
    """Whether a task's job fails because of crashes during its runs.

    Args:
        crashes: crashes of instances during its runs.
        long_running: whether the task runs until its job is cancelled.
    """
    extra = EXTRA_CRASHES_LONG_RUNNING if long_running else 0
    kinds = [crash.kind for crash in crashes]
    certain = len(kinds) - kinds.count(CrashKind.UNCERTAIN)
    # A run that lasted shows that no earlier run crashed its instance by
    # starting there.
    since_proven = kinds[_last_proven_index(kinds) + 1 :]
    sole = since_proven.count(CrashKind.SOLE_NEW_RUN)
    new = sole + since_proven.count(CrashKind.NEW_RUN)
    return (
        (sole > 0 and new >= MAX_SOLE_CAUSE_CRASHES + extra)
        or new >= MAX_NEW_RUN_CRASHES + extra
        or certain >= MAX_CERTAIN_CRASHES + extra
        or (not long_running and len(kinds) >= MAX_CRASHES)
    )


def _last_proven_index(kinds: Sequence[CrashKind]) -> int:
    """Returns the index of the last ``OLDER_RUN``; -1 for none."""
    proven = [
        index for index, kind in enumerate(kinds) if kind is CrashKind.OLDER_RUN
    ]
    return max(proven, default=-1)


def remaining_crashes(
    crashes: Sequence[Crash], run_time_s: float, *, long_running: bool
) -> list[Crash]:
    """Returns the crashes that still count against a task.

    Args:
        crashes: crashes of instances during its runs.
        run_time_s: how long its current run has lasted.
        long_running: whether the task runs until its job is cancelled.
    """
    if run_time_s < MAX_REQUIRED_RUN_TIME_S:
        return list(crashes)
    if long_running or run_time_s >= DROP_ALL_CRASHES_AFTER_S:
        return []
    return [crash for crash in crashes if crash.kind is CrashKind.OLDER_RUN]


def is_suspect(crashes: Sequence[Crash]) -> bool:
    """Whether a task has to run in isolation after these crashes."""
    if not crashes:
        return False
    return crashes[-1].kind is not CrashKind.OLDER_RUN or len(crashes) > 1


def encode_crashes(
    crashes: Iterable[Crash],
) -> list[list[Any]]:
    """Returns crashes as rows of a job's document."""
    return [
        [crash.run, crash.instance, crash.kind, round(crash.run_time_s, 2)]
        for crash in crashes
    ]


def decode_crashes(
    rows: Iterable[Sequence[Any]],
) -> tuple[Crash, ...]:
    """Returns the crashes from rows that ``encode_crashes`` returned."""
    return tuple(
        Crash(run, instance, CrashKind(kind), float(run_time_s))
        for run, instance, kind, run_time_s in rows
    )
