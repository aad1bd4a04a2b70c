"""Configurations survive races of operators, lost answers and outages."""

import dataclasses
import functools

import greenlet
import hypothesis
from hypothesis import example
from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.common import config_platform
from tests.common import properties
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform as platform_module
from vanillaswitch.state import canonical


@pytest.fixture
def store():
    return config_platform.ConfigPlatform()


def test_the_loser_of_a_race_gets_a_conflict_with_the_other_changes(store):
    """Guards against a change that silently undoes another operator's.

    Both operators start from number 1, and Bia applies first. Ana's folder
    lacks Bia's change, so Ana's apply must be refused.
    """
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    assert (
        store.apply(config_platform.config_with_cores(2), 1, "bia").number == 2
    )
    outcome = store.apply(config_platform.config_with_cores(3), 1, "ana")
    assert outcome == rollout.Conflict(1, 2, ("teams.ledger.cores",))


def test_a_conflict_says_when_the_bodies_cannot_be_compared(store):
    """Guards against a conflict that lists no changes although there are some.

    The object store goes down after the race, so the two bodies can't be
    compared. An empty list of changes would be wrong.
    """
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    store.apply(config_platform.config_with_cores(2), 1, "bia")
    store.objects.faults.down = True
    outcome = store.apply(config_platform.config_with_cores(3), 1)
    assert outcome.changes == (rollout.UNREADABLE_CHANGES,)


@pytest.mark.parametrize("followers", [1, rollout.MAX_RECENT + 1])
def test_a_lost_answer_is_found_after_other_operators_have_followed(
    store, followers
):
    """Guards against "nothing was applied" for a change that was applied.

    Ana's write takes effect and its answer is lost. Before the retry, others
    apply theirs on top of it, and the head's row shows their tokens. After
    too many of them the head no longer records Ana's write, and the outcome
    must be reported as unknown.
    """
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)

    class OvertakenTable:
        read = store.table.read

        def commit(self, transaction):
            store.table.commit(transaction)
            for number in range(2, 2 + followers):
                store.apply(
                    config_platform.config_with_cores(number + 1), number, "bia"
                )
            return platform_module.OutcomeUnknown("the answer was lost")

    outcome = store.apply(
        config_platform.config_with_cores(2), 1, "ana", table=OvertakenTable()
    )
    if followers == 1:
        assert (outcome.number, outcome.newest_number) == (2, 3)
    else:
        assert isinstance(outcome, rollout.Undecided)


def test_an_outcome_that_stays_unknown_is_not_reported_as_unavailable(store):
    """Guards against "nothing was applied" for a change that applies later.

    The write is delayed in the network, and retries fail until the operator's
    command gives up. Then the delayed copy takes effect.
    """
    store.faults.delay_effect = 100
    outcome = store.apply(
        config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER
    )
    assert isinstance(outcome, rollout.Undecided)
    store.faults.release_delayed()
    view, task = store.new_process()
    task.poll()
    assert view.config == config_platform.config_with_cores(1)
    assert (
        store.apply(
            config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER
        ).number
        == 1
    )


def test_peers_get_an_accepted_configuration_while_the_table_is_down(store):
    """Guards against entries that keep old quotes throughout an outage.

    A configuration is accepted, one process polls it, and the table goes down
    before the others have polled. The first process passes it on.
    """
    sent = []
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    view, task = store.new_process(sent.append)
    other_view, other = store.new_process()
    task.poll()
    store.faults.down = True
    other.poll()
    assert other_view.config is None

    def to_task(message):
        task.on_message(None, message, to_other)

    def to_other(message):
        other.on_message(None, message, to_task)

    to_other(sent[-1])
    assert (
        other_view.config == view.config == config_platform.config_with_cores(1)
    )
    assert other_view.wait_beyond(0, timeout_s=0)


def test_a_heartbeat_replaces_an_offer_that_was_lost(store):
    """Guards against an entry that stays on the old configuration.

    The table is down and the offer to one peer is lost. The next heartbeat
    from either side shows that the versions differ.
    """
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    _, task = store.new_process()
    task.poll()
    beat = peers.Heartbeat(
        "p", "b", peers.Role.ENTRY, "127.0.0.1:1", "d", 1, 0, 0, False, {}
    )
    replies = []
    task.on_message(None, beat, replies.append)
    ahead = dataclasses.replace(beat, config_version=2)
    task.on_message(None, ahead, replies.append)
    digest = config_platform.body_message(
        1, config_platform.config_with_cores(1)
    ).digest
    assert replies == [peers.ConfigOffer(1, digest), peers.ConfigRequest(2)]


