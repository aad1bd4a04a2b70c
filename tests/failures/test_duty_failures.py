"""Tests of duties under failures of controllers and of the table."""

import collections
import functools

import pytest

from standins import measure_duties
from tests.common import controller_group
from vanillaswitch import errors
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.internal import registry
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows


def write_under_duty(
    group: controller_group.ControllerGroup, name: str, duty: str, token: str
) -> platform.CommitOutcome:
    check = group.members[name].fences[duty].check
    put = platform.Put(f"work/{token}", platform.ABSENT, {"by": name})
    return group.tables[name].commit(
        platform.Transaction(token, (put,), (check,))
    )


def holder_of(group: controller_group.ControllerGroup, duty: str) -> str:
    found = group.table.read([keys.duty(duty)])
    assert isinstance(found, platform.Rows)
    return rows.load(rows.Duty, found.rows[0].value).holder


def test_a_write_delayed_past_the_lease_conflicts() -> None:
    """Guards against a drain by both a controller and its successor.

    Controller a is paused just before it sends a write. Its lease expires and
    b takes the duty over. Then a resumes and sends the write.
    """
    group = controller_group.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.tables["a"].before_commit = lambda: group.tick_rounds(8, "b")
    outcome = write_under_duty(group, "a", duty, "late")
    assert isinstance(outcome, platform.Conflict)
    assert group.duty_counts()["b"] == 4
    assert not group.members["a"].has_lease


def test_a_late_answer_to_a_renewal_grants_no_lease() -> None:
    """Guards against two controllers that work on one wave, both leased.

    A renewal takes longer than the lease term. The holder must measure the
    term from before it sent the renewal, because the watchers go on counting.
    """
    group = controller_group.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    late = group.members["a"]
    group.tables["a"].before_commit = functools.partial(
        group.clock.advance, 2 * controller_group.TERM
    )
    late.tick()
    assert not late.has_lease


def test_a_write_that_takes_effect_in_the_next_epoch_is_rejected() -> None:
    """Guards against an outdated write that overwrites newer decisions.

    The table does not answer, and applies the write much later. By then the
    holder has died and its duty has a new holder.
    """
    group = controller_group.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.faults.delay_effect = 1
    write_under_duty(group, "a", duty, "delayed")
    group.tick_rounds(8, "b")
    group.faults.release_delayed()
    assert group.table.read(["work/delayed"]) == platform.Rows(())


def test_a_lost_answer_to_a_take_over_leaves_one_holder() -> None:
    """Guards against a duty whose holder doesn't know that it holds it.

    The write that takes the duties is applied, but its answer is lost. The
    transaction token in the rows shows the controller that it was applied.
    """
    group = controller_group.ControllerGroup("ab", duties=10)
    group.tick_rounds(1)
    group.faults.lose_answers = 5
    group.tick_rounds(3)
    assert sum(group.duty_counts().values()) == 10
    for name, member in group.members.items():
        assert all(holder_of(group, duty) == name for duty in member.fences)


def test_an_outage_of_an_hour_moves_no_duty() -> None:
    """Guards against moving all duties after an outage of the table.

    No controller can renew for an hour, so all leases expire and all sessions
    look dead to the first controller that reads them again.
    """
    group = controller_group.ControllerGroup("abc", duties=9)
    group.tick_rounds(4)
    group.tick_rounds(1, "a")
    before = {name: m.fences for name, m in group.members.items()}
    group.faults.down = True
    for _ in range(60):
        group.tick_rounds(1)
        group.clock.advance(59)
    assert not any(member.has_lease for member in group.members.values())
    group.faults.down = False
    group.tick_rounds(8)
    assert {n: m.fences for n, m in group.members.items()} == before
    assert all(member.has_lease for member in group.members.values())


def test_duties_find_holders_after_all_controllers_restart_at_once() -> None:
    """Guards against duties without a holder after a roll-out.

    All controllers are killed and restarted at once under the same names. The
    rows still name the boot ids of their earlier starts.
    """
    group = controller_group.ControllerGroup("abc", duties=9)
    group.tick_rounds(4)
    for name in "abc":
        group.start(name)
    group.tick_rounds(1)
    assert group.duty_counts() == {"a": 0, "b": 0, "c": 0}
    group.tick_rounds(8)
    assert group.duty_counts() == {"a": 3, "b": 3, "c": 3}
    newer = [f.epoch for m in group.members.values() for f in m.fences.values()]
    assert min(newer) > 1


def test_of_two_controllers_with_a_fence_only_the_holder_can_write() -> None:
    """Guards against two controllers that reboot two racks of one service.

    Controller a is cut off for a while and keeps its fence. Controller b takes
    the duty over. Then both write.
    """
    group = controller_group.ControllerGroup("ab", duties=4)
    group.tick_rounds(4)
    duty = next(iter(group.members["a"].fences))
    group.tick_rounds(8, "b")
    assert duty in group.members["a"].fences
    assert duty in group.members["b"].fences
    assert isinstance(
        write_under_duty(group, "b", duty, "b"), platform.Committed
    )
    assert isinstance(
        write_under_duty(group, "a", duty, "a"), platform.Conflict
    )


