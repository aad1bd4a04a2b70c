"""What speaks for a task crashing the instances that start it.

An instance that crashes takes all its runs along, and most of them only stood
beside the cause. To give up an innocent job loses all its work; to doubt a
guilty one for longer costs one more instance. So a job is given up on two
crashes only where one of them can have no other cause that is seen, and each
weaker kind of evidence takes more of them.
"""

from collections.abc import Sequence
import dataclasses
import enum


class Kind(enum.StrEnum):
    """How sure it is that a run crashed its instance.

    Attributes:
        ALONE: nothing else had just begun there, and no other instance was
            lost at that moment without a cause of its own.
        NEW: it had just begun there.
        WORKED: it had worked there for a while.
        UNSURE: when it began, or whether it did, or whether the instance
            crashed at all, is not known.
    """

    ALONE = "alone"
    NEW = "new"
    WORKED = "worked"
    UNSURE = "unsure"


PROVEN_S = 0.1
"""A run that its instance lists for so long did not crash it by starting."""

PROOF_FACTOR = 2.0
"""A run clears its task after so many times what runs before it worked."""

MOST_PROOF_S = 2.0
"""Longest time for which nothing starts beside a suspected task."""

FORGIVEN_S = 10.0
"""A task whose run works for so long did not crash any instance before. One
that crashes them as it begins is known by ``MOST_PROOF_S``."""

MOST_ALONE = 2
MOST_NEW = 3
MOST_KNOWN = 4
MOST_CRASHES = 5
"""Crashes after which a task is given up: since a run of it last worked, with
one that it was alone under, or all as it began; over all, where it surely ran,
or may have. The users allow two starts after the third crash."""

MORE_OF_LASTING = 1
"""One that lasts is given up so many crashes later: it is there for minutes, so
instances crash under it by chance, and its job serves users of its own. What
is unsure does not count against it."""


@dataclasses.dataclass(frozen=True)
class Crash:
    """An instance was lost under a run of a task.

    Attributes:
        worked_s: for how long the instance had listed the run.
    """

    run: int
    instance: str
    kind: Kind
    worked_s: float = 0.0

    @property
    def text(self) -> str:
        """The evidence in a few words."""
        return f"run {self.run} on {self.instance}: {self.kind}"


def proof_s(crashes: Sequence[Crash]) -> float:
    """Returns how long a task's next run has to work to clear the task.

    A task that crashes its instances after a second is not cleared by half a
    second of work.
    """
    longest_s = max((crash.worked_s for crash in crashes), default=0.0)
    return min(max(PROVEN_S, PROOF_FACTOR * longest_s), MOST_PROOF_S)


def convicts(crashes: Sequence[Crash], *, lasting: bool) -> bool:
    """Whether a task is given up for crashes under its runs.

    Args:
        crashes: instances that were lost under them.
        lasting: whether it runs until its job is cancelled.
    """
    more = MORE_OF_LASTING if lasting else 0
    kinds = [crash.kind for crash in crashes]
    known = len(kinds) - kinds.count(Kind.UNSURE)
    # A run that worked shows that no earlier one crashed its instance by
    # starting there.
    latest = kinds[_last_work(kinds) + 1 :]
    alone = latest.count(Kind.ALONE)
    new = alone + latest.count(Kind.NEW)
    return (
        (alone > 0 and new >= MOST_ALONE + more)
        or new >= MOST_NEW + more
        or known >= MOST_KNOWN + more
        or (not lasting and len(kinds) >= MOST_CRASHES)
    )


def _last_work(kinds: Sequence[Kind]) -> int:
    """Returns the place of the last run that had worked; -1 for none."""
    worked = [at for at, kind in enumerate(kinds) if kind is Kind.WORKED]
    return max(worked, default=-1)


def left_after(
    crashes: Sequence[Crash], worked_s: float, *, lasting: bool
) -> list[Crash]:
    """Returns the crashes that still speak against a task.

    Args:
        crashes: instances that were lost under it.
        worked_s: for how long its run has worked now.
        lasting: whether it runs until its job is cancelled.
    """
    if worked_s < MOST_PROOF_S:
        return list(crashes)
    if lasting or worked_s >= FORGIVEN_S:
        return []
    return [crash for crash in crashes if crash.kind is Kind.WORKED]


def makes_suspect(crashes: Sequence[Crash]) -> bool:
    """Whether a task has to run apart after the last of some crashes."""
    if not crashes:
        return False
    return crashes[-1].kind is not Kind.WORKED or len(crashes) > 1
