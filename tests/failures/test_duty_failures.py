"""Failures around duties, each told first as a story."""

import collections
import functools

import pytest

from standins import measure_duties
from tests.common import controllers
from vanillaswitch import errors
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duties
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.internal import registry
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows


def write(
    group: controllers.ControllerGroup, name: str, duty: str, token: str
) -> platform.CommitOutcome:
    check = group.members[name].fences[duty].check
    put = platform.Put(f"work/{token}", platform.ABSENT, {"by": name})
    return group.tables[name].commit(
        platform.Transaction(token, (put,), (check,))
    )


def holder(group: controllers.ControllerGroup, duty: str) -> str:
    found = group.table.read([keys.duty(duty)])
    assert isinstance(found, platform.Rows)
    return rows.load(rows.Duty, found.rows[0].value).holder


def test_a_holder_paused_in_the_middle_of_a_write_writes_nothing() -> None:
    """An instance is drained twice: by a controller and by its successor.

    Controller a is paused just before its write leaves. Its lease lapses, b
    takes the duty over and works. Then a wakes up and its write goes out.
    """
    group = controllers.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.tables["a"].before_commit = lambda: group.tick_rounds(8, "b")
    outcome = write(group, "a", duty, "late")
    assert isinstance(outcome, platform.Conflict)
    assert group.duty_counts()["b"] == 4
    assert not group.members["a"].leased


def test_a_renewal_that_was_answered_late_grants_nothing() -> None:
    """Two controllers work on one wave although each has a lease.

    The renewal waits on its way for longer than the term. The holder must
    count from before it sent it, for the watchers have counted on.
    """
    group = controllers.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    late = group.members["a"]
    group.tables["a"].before_commit = functools.partial(
        group.clock.advance, 2 * controllers.TERM
    )
    late.tick()
    assert not late.leased


def test_a_delayed_write_has_no_effect_under_the_next_epoch() -> None:
    """A decision that was long revised comes back and undoes the new one.

    The table answers nothing and applies the write much later. Meanwhile the
    holder has died and its duty has a new holder.
    """
    group = controllers.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.faults.delay_effect = 1
    write(group, "a", duty, "delayed")
    group.tick_rounds(8, "b")
    group.faults.release_delayed()
    assert group.table.read(["work/delayed"]) == platform.Rows(())


def test_a_lost_answer_of_a_take_leaves_one_holder() -> None:
    """A wave stands still: its duty has a holder that doesn't know of it.

    The write that takes the duties takes effect, its answer is lost. The
    token in the rows tells the taker that it did.
    """
    group = controllers.ControllerGroup("ab", duties=10)
    group.tick_rounds(1)
    group.faults.lose_answers = 5
    group.tick_rounds(3)
    assert sum(group.duty_counts().values()) == 10
    for name, member in group.members.items():
        assert all(holder(group, duty) == name for duty in member.fences)


def test_an_outage_of_an_hour_moves_no_duty() -> None:
    """After an outage every wave pauses while all duties change hands.

    Nobody could renew for an hour, so that all sessions look dead to the
    controller that reads first. All leases lapse; nothing may be written.
    """
    group = controllers.ControllerGroup("abc", duties=9)
    group.tick_rounds(4)
    group.tick_rounds(1, "a")
    before = {name: m.fences for name, m in group.members.items()}
    group.faults.down = True
    for _ in range(60):
        group.tick_rounds(1)
        group.clock.advance(59)
    assert not any(member.leased for member in group.members.values())
    group.faults.down = False
    group.tick_rounds(8)
    assert {n: m.fences for n, m in group.members.items()} == before
    assert all(member.leased for member in group.members.values())


def test_duties_go_on_when_all_controllers_are_replaced_at_once() -> None:
    """Maintenance stops for good after a roll-out of the system itself.

    Every controller is killed and started anew in one moment, under the same
    names; the rows still name the old starts.
    """
    group = controllers.ControllerGroup("abc", duties=9)
    group.tick_rounds(4)
    for name in "abc":
        group.start(name)
    group.tick_rounds(1)
    assert group.duty_counts() == {"a": 0, "b": 0, "c": 0}
    group.tick_rounds(8)
    assert group.duty_counts() == {"a": 3, "b": 3, "c": 3}
    newer = [f.epoch for m in group.members.values() for f in m.fences.values()]
    assert min(newer) > 1


def test_of_two_that_think_they_hold_a_duty_one_writes() -> None:
    """Two controllers reboot two racks of one service at the same time.

    Controller a cannot reach anything for a while and still has its fence;
    b rightly took over. Both write.
    """
    group = controllers.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.tick_rounds(8, "b")
    assert duty in group.members["a"].fences
    assert duty in group.members["b"].fences
    assert isinstance(write(group, "b", duty, "b"), platform.Committed)
    assert isinstance(write(group, "a", duty, "a"), platform.Conflict)


