"""Whole entries over one platform, with faults in any order."""

import gevent
import hypothesis
from hypothesis import strategies as st
import pytest

from standins import verdicts
from tests.common import deployments
from tests.common import whole_entries

ENTRIES = 3
TIMEOUT_MS = 400

_ENTRY = st.integers(0, ENTRIES - 1)
_STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("charge"), _ENTRY, st.integers(0, 2)),
        st.tuples(st.just("quote"), _ENTRY),
        st.tuples(st.just("end"), _ENTRY),
        st.tuples(
            st.just("table"),
            st.sampled_from(("down", "lose_answers", "delay_effect")),
            st.sampled_from((0, 1, 3)),
        ),
        st.tuples(
            st.just("minions"),
            st.sampled_from(("silent_next", "reset_next", "cut_next")),
            st.booleans(),
        ),
        st.tuples(st.just("hold"), st.booleans()),
        st.tuples(st.just("late effects")),
        st.tuples(st.just("wait")),
    ),
    min_size=4,
    max_size=14,
)


@pytest.fixture(scope="module")
def world():
    with whole_entries.running(ENTRIES) as made:
        yield made


class _Run:
    """One order of faults, with keys of its own."""

    def __init__(self, world):
        self.world = world
        self.keys = [world.callers.new_key() for _ in range(3)]
        self.tasks = []

    def do(self, step, *given):
        match step:
            case "charge":
                entry, key = given
                self._ask(self.world.callers.charge, entry, self.keys[key])
            case "quote":
                self._ask(self.world.callers.quote, given[0])
            case "end":
                self.world.end(given[0])
                self.world.heal()
                self.world.start(given[0])
            case "table":
                setattr(self.world.faults, *given)
            case "minions":
                name, runs = given
                switch = {name: 1, "unlucky_run": runs}
                self._switch(**switch)
            case "hold":
                self._switch(hold=given[0])
            case "late effects":
                self.world.faults.release_delayed()
            case "wait":
                gevent.joinall(self.tasks, timeout=TIMEOUT_MS / 1000)

    def _ask(self, send, entry, *key):
        address = self.world.addresses[entry]
        task = gevent.spawn(send, address, *key, timeout_ms=TIMEOUT_MS)
        self.tasks.append(task)
        gevent.sleep(0)

    def _switch(self, **changes):
        for minion in self.world.minions:
            minion.switch(**changes)

    def check(self):
        """Heals all; asked again, each entry may say only what is true."""
        self.world.heal()
        deployments.results(self.tasks)
        callers = self.world.callers
        ran = self.world.counts.by_key
        for key in self.keys:
            for entry in self.world.addresses:
                told = callers.charge(entry, key)
                if f"agent/{key}" in ran:
                    assert told.result is not verdicts.Result.NOT_RUN, told
        assert callers.untrue(self.world.counts) == ()


@hypothesis.settings(max_examples=25, deadline=None, derandomize=True)
@hypothesis.given(_STEPS)
def test_a_charge_runs_at_most_once_and_all_that_is_told_is_true(world, steps):
    """A stormy night: clerks ask again and again while all around fails.

    Charges and quotes go to any entry; entries end with requests under way,
    the table loses answers, is away or late, minions run a charge and stay
    silent. No charge may run twice, and no word about one may be untrue.
    """
    run = _Run(world)
    for step in steps:
        run.do(*step)
    run.check()