def test_a_new_controller_gets_its_share_without_a_gap() -> None:
    """Guards against an idle new controller, and pauses of duties that move.

    The holders hand duties over directly, so that each duty has a live holder
    at all times.
    """
    group = controller_group.ControllerGroup("ab", duties=9)
    group.tick_rounds(4)
    group.start("c")
    for _ in range(4):
        group.tick_rounds(1)
        assert group.table.scan(keys.DUTIES) != platform.Rows(())
        for duty in duty_names.of_config(group.config):
            assert holder_of(group, duty) in group.members
    assert group.duty_counts() == {"a": 3, "b": 3, "c": 3}


def test_no_duty_is_lost_while_operators_change_the_configuration() -> None:
    """Guards against a newly configured wave that gets no holder.

    An operator adds and removes waves between ticks, so that the controllers
    decide on different configurations.
    """
    group = controller_group.ControllerGroup("abc", duties=6)
    for count in (9, 4, 12, 7):
        group.config = controller_group.config_with_duties(count)
        group.tick_rounds(1, "a")
        group.config = controller_group.config_with_duties(count + 1)
        group.tick_rounds(1, "cb")
    group.tick_rounds(4)
    held = [duty for m in group.members.values() for duty in m.fences]
    assert collections.Counter(held).most_common(1)[0][1] == 1
    assert len(held) == 8


def test_a_stopping_controller_hands_all_duties_over_at_once() -> None:
    """Guards against waves that halt for a term at each planned restart."""
    group = controller_group.ControllerGroup("ab", duties=6)
    group.tick_rounds(4)
    group.members.pop("a").resign()
    group.tick_rounds(1)
    assert group.duty_counts() == {"b": 6}


def test_a_failing_duty_affects_neither_the_others_nor_the_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against one failing wave that halts all maintenance.

    The step of one duty raises an exception each time it runs.
    """
    kinds: registry.Registry[controller.DutyStep] = registry.Registry("duty")
    monkeypatch.setattr(controller, "DUTY_STEPS", kinds)
    steps: list[str] = []

    @kinds.register("wave")
    def record(
        _: controller.DutyContext, name: str, __: duty_assignment.Fence
    ) -> None:
        steps.append(name)
        if name == "wave/w0":
            raise ValueError("this duty always fails")

    group = controller_group.ControllerGroup("a", duties=5)
    group.tick_rounds(3)
    member = group.members["a"]
    for name in member.fences:
        member.step(name)
    assert steps == ["wave/w0", "wave/w1", "wave/w2"]
    assert member.counters["step-failed"] == 1
    assert member.has_lease


def test_keepalives_run_for_held_duties_during_a_table_outage(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against the end of all running tasks in a table outage.

    The session lease expires, so steps stop. The keepalive must continue, and
    stop once the duty has another holder.
    """
    called: list[str] = []
    for name in ("DUTY_STEPS", "DUTY_KEEPALIVES"):
        kinds: registry.Registry[controller.DutyStep] = registry.Registry(
            "duty"
        )
        kinds.register("repair")(lambda *_, name=name: called.append(name))  # type: ignore[misc]
        monkeypatch.setattr(controller, name, kinds)
    group = controller_group.ControllerGroup("a", duties=2)
    group.tick_rounds(3)
    group.members["a"].step("repair")
    group.faults.down = True
    group.tick_rounds(6)
    group.members["a"].step("repair")
    assert called == ["DUTY_STEPS", "DUTY_KEEPALIVES"]
    group.faults.down = False
    group.start("b")
    group.tick_rounds(8, "b")
    group.members["a"].tick()
    group.members["a"].step("repair")
    assert called == ["DUTY_STEPS", "DUTY_KEEPALIVES"]


def test_a_broken_invariant_in_a_step_ends_the_process(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against a controller that continues with contradictory rows.

    Any other error of a step is only counted, and the step is tried again.
    """
    kinds: registry.Registry[controller.DutyStep] = registry.Registry("duty")
    monkeypatch.setattr(controller, "DUTY_STEPS", kinds)

    @kinds.register("repair")
    def fail(*_: object) -> None:
        raise errors.InvariantError("an instance is in two pools")

    with pytest.raises(errors.InvariantError):
        controller_group.ControllerGroup("a", duties=2).members["a"].run()


def test_a_running_controller_steps_its_duties_and_stops_cleanly(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against duties left with a controller that stopped as planned.

    The controller is asked to stop in the middle of a step.
    """
    kinds: registry.Registry[controller.DutyStep] = registry.Registry("duty")
    monkeypatch.setattr(controller, "DUTY_STEPS", kinds)
    group = controller_group.ControllerGroup("ab", duties=2)
    group.tick_rounds(4)
    stepped: list[str] = []

    @kinds.register("repair")
    @kinds.register("claim-expiry")
    def step(
        _: controller.DutyContext, name: str, __: duty_assignment.Fence
    ) -> None:
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
def test_take_overs_need_few_transactions(count: int) -> None:
    """Guards against overload of the table when many duties move at once."""
    measured = measure_duties.measure(controllers=8, duties=count)
    assert measured.transactions_to_settle <= 8 * 2 + 8 * 6
    assert measured.seconds_to_take_over <= 2 * controller_group.TERM