def test_the_body_comes_from_peers_while_only_the_object_store_is_down(store):
    """Guards against entries that can't fetch a change they know about.

    The head can be read, but the object store is down. The process requests
    the body from its peers instead.
    """
    sent = []
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    store.objects.faults.down = True
    view, task = store.new_process(sent.append)
    task.poll()
    assert peers.ConfigRequest(1) in sent
    task.on_message(
        None,
        config_platform.body_message(1, config_platform.config_with_cores(1)),
        sent.append,
    )
    assert view.number == 1


def test_a_late_older_body_never_reverts_a_process(store):
    """Guards against old prices that come into force again for a few seconds.

    A peer that was partitioned sends the body of an older number after the
    process has applied a newer one.
    """
    store.apply(config_platform.config_with_cores(1), rollout.NO_CONFIG_NUMBER)
    store.apply(config_platform.config_with_cores(2), 1)
    view, task = store.new_process()
    task.poll()
    task.on_message(
        None,
        config_platform.body_message(1, config_platform.config_with_cores(1)),
        config_platform.ignore_message,
    )
    assert (view.number, view.config) == (
        2,
        config_platform.config_with_cores(2),
    )
    assert task.counters.late == 1


def test_a_damaged_or_unreadable_body_changes_nothing(store):
    """Guards against an entry that stops or loses a service by a bad message.

    A body is truncated in transit, or comes from a newer program whose format
    this one can't read.
    """
    view, task = store.new_process()
    body = config_platform.body_message(1, config_platform.config_with_cores(1))
    truncated = dataclasses.replace(body, body=body.body[:-1])
    unreadable_body = peers.ConfigBody(1, canonical.digest(b"[]"), b"[]")
    for message in (truncated, unreadable_body):
        task.on_message(None, message, config_platform.ignore_message)
    counters = task.counters
    assert (counters.damaged, counters.unreadable) == (1, 1)
    assert view.config is None


FAULT_SWITCHES = st.sampled_from(
    ["", "lose_answers", "drop_calls", "delay_effect", "down"]
)
TURNS = st.tuples(st.integers(0, 3), st.integers(1, 5))
"""Which operator continues, and how many calls it may make."""


@hypothesis.settings(properties.steady, max_examples=100)
@given(
    st.lists(TURNS, max_size=30),
    st.lists(FAULT_SWITCHES, max_size=12),
    st.integers(2, 4),
)
@example([(0, 3), (1, 4), (0, 1)], ["lose_answers"], 2)
@example([(0, 5), (1, 5)], ["", "delay_effect"], 2)
def test_numbers_never_decrease_and_accepted_configurations_are_never_lost(
    turns, fault_switches, operators
):
    """Guards against an accepted change that is lost or a refused one in force.

    Several operators each apply twice. They are interrupted before every call,
    and answers are lost and calls dropped, delayed and refused in any order.
    """
    store = config_platform.ConfigPlatform()
    table = config_platform.InterleavedTable(store, fault_switches)
    outcomes = []

    def operate(author):
        for round_number in range(2):
            config = config_platform.config_with_cores(
                10 * author + round_number + 1
            )
            greenlet.getcurrent().parent.switch()
            seen = rollout.read_head(store.table).row.number
            outcome = store.apply(config, seen, str(author), table)
            outcomes.append((canonical.digest(canonical.dump(config)), outcome))

    greenlets = [
        greenlet.greenlet(functools.partial(operate, author))
        for author in range(operators)
    ]
    view, task = store.new_process()
    history = {}
    number = 0

    def observe():
        nonlocal number
        head = rollout.read_head(store.table).row
        assert head.number >= number
        number = head.number
        for accepted in head.recent:
            known = history.setdefault(accepted.number, accepted.digest)
            assert known == accepted.digest
        before = view.number
        task.poll()
        assert view.number == max(before, head.number)

    def resume(index):
        if not greenlets[index].dead:
            greenlets[index].switch()
            observe()

    for turn, calls in turns:
        for _ in range(calls):
            resume(turn % operators)
        if turn == 3:
            store.faults.release_delayed()
            observe()
    while not all(one.dead for one in greenlets):
        for index in range(operators):
            resume(index)
    store.faults.release_delayed()
    observe()
    for digest, outcome in outcomes:
        if isinstance(outcome, rollout.Applied):
            assert history[outcome.number] == digest
        elif not isinstance(outcome, rollout.Undecided):
            assert digest not in history.values()
    assert sorted(history) == list(range(1, number + 1))
