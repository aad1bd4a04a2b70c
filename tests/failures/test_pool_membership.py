"""Tests that an instance is in exactly one pool, whatever fails in a move."""

import dataclasses

from hypothesis import settings
from hypothesis import stateful
from hypothesis import strategies as st

from tests.common import fleet_harness
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import pool_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import spare_capacity
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

POOLS = {"a1": "a", "a2": "a", "b1": "b"}
DUTIES = ["pool-group/a", "pool-group/b"]
WORKERS = 9


def config(a1: int = 2, a2: int = 2, b1: int = 3) -> config_lib.Config:
    pools = {
        name: config_lib.Pool(POOLS[name], workers)
        for name, workers in (("a1", a1), ("a2", a2), ("b1", b1))
    }
    return fleet_harness.build_config(("a", "b"), minions=0, pools=pools)


class PoolCheckingBench(fleet_harness.FleetHarness):
    """Checks each change of pool at the moment it is committed."""

    def check_transactions(self) -> None:
        """Checks every transaction that takes effect from now on."""
        table = self.platform.table
        apply = table._apply

        def checked_apply(transaction):
            for put in transaction.puts:
                self._check_pool_change(put)
            return apply(transaction)

        table._apply = checked_apply

    def _check_pool_change(self, put: platform.Put) -> None:
        found = self.platform.table._rows.get(put.key)
        if found is None or not put.key.startswith(keys.INSTANCES):
            return
        if found.version != put.version or put.value is None:
            return
        if put.value["pool"] != found.value["pool"]:
            name = keys.name_of(keys.INSTANCES, put.key)
            machine = self.platform.instances._machines[name]
            assert machine.phase is platform.MaintenancePhase.DRAINED
            assert machine.in_flight == 0


class PoolMembership(stateful.RuleBasedStateMachine):
    """Guards against jobs cut off by a move, and workers in two pools.

    Operators change the needs of pools while workers move. Controllers are
    killed between any two calls, race with each other, and get late answers
    or none. The pool is one field of one row, which changes only after the
    worker's jobs have ended. The next holder finishes or undoes each move.
    """

    def __init__(self):
        super().__init__()
        listings = fleet_harness.worker_listings(WORKERS, per_rack=3)
        pools = ["a1", "a1", "a2", "a2", "b1", "b1", "b1"]
        pools += [spare_capacity.SPARE_POOL] * 2
        names = [one.instance for one in listings]
        of = dict(zip(names, pools, strict=True))
        self.bench = PoolCheckingBench(
            listings,
            config(),
            lambda one: (of[one.instance], POOLS.get(of[one.instance], "")),
        )
        for duty in DUTIES:
            self.bench.replace_holder(duty)
        self.bench.check_transactions()

    @stateful.rule(duty=st.sampled_from(DUTIES), count=st.integers(1, 4))
    def step(self, duty, count):
        """The holder of a duty runs some steps."""
        for _ in range(count):
            self.bench.step(duty)

    @stateful.rule(needs=st.tuples(*[st.integers(0, 5)] * 3))
    def operator_changes_needs(self, needs):
        """An operator changes the number of workers of each pool."""
        self.bench.config = config(*needs)

    @stateful.rule(
        duty=st.sampled_from(DUTIES),
        call=st.integers(1, 8),
        when=st.sampled_from(["before", "after"]),
    )
    def kill_controller(self, duty, call, when):
        """The holder of a duty is killed at one of its calls."""
        self.bench.kill_at_call = self.bench.call_count + call
        self.bench.kill_before_or_after = when
        self.bench.step(duty)

    @stateful.rule(duty=st.sampled_from(DUTIES), process=st.integers(0, 1))
    def hand_over(self, duty, process):
        """A process whose cache may be outdated takes over a duty."""
        self.bench.hand_over(duty, process)

    @stateful.rule(duty=st.permutations(DUTIES))
    def race(self, duty):
        """One duty runs a step between the decision and commit of another."""
        first, second = duty
        self.bench.before_next_commit(lambda: self.bench.step(second))
        self.bench.step(first)

    @stateful.rule(
        duty=st.sampled_from(DUTIES),
        fault=st.sampled_from(["lose_answers", "drop_calls", "delay_effect"]),
        part=st.sampled_from(["table", "instances"]),
    )
    def fail_call(self, duty, fault, part):
        """A call or its answer is lost, or the call takes effect late."""
        faults = self.bench.platform.faults[part]
        setattr(faults, fault, 1)
        self.bench.step(duty)
        setattr(faults, fault, 0)

    @stateful.rule()
    def late_calls_arrive(self):
        """Delayed calls take effect."""
        for faults in self.bench.platform.faults.values():
            faults.release_delayed()

    @stateful.rule(index=st.integers(0, WORKERS - 1), jobs=st.integers(0, 2))
    def job_count_changes(self, index, jobs):
        """The number of tasks on a worker changes."""
        name = f"worker-{index:03}"
        instances = self.bench.platform.instances
        if instances.phase(name) is not platform.MaintenancePhase.DRAINED:
            instances.set_in_flight(name, jobs)

    @stateful.invariant()
    def each_worker_has_one_pool_and_budgets_agree(self):
        """Checks the invariant that holds between any two steps."""
        fleet = self.bench.fleet()
        assert len(fleet.members) == WORKERS
        for name, member in fleet.members.items():
            row = member.row
            assert row.pool in {*POOLS, spare_capacity.SPARE_POOL}
            assert row.service == POOLS.get(row.pool, "")
            down = [s for s in "ab" if name in fleet.budget(s).row.down]
            under_way = instance_steps.is_in_progress(row)
            assert down == [row.service] * bool(row.service and under_way)

    def teardown(self):
        """Checks that all operations finish once the faults have ended."""
        self.late_calls_arrive()
        for index in range(WORKERS):
            self.job_count_changes(index, 0)
        for _ in range(60):
            for duty in DUTIES:
                self.bench.step(duty)
            members = self.bench.fleet().members.values()
            if not any(instance_steps.is_in_progress(m.row) for m in members):
                break
        assert not self.bench.instances_not_serving()
        self.each_worker_has_one_pool_and_budgets_agree()


