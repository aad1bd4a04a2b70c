"""Progress over the occurrences of a job, compared with plain sets."""

import hypothesis
from hypothesis import stateful
from hypothesis import strategies as st
import pytest

from tests.common import fleet_builders
from vanillaswitch.coordination.fleet.queue import occurrences
from vanillaswitch.protocol import jobs

_COUNT = 12
_STEPS = 3


class _Occurrences(stateful.RuleBasedStateMachine):
    """Opens occurrences and completes their steps in any order."""

    def __init__(self):
        super().__init__()
        self.progress = occurrences.Occurrences(_COUNT, _STEPS)
        self.done = set()
        self.open = set()

    @stateful.rule()
    def open_next(self):
        following = self.progress.next_unopened
        if following is not None:
            assert self.progress.open_next() == following
            self.open.add(following)

    @stateful.rule(occurrence=st.integers(0, _COUNT - 1))
    def open_any(self, occurrence):
        if all((occurrence, step) in self.done for step in range(_STEPS)):
            with pytest.raises(ValueError, match="is done or unknown"):
                self.progress.open_at(occurrence)
        else:
            self.progress.open_at(occurrence)
            self.open.add(occurrence)

    @stateful.precondition(lambda self: self.open)
    @stateful.rule(data=st.data(), step=st.integers(0, _STEPS - 1))
    def complete(self, data, step):
        occurrence = data.draw(st.sampled_from(sorted(self.open)))
        self.progress.complete_step(occurrence, step)
        self.done.add((occurrence, step))
        if all((occurrence, other) in self.done for other in range(_STEPS)):
            self.open.remove(occurrence)

    @stateful.rule(shuffler=st.randoms())
    def restore(self, shuffler):
        ranges = self.progress.done_ranges()
        shuffler.shuffle(ranges)
        self.progress = occurrences.Occurrences(_COUNT, _STEPS)
        self.progress.restore(ranges)
        self.open.clear()

    @stateful.invariant()
    def agrees_with_sets(self):
        progress = self.progress
        every = range(_COUNT)
        assert list(progress.done_steps()) == sorted(self.done)
        assert progress.done_count == len(self.done)
        assert set(progress.open) == self.open
        assert progress.is_finished == (len(self.done) == _COUNT * _STEPS)
        for occurrence in every:
            for step in range(_STEPS):
                expected = (occurrence, step) in self.done
                assert progress.is_step_done(occurrence, step) == expected
        unopened = [
            occurrence
            for occurrence in every
            if occurrence not in self.open
            and any(
                (occurrence, step) not in self.done for step in range(_STEPS)
            )
        ]
        assert progress.next_unopened == min(unopened, default=None)
        for stop in (0, 5, _COUNT):
            below = sum(occurrence < stop for occurrence in unopened)
            assert progress.count_unopened(stop) == below
        assert len(progress.done_ranges()) <= progress.max_done_ranges


TestOccurrences = _Occurrences.TestCase


@pytest.mark.parametrize(
    "row",
    [(0, 0, 5), (0, 3, 2), (0, -1, 1), (1, 0, 0), (0, 0.0, 1), (0, "", 1)],
)
def test_progress_of_steps_that_do_not_exist_is_rejected(row):
    with pytest.raises((ValueError, TypeError)):
        occurrences.Occurrences(5, 1).restore([row])


@hypothesis.given(
    st.integers(1, 50),
    st.one_of(st.integers(0, 5000), st.floats(0, 5000)),
    st.one_of(st.integers(0, 300), st.floats(0, 300)),
    st.one_of(st.integers(0, 20_000), st.floats(0, 20_000)),
)
def test_the_number_of_due_occurrences_is_that_of_due_times(
    count, first_ms, interval_ms, wall_ms
):
    job = fleet_builders.job(
        repeat_count=count, first_run_ms=first_ms, interval_ms=interval_ms
    )
    due = sum(job.due_ms(number) <= wall_ms for number in range(count))
    assert job.due_count(wall_ms) == due
    assert job.due_count(float("inf")) == count


def test_due_times_without_an_interval_are_due_together():
    job = fleet_builders.job(repeat_count=10**15, first_run_ms=5)
    assert job.due_count(4.0) == 0
    assert job.due_count(5.0) == 10**15


def test_a_job_without_a_schedule_is_due_at_once():
    assert fleet_builders.job(steps=(jobs.Step(count=1),)).due_count(0.0) == 1