def test_a_joining_controller_gets_its_share_without_a_gap() -> None:
    """A new controller idles, or duties rest a whole term while they move.

    The old holders hand duties over directly; no duty is ever without a
    living holder.
    """
    group = controllers.ControllerGroup("ab", duties=9)
    group.tick_rounds(4)
    group.start("c")
    for _ in range(4):
        group.tick_rounds(1)
        assert group.table.scan(keys.DUTIES) != platform.Rows(())
        for duty in duty_names.of_config(group.config):
            assert holder(group, duty) in group.members
    assert group.duty_counts() == {"a": 3, "b": 3, "c": 3}


def test_operators_and_controllers_race_and_no_duty_is_lost() -> None:
    """A wave that an operator has just declared is never begun.

    The operator adds and removes waves between any two ticks, so that
    controllers decide by different configurations.
    """
    group = controllers.ControllerGroup("abc", duties=6)
    for count in (9, 4, 12, 7):
        group.config = controllers.config_with_duties(count)
        group.tick_rounds(1, "a")
        group.config = controllers.config_with_duties(count + 1)
        group.tick_rounds(1, "cb")
    group.tick_rounds(4)
    held = [duty for m in group.members.values() for duty in m.fences]
    assert collections.Counter(held).most_common(1)[0][1] == 1
    assert len(held) == 8


def test_a_stopped_controller_hands_everything_over_at_once() -> None:
    """Each planned restart of a controller halts its waves for seconds."""
    group = controllers.ControllerGroup("ab", duties=6)
    group.tick_rounds(4)
    group.members.pop("a").resign()
    group.tick_rounds(1)
    assert group.duty_counts() == {"b": 6}


def test_a_failing_duty_stops_neither_the_others_nor_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """One broken wave brings all maintenance to a halt.

    The step of one duty raises each time it runs.
    """
    kinds: registry.Registry[controller.Step] = registry.Registry("duty")
    monkeypatch.setattr(controller, "STEPS", kinds)
    steps: list[str] = []

    @kinds.register("wave")
    def record(_: controller.Context, name: str, __: duties.Fence) -> None:
        steps.append(name)
        if name == "wave/w0":
            raise ValueError("this duty always fails")

    group = controllers.ControllerGroup("a", duties=5)
    group.tick_rounds(3)
    member = group.members["a"]
    for name in member.fences:
        member.step(name)
    assert steps == ["wave/w0", "wave/w1", "wave/w2"]
    assert member.counters["step-failed"] == 1
    assert member.leased


def test_keepalives_go_on_for_held_duties_while_the_table_is_away(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An outage of the table ends every running task within a lease.

    The session lease lapses, so that steps stop; what keeps tasks alive must
    go on, and end once the duty has another holder.
    """
    called: list[str] = []
    for name in ("STEPS", "KEEPALIVES"):
        kinds: registry.Registry[controller.Step] = registry.Registry("duty")
        kinds.register("repair")(lambda *_, name=name: called.append(name))  # type: ignore[misc]
        monkeypatch.setattr(controller, name, kinds)
    group = controllers.ControllerGroup("a", duties=2)
    group.tick_rounds(3)
    group.members["a"].step("repair")
    group.faults.down = True
    group.tick_rounds(6)
    group.members["a"].step("repair")
    assert called == ["STEPS", "KEEPALIVES"]
    group.faults.down = False
    group.start("b")
    group.tick_rounds(8, "b")
    group.members["a"].tick()
    group.members["a"].step("repair")
    assert called == ["STEPS", "KEEPALIVES"]


def test_a_broken_invariant_in_a_step_ends_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A controller that found the rows contradict each other goes on.

    Any other error of a step is counted and the step tried again.
    """
    kinds: registry.Registry[controller.Step] = registry.Registry("duty")
    monkeypatch.setattr(controller, "STEPS", kinds)

    @kinds.register("repair")
    def fail(*_: object) -> None:
        raise errors.InvariantError("an instance is in two pools")

    with pytest.raises(errors.InvariantError):
        controllers.ControllerGroup("a", duties=2).members["a"].run()


def test_a_running_controller_steps_its_duties_and_stops_cleanly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A planned stop leaves duties with a controller that is gone.

    It is asked to stop in the middle of a step.
    """
    kinds: registry.Registry[controller.Step] = registry.Registry("duty")
    monkeypatch.setattr(controller, "STEPS", kinds)
    group = controllers.ControllerGroup("ab", duties=2)
    group.tick_rounds(4)
    stepped: list[str] = []

    @kinds.register("repair")
    @kinds.register("claim-expiry")
    def step(_: controller.Context, name: str, __: duties.Fence) -> None:
        stepped.append(name)
        if len(stepped) == 3:
            group.members["a"].stop()

    group.members["a"].run()
    assert len(stepped) == 3
    group.tick_rounds(1, "b")
    assert group.duty_counts() == {"a": 0, "b": 2}
    found = group.table.scan(keys.SESSIONS)
    assert isinstance(found, platform.Rows)
    assert [row.key for row in found.rows] == [keys.session("b")]


@pytest.mark.parametrize("count", [10, 200])
def test_takes_are_grouped_in_few_transactions(count: int) -> None:
    """The table is overrun when many duties change hands at once."""
    measured = measure_duties.measure(controllers=8, duties=count)
    assert measured.transactions_to_settle <= 8 * 2 + 8 * 6
    assert measured.seconds_to_take_over <= 2 * controllers.TERM