TestPoolMembership = PoolMembership.TestCase
TestPoolMembership.settings = settings(
    max_examples=30, stateful_step_count=20, deadline=None, derandomize=True
)


def test_a_lost_worker_is_replaced_and_later_its_row_is_deleted():
    """Guards against a failed worker that counts in its pool for ever.

    A worker fails and disappears from the list. A spare worker replaces it
    after ``REPLACE_AFTER_S``. Its row is deleted after ``FORGET_AFTER_S``.
    """
    listings = fleet_harness.worker_listings(3)
    pools = {"a": config_lib.Pool("a", 2)}
    bench = fleet_harness.FleetHarness(
        listings,
        fleet_harness.build_config(("a",), minions=0, pools=pools),
        lambda one: ("a", "a") if one is not listings[2] else ("spare", ""),
    )
    bench.platform.instances.kill("worker-000", vanish=True)
    bench.step("pool-group/a")
    assert (
        bench.fleet().members["worker-002"].row.pool
        == spare_capacity.SPARE_POOL
    )
    bench.clock.advance(pool_duty.REPLACE_AFTER_S)
    for _ in range(5):
        bench.step("pool-group/a")
    row = bench.fleet().members["worker-002"].row
    assert (row.pool, row.phase) == ("a", platform.MaintenancePhase.SERVING)
    bench.clock.advance(pool_duty.FORGET_AFTER_S)
    bench.step("pool-group/a")
    assert "worker-000" not in bench.fleet().members


def test_instances_left_drained_by_a_removed_wave_serve_again():
    """Guards against a minion that stays drained after its wave is removed.

    A wave that is removed from the configuration has no duty any more. The
    duty of the service's pools finishes the wave's operations.
    """
    listings = fleet_harness.minion_listings("a", count=2)
    bench = fleet_harness.FleetHarness(
        listings, fleet_harness.build_config(("a",), minions=2)
    )
    member = bench.fleet().members["a-0"]
    row = instance_steps.begin_drain(member.row, member.status, "drain-1")
    row = dataclasses.replace(row, wave="removed")
    bench.put(keys.instance("a-0"), row)
    bench.put(keys.budget("a"), rows.Budget({"a-0": "drain-1"}))
    for _ in range(5):
        bench.step("pool-group/a")
    assert not bench.instances_not_serving()
    assert not bench.fleet().budget("a").row.down
    assert bench.platform.instances.reboots_in_use == 0
