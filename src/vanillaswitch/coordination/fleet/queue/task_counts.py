"""Counts the tasks of a step, and of all open steps of a job, by state.

Load pattern: one job has ten thousand tasks, and a plan asks for each of its
steps how many tasks wait and how many more the job's row has room for. The
counts are updated where a task changes, so an answer does not visit the tasks.
"""

import collections
from typing import NamedTuple


class Kind(NamedTuple):
    """What decides in which counts a task is.

    Attributes:
        is_waiting: whether it has no current run and is not done.
        is_done: whether it is done.
        was_started: whether a run of it was ever assigned.
        checkpoint_length: length of its newest checkpoint.
    """

    is_waiting: bool
    is_done: bool
    was_started: bool
    checkpoint_length: int


NEW = Kind(True, False, False, 0)
"""A task that waits for its first run."""


class TaskCounts:
    """Numbers of tasks by state.

    Attributes:
        total: number of tasks.
        waiting: tasks that have no current run and are not done.
        waiting_again: those of them that were started before.
        done: tasks that are done.
        started: tasks that were ever started.
        unfinished: those of them that are not done.
    """

    __slots__ = (
        "done",
        "started",
        "total",
        "unfinished",
        "waiting",
        "waiting_again",
        "_checkpoint_lengths",
        "_parent",
    )

    def __init__(self, new: int = 0, parent: "TaskCounts | None" = None):
        """Creates counts of new tasks.

        Args:
            new: how many tasks wait for their first run.
            parent: counts that include these; None if there are none.
        """
        self.total = self.waiting = 0
        self.waiting_again = self.done = self.started = self.unfinished = 0
        self._checkpoint_lengths: collections.Counter[int] = (
            collections.Counter()
        )
        self._parent = parent
        self._change(NEW, new)

    @property
    def longest_checkpoint(self) -> int:
        """Length of the longest checkpoint of unfinished tasks."""
        return max(self._checkpoint_lengths, default=0)

    def add(self, kind: Kind) -> None:
        """Counts a task."""
        self._change(kind, 1)

    def remove(self, kind: Kind) -> None:
        """Stops counting a task that was counted with the same kind."""
        self._change(kind, -1)

    def detach(self) -> None:
        """Takes these tasks out of the parent's counts for good."""
        parent, self._parent = self._parent, None
        if parent is None:
            return
        parent.total -= self.total
        parent.waiting -= self.waiting
        parent.waiting_again -= self.waiting_again
        parent.done -= self.done
        parent.started -= self.started
        parent.unfinished -= self.unfinished
        for length, count in self._checkpoint_lengths.items():
            parent._count_checkpoints(length, -count)

    def _change(self, kind: Kind, by: int) -> None:
        counts: TaskCounts | None = self
        while counts is not None:
            counts.total += by
            if kind.is_waiting:
                counts.waiting += by
            if kind.is_done:
                counts.done += by
            if kind.was_started:
                counts.started += by
                if kind.is_waiting:
                    counts.waiting_again += by
                if not kind.is_done:
                    counts.unfinished += by
                    counts._count_checkpoints(kind.checkpoint_length, by)
            counts = counts._parent

    def _count_checkpoints(self, length: int, by: int) -> None:
        lengths = self._checkpoint_lengths
        lengths[length] += by
        if not lengths[length]:
            del lengths[length]
