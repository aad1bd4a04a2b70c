"""Which occurrences of a job are done, open or not opened yet.

Load pattern: a job recurs every second for months, or it is submitted with a
million due times. Occurrences are opened in order, and few are open at a time.
So the others form a few ranges, and what an operation costs depends on the
number of open occurrences and ranges, not on the number of occurrences.
"""

import bisect
from collections.abc import Iterable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import dataclasses

_NONE_DONE: frozenset[int] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class _Range:
    """Occurrences in a row that are not open, with the same steps done.

    Attributes:
        first: number of the first occurrence.
        stop: number behind the last one.
        done: numbers of the steps that are done in each of them. Empty unless
            the owner that completed these steps has ended: an occurrence is not
            restored as open unless one of its tasks was started.
    """

    first: int
    stop: int
    done: frozenset[int] = _NONE_DONE


class Occurrences:
    """Progress of all occurrences of a job, by steps."""

    def __init__(self, count: int, step_count: int):
        """Creates the progress of a job of which no step is done.

        Args:
            count: number of its occurrences.
            step_count: number of steps of each occurrence.
        """
        self._count = count
        self._step_count = step_count
        self._unopened = [_Range(0, count)]
        self._open: dict[int, set[int]] = {}
        self._done_count = 0

    @property
    def open(self) -> Mapping[int, Set[int]]:
        """Open occurrences with the numbers of their steps that are done."""
        return self._open

    @property
    def next_unopened(self) -> int | None:
        """The first occurrence that is not opened yet; None for none."""
        return self._unopened[0].first if self._unopened else None

    @property
    def is_finished(self) -> bool:
        """Whether all steps of all occurrences are done."""
        return not self._open and not self._unopened

    @property
    def done_count(self) -> int:
        """Number of steps that are done, over all occurrences."""
        return self._done_count

    @property
    def max_done_ranges(self) -> int:
        """Upper bound on the length of ``done_ranges``, quick to compute."""
        gaps = len(self._open) + len(self._unopened)
        return self._step_count * (gaps + 1)

    def count_unopened(self, stop: int) -> int:
        """Returns how many occurrences below ``stop`` are not opened yet."""
        return sum(
            max(0, min(item.stop, stop) - item.first) for item in self._unopened
        )

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether a step of an occurrence is done."""
        found = self._open.get(occurrence)
        if found is not None:
            return step in found
        at = self._index(occurrence)
        if at is not None:
            return step in self._unopened[at].done
        return 0 <= occurrence < self._count

    def open_next(self) -> int:
        """Opens the first unopened occurrence and returns its number."""
        first = self._unopened[0]
        self._open[first.first] = set(first.done)
        self._replace(0, first.first)
        return first.first

    def open_at(self, occurrence: int) -> None:
        """Opens any occurrence; does nothing if it is open.

        Raises:
            ValueError: it is done or does not exist.
        """
        if occurrence in self._open:
            return
        at = self._index(occurrence)
        if at is None:
            raise ValueError(f"occurrence {occurrence} is done or unknown")
        self._open[occurrence] = set(self._unopened[at].done)
        self._replace(at, occurrence)

    def complete_step(self, occurrence: int, step: int) -> None:
        """Records that all tasks of a step of an open occurrence are done."""
        done = self._open[occurrence]
        self._done_count += step not in done
        done.add(step)
        if len(done) == self._step_count:
            del self._open[occurrence]

    def done_steps(self) -> Iterator[tuple[int, int]]:
        """Yields occurrence and number of each step that is done, in order.

        The number of these grows with the occurrences; see ``done_ranges``.
        """
        rows = (
            (occurrence, step)
            for step, first, last in self.done_ranges()
            for occurrence in range(first, last + 1)
        )
        return iter(sorted(rows))

    def done_ranges(self) -> list[list[int]]:
        """Returns the steps that are done as ranges of occurrences.

        Returns:
            Rows of step, first and last occurrence, in order.
        """
        open_ranges = (
            _Range(occurrence, occurrence + 1, frozenset(done))
            for occurrence, done in self._open.items()
        )
        gaps = sorted(
            (*self._unopened, *open_ranges), key=lambda item: item.first
        )
        rows = []
        for step in range(self._step_count):
            first = 0
            for gap in gaps:
                if step in gap.done:
                    continue
                if first < gap.first:
                    rows.append([step, first, gap.first - 1])
                first = gap.stop
            if first < self._count:
                rows.append([step, first, self._count - 1])
        return rows

    def restore(self, ranges: Iterable[Sequence[int]]) -> None:
        """Replaces the progress by one with no open occurrence.

        Args:
            ranges: the steps that are done, as rows like those of
                ``done_ranges``, in any order. They may overlap.

        Raises:
            ValueError: a row names a step or occurrence that does not exist.
        """
        changes: dict[int, list[tuple[int, int]]] = {0: [], self._count: []}
        for step, first, last in ranges:
            if not all(type(number) is int for number in (step, first, last)):
                raise ValueError(f"not a range: {step}, {first}, {last}")
            if not (
                0 <= step < self._step_count
                and 0 <= first <= last < self._count
            ):
                raise ValueError(f"no step {step} of {first} to {last}")
            changes.setdefault(first, []).append((step, 1))
            changes.setdefault(last + 1, []).append((step, -1))
        self._open = {}
        self._unopened = []
        self._done_count = 0
        covered: dict[int, int] = {}
        bounds = sorted(changes)
        for first, stop in zip(bounds, bounds[1:], strict=False):
            for step, change in changes[first]:
                covered[step] = covered.get(step, 0) + change
            done = frozenset(step for step, times in covered.items() if times)
            self._done_count += len(done) * (stop - first)
            if len(done) < self._step_count:
                self._append(_Range(first, stop, done))

    def _append(self, item: _Range) -> None:
        """Appends a range, joined with the last one if it continues that."""
        if self._unopened:
            last = self._unopened[-1]
            if last.stop == item.first and last.done == item.done:
                item = _Range(last.first, item.stop, item.done)
                self._unopened.pop()
        self._unopened.append(item)

    def _index(self, occurrence: int) -> int | None:
        """Returns the index of the range that contains an occurrence."""
        at = (
            bisect.bisect_right(
                self._unopened, occurrence, key=lambda item: item.first
            )
            - 1
        )
        if at >= 0 and occurrence < self._unopened[at].stop:
            return at
        return None

    def _replace(self, at: int, occurrence: int) -> None:
        """Takes an occurrence out of the range with an index."""
        item = self._unopened[at]
        parts = (
            dataclasses.replace(item, stop=occurrence),
            dataclasses.replace(item, first=occurrence + 1),
        )
        self._unopened[at : at + 1] = [
            part for part in parts if part.first < part.stop
        ]
