"""Tests that duties are shared evenly, moved rarely, and always fenced."""

from hypothesis import given
from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from tests.common import controller_group
from tests.common import fleet_harness
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.control import duty_names
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

MEMBERS = st.sets(st.sampled_from("abcdefgh"), min_size=1)


@st.composite
def duty_tables(draw: st.DrawFn) -> dict[str, duty_assignment.DutyRecord]:
    holders = draw(st.lists(st.sampled_from(["", *"abcdefgh"]), max_size=40))
    return {
        f"wave/{n}": duty_assignment.DutyRecord(
            f"wave/{n}", n + 1, rows.Duty(holder, "b", n)
        )
        for n, holder in enumerate(holders)
    }


def boot_ids(members: set[str]) -> dict[str, str]:
    return dict.fromkeys(sorted(members), "b")


@given(duty_tables(), MEMBERS)
def test_shares_differ_by_at_most_one(
    table: dict[str, duty_assignment.DutyRecord], members: set[str]
) -> None:
    assigned = list(duty_assignment.assign(table, boot_ids(members)).values())
    counts = [assigned.count(member) for member in members]
    assert sum(counts) == len(table)
    assert max(counts) - min(counts) <= 1


@given(duty_tables(), MEMBERS)
def test_a_duty_leaves_a_live_holder_only_when_its_share_is_full(
    table: dict[str, duty_assignment.DutyRecord], members: set[str]
) -> None:
    assigned = duty_assignment.assign(table, boot_ids(members))
    for member in members:
        held = {n for n, h in table.items() if h.duty.holder == member}
        if held - {n for n, holder in assigned.items() if holder == member}:
            assert list(assigned.values()).count(member) <= len(held)
            assert all(assigned[n] != member for n in table if n not in held)


@given(duty_tables(), MEMBERS)
def test_each_change_is_written_by_exactly_one_controller(
    table: dict[str, duty_assignment.DutyRecord], members: set[str]
) -> None:
    live_boot_ids = boot_ids(members)
    puts = [
        p
        for m in members
        for p in duty_assignment.pending_puts(table, live_boot_ids, m)
    ]
    assert len({put.key for put in puts}) == len(puts)
    for put in puts:
        held = table[keys.name_of(keys.DUTIES, put.key)]
        assert rows.load(rows.Duty, put.value or {}).epoch == (
            held.duty.epoch + 1
        )


class FencingMachine(stateful.RuleBasedStateMachine):
    """Interleaves ticks, pauses, restarts, lost and delayed writes."""

    def __init__(self) -> None:
        super().__init__()
        self.group = controller_group.ControllerGroup("abc", duties=4)
        self.fences: list[tuple[str, duty_assignment.Fence]] = []
        self.writes = 0
        self.epochs: dict[str, int] = {}

    @stateful.rule(name=st.sampled_from("abc"))
    def tick(self, name: str) -> None:
        """One controller renews its lease and rebalances."""
        member = self.group.members[name]
        member.tick()
        self.record_fences(member)

    def record_fences(self, member: controller.Controller) -> None:
        """Records the fences in a controller's local state."""
        self.fences += [(member.boot, f) for f in member.fences.values()]

    @stateful.rule(thirds=st.integers(1, 5))
    def time_passes(self, thirds: int) -> None:
        """All controllers are paused."""
        self.group.clock.advance(controller_group.TERM * thirds / 3)

    @stateful.rule(name=st.sampled_from("abc"))
    def replace(self, name: str) -> None:
        """A controller is killed and restarted."""
        self.group.start(name)

    @stateful.rule()
    def everyone_ticks_for_two_terms(self) -> None:
        """All controllers run for two terms."""
        self.group.tick_rounds(6)
        for member in self.group.members.values():
            self.record_fences(member)

    @stateful.rule(
        fault=st.sampled_from(["lose_answers", "drop_calls", "delay_effect"])
    )
    def fail_next(self, fault: str) -> None:
        """The next commit has this fault."""
        setattr(self.group.faults, fault, 1)

    @stateful.rule()
    def release(self) -> None:
        """Delayed writes take effect."""
        self.group.faults.release_delayed()

    @stateful.rule(down=st.booleans())
    def switch_table(self, down: bool) -> None:
        """An outage of the table starts or ends."""
        self.group.faults.down = down

    @stateful.precondition(lambda self: self.fences)
    @stateful.rule(data=st.data())
    def write_under_a_fence_of_any_age(self, data: st.DataObject) -> None:
        """A current or former holder of a duty writes."""
        holder, fence = data.draw(st.sampled_from(self.fences))
        self.writes += 1
        value = {"duty": fence.key, "epoch": fence.epoch, "holder": holder}
        put = platform.Put(f"work/{self.writes}", platform.ABSENT, value)
        self.group.table.commit(
            platform.Transaction(f"w{self.writes}", (put,), (fence.check,))
        )

    @stateful.invariant()
    def writes_take_effect_in_the_order_of_epochs(self) -> None:
        """Epochs of writes never decrease, and each has one writer."""
        if self.group.faults.down:
            return
        found = self.group.table.scan("work/")
        assert isinstance(found, platform.Rows)
        last: dict[str, tuple[int, str]] = {}
        for row in sorted(found.rows, key=lambda row: row.version):
            duty, row_value = row.value["duty"], row.value
            epoch, holder = last.get(duty, (0, ""))
            assert row_value["epoch"] >= epoch
            assert row_value["epoch"] > epoch or row_value["holder"] == holder
            last[duty] = (row_value["epoch"], row_value["holder"])

    @stateful.invariant()
    def epochs_only_grow(self) -> None:
        """The epoch in a duty's row never decreases."""
        found = self.group.table.scan(keys.DUTIES)
        for row in found.rows if isinstance(found, platform.Rows) else ():
            epoch = rows.load(rows.Duty, row.value).epoch
            assert epoch >= self.epochs.get(row.key, 0)
            self.epochs[row.key] = epoch


TestFencing = FencingMachine.TestCase
TestFencing.settings = settings(
    max_examples=40, stateful_step_count=30, deadline=None, derandomize=True
)


def test_a_configuration_implies_one_name_for_each_duty() -> None:
    names = duty_names.of_config(controller_group.config_with_duties(5))
    assert names == ("claim-expiry", "repair", "wave/w0", "wave/w1", "wave/w2")


def test_a_pool_duty_pauses_longer_only_while_it_is_idle():
    pools = {"a": config_lib.Pool("a", 1)}
    bench = fleet_harness.FleetHarness(
        fleet_harness.worker_listings(2),
        fleet_harness.build_config(("a",), minions=0, pools=pools),
        lambda one: ("a", "a") if one.instance[-1] == "0" else ("spare", ""),
    )

    def pause_after_step():
        bench.step("pool-group/a")
        return controller.next_step_pause_s(bench.memory["pool-group/a"])

    assert pause_after_step() == controller.IDLE_PAUSE_S
    pools["a"] = config_lib.Pool("a", 2)
    while bench.fleet().members["worker-001"].row.pool != "a":
        assert pause_after_step() == controller.STEP_PAUSE_S
    pauses = [pause_after_step() for _ in range(20)]
    assert pauses[-1] == controller.IDLE_PAUSE_S
    assert not bench.instances_not_serving()
