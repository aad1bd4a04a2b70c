"""Tests of maintenance waves under failures.

Instances and controllers fail, calls get lost, and operators interfere.
"""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from tests.common import fleet_harness
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import wave_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows

WAVE = config_lib.Wave(("quotes",), config_lib.WaveTarget.MINIONS)
RUNNING = wave_state.WaveState.RUNNING


class WaveBench(fleet_harness.FleetHarness):
    """A bench that runs waves and records their reboots."""

    def start_waves(self, *names: str, **fields) -> "WaveBench":
        """Starts waves, and records reboots and the peak of instances down."""
        wave = dataclasses.replace(WAVE, **fields)
        waves = dict.fromkeys(names, wave)
        self.config = dataclasses.replace(self.config, waves=waves)
        self.reboots: list[str] = []
        self.most_down = 0
        for name in names:
            plan = wave_plan.plan_wave(self.fleet(), self.config, wave)
            assert not plan.cannot
            # Every second wave runs its rounds in reverse, so that two waves
            # compete for the budget rather than for one instance.
            rounds = plan.rounds[:: -1 if names.index(name) % 2 else 1]
            row = wave_state.Wave(
                RUNNING, "run", rounds, self.clock.wall(), plan.expected_s
            )
            self.put(keys.wave(name), row)
        self.platform.instances.add_listener(self._on_phase)
        return self

    def run_until_stopped(self, steps: int = 300) -> wave_state.Wave:
        """Steps all waves in turn until none is running."""
        for _ in range(steps):
            waves = self.fleet().waves
            if all(wave.row.state is not RUNNING for wave in waves.values()):
                break
            for name in self.config.waves:
                self.step(f"wave/{name}")
        return next(iter(self.fleet().waves.values())).row

    def _on_phase(self, name: str, phase: platform.MaintenancePhase) -> None:
        if phase is platform.MaintenancePhase.REBOOTING:
            self.reboots.append(name)
        machines = self.platform.instances._machines.values()
        down = [
            m
            for m in machines
            if m.phase is not platform.MaintenancePhase.SERVING
        ]
        self.most_down = max(self.most_down, len(down))


def make_bench(minions: int = 6, **fields) -> WaveBench:
    listings = fleet_harness.minion_listings(count=minions)
    return WaveBench(
        listings, fleet_harness.build_config(minions=minions), **fields
    )


def assert_each_rebooted_once(bench: WaveBench) -> None:
    names = [one.instance for one in bench.listings]
    assert sorted(bench.reboots) == names
    assert not bench.instances_not_serving()
    assert not bench.fleet().budget("quotes").row.down


@pytest.mark.parametrize("when", ["before", "after"])
def test_a_wave_finishes_when_its_controller_is_killed_at_any_call(when):
    """Guards against second reboots after a change of the duty's holder.

    The controller is killed just before or just after one of its calls, and
    another takes the duty. Intents are written before the calls, so the next
    holder repeats the same operation.
    """
    for call in range(1, 150, 2):
        bench = make_bench(minions=3).start_waves("kernel")
        bench.kill_at_call, bench.kill_before_or_after = call, when
        assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
        assert_each_rebooted_once(bench)
        assert bench.most_down <= 2


@settings(max_examples=20, deadline=None, derandomize=True)
@given(st.lists(st.integers(1, 9), min_size=1, max_size=12))
def test_a_wave_finishes_when_holders_with_stale_caches_take_turns(turns):
    """Guards against second reboots and against an exceeded budget.

    A process that held the duty before takes it again with an outdated cache
    of the fleet. Budget rows show which instance rows have changed. If the
    cache is still wrong, the transaction conflicts.
    """
    bench = make_bench().start_waves("kernel")
    for number, steps in enumerate(turns):
        bench.hand_over("wave/kernel", number % 2)
        for _ in range(steps):
            bench.step("wave/kernel")
    assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
    assert_each_rebooted_once(bench)
    assert bench.most_down <= 2


def test_a_holder_maintains_instances_that_its_cache_lacks():
    """Guards against a wave that finishes without some of its minions.

    A controller reads the fleet before the minions join their pools. It then
    takes the wave, whose minions are missing from its cache.
    """
    bench = make_bench()
    listings, bench.listings = bench.listings, []
    saved_rows = {}
    for one in listings:
        [row] = bench.platform.table.read([keys.instance(one.instance)]).rows
        saved_rows[row.key] = rows.load(rows.Instance, row.value)
        gone = platform.Put(row.key, row.version, None)
        bench.platform.table.commit(platform.Transaction(row.key, (gone,)))
    bench.config = dataclasses.replace(bench.config, waves={"kernel": WAVE})
    bench.step("wave/kernel")
    for key, row in saved_rows.items():
        bench.put(key, row)
    bench.listings = listings
    bench.start_waves("kernel")
    assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
    assert_each_rebooted_once(bench)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(
    st.lists(
        st.sampled_from(["lose_answers", "drop_calls", "delay_effect"]),
        max_size=12,
    )
)
def test_a_wave_stays_in_budget_when_calls_and_answers_are_lost(faults):
    """Guards against more than two of six minions down under lost calls.

    Calls are lost, lose their answer, or take effect late. A row advances only
    when the status of the instance names the operation, so a late duplicate of
    the call has no effect.
    """
    bench = make_bench().start_waves("kernel")
    bench.replace_holder("wave/kernel")
    for fault in faults:
        for part in ("table", "instances"):
            setattr(bench.platform.faults[part], fault, 1)
        bench.step("wave/kernel")
    for part in ("table", "instances"):
        bench.platform.faults[part].release_delayed()
        vars(bench.platform.faults[part]).update(
            lose_answers=0, drop_calls=0, delay_effect=0
        )
    assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
    assert_each_rebooted_once(bench)
    assert bench.most_down <= 2


def test_two_waves_on_one_service_share_its_budget():
    """Guards against two waves that use the same headroom of one service.

    Both controllers see headroom and decide at the same time. Both write the
    service's budget row, so the second write conflicts and its step runs
    again.
    """
    bench = make_bench().start_waves("kernel", "firmware")
    for name in bench.config.waves:
        bench.replace_holder(f"wave/{name}")
    for _ in range(60):
        bench.before_next_commit(lambda: bench.step("wave/firmware"))
        bench.step("wave/kernel")
    bench.run_until_stopped()
    assert bench.most_down <= 2
    names = [one.instance for one in bench.listings]
    assert sorted(bench.reboots) == sorted(2 * names)


def test_losing_half_the_minions_halts_the_wave_and_undoes_drains():
    """Guards against a wave that takes down more during an outage.

    Half of the minions die while another one drains, which exceeds the budget.
    The wave takes no more down, and returns the draining minion to service, as
    it can serve again at once.
    """
    bench = make_bench().start_waves("kernel")
    instances = bench.platform.instances
    drained = bench.fleet().waves["kernel"].row.rounds[0][0]
    instances.set_in_flight(drained, 1)
    while instances.phase(drained) is not platform.MaintenancePhase.DRAINING:
        bench.step("wave/kernel")
    others = [o.instance for o in bench.listings if o.instance != drained]
    for name in others[:3]:
        instances.kill(name, vanish=True)
    for _ in range(10):
        bench.step("wave/kernel")
    assert bench.instances_not_serving() == set(others[:3])
    assert not bench.reboots


def test_a_dead_minion_that_is_still_listed_live_counts_as_down():
    """Guards against headroom computed from an outdated list.

    Two minions die, but the list shows them as live for another minute. They
    don't answer status requests, so they count as down at once.
    """
    bench = make_bench(lag_s=60.0)
    fleet = bench.fleet()
    assert not wave_plan.plan_wave(fleet, bench.config, WAVE).cannot
    bench.start_waves("kernel")
    for name in ("quotes-4", "quotes-5"):
        bench.platform.instances.kill(name, vanish=True)
    bench.step("wave/kernel")
    bench.step("wave/kernel")
    assert bench.instances_not_serving() == {"quotes-4", "quotes-5"}


def test_a_canary_that_does_not_come_back_stops_the_wave():
    """Guards against a wave that loses every minion to broken software.

    The canary never comes back from its reboot. One failure within minutes is
    more than a background rate of one a day explains, so the wave stops with a
    reason and the other minions keep serving.
    """
    bench = make_bench().start_waves("kernel")
    canary = bench.fleet().waves["kernel"].row.rounds[0][0]
    bench.platform.instances.fail_to_return(canary)
    wave = bench.run_until_stopped()
    assert wave.state is wave_state.WaveState.STOPPED
    assert canary in wave.reason
    assert bench.instances_not_serving() == {canary}
    assert bench.reboots == [canary]


def test_a_stopped_wave_undoes_its_drains():
    """Guards against a reboot into broken software after the wave stopped.

    Of two minions in a round, one doesn't come back while the other still
    drains. The second one returns to service without a reboot.
    """
    bench = make_bench().start_waves("kernel")
    broken, busy = bench.fleet().waves["kernel"].row.rounds[1]
    bench.platform.instances.fail_to_return(broken)
    bench.platform.instances.set_in_flight(busy, 1)
    assert bench.run_until_stopped().state is wave_state.WaveState.STOPPED
    bench.platform.instances.set_in_flight(busy, 0)
    for _ in range(10):
        bench.step("wave/kernel")
    assert bench.instances_not_serving() == {broken}
    assert busy not in bench.reboots


def test_a_pause_rejects_a_take_down_decided_before_it():
    """Guards against a take-down after an operator paused the wave.

    The controller decides before the pause is written. Its transaction checks
    the version of the wave's row, so it conflicts with the pause.
    """
    bench = make_bench().start_waves("kernel")
    row = bench.fleet().waves["kernel"].row
    paused = dataclasses.replace(row, state=wave_state.WaveState.PAUSED)
    bench.replace_holder("wave/kernel")
    bench.before_next_commit(lambda: bench.put(keys.wave("kernel"), paused))
    for _ in range(5):
        bench.step("wave/kernel")
        assert not bench.instances_not_serving()


def test_a_former_holder_takes_nothing_down():
    """Guards against two controllers that run one wave.

    The first one is paused past its lease and resumes in the middle of a step.
    Its writes carry the fence of the old epoch and conflict.
    """
    bench = make_bench().start_waves("kernel")
    bench.replace_holder("wave/kernel")
    old = bench.fences["wave/kernel"]
    bench.replace_holder("wave/kernel")
    bench.fences["wave/kernel"] = old
    for _ in range(5):
        bench.step("wave/kernel")
    assert not bench.instances_not_serving()


def test_a_cordoned_worker_counts_against_the_budget_of_a_wave():
    """Guards against three unusable workers where the budget allows two.

    A worker is cordoned before a wave starts. It runs no jobs, so it counts as
    down. Its maintenance uses no further headroom, and it stays cordoned.
    """
    pools = {"batch": config_lib.Pool("quotes", 6)}
    bench = WaveBench(
        fleet_harness.worker_listings(6, per_rack=6),
        fleet_harness.build_config(minions=0, pools=pools, workers_down=2),
        lambda _: ("batch", "quotes"),
    )
    key = keys.instance("worker-000")
    row = bench.fleet().members["worker-000"].row
    bench.put(key, dataclasses.replace(row, cordoned=True))
    bench.start_waves("kernel", targets=config_lib.WaveTarget.WORKERS)
    unusable = set()
    while bench.fleet().waves["kernel"].row.state is RUNNING:
        bench.step("wave/kernel")
        unusable.add(len(bench.instances_not_serving() | {"worker-000"}))
    assert max(unusable) == 2
    assert_each_rebooted_once(bench)
    assert bench.fleet().members["worker-000"].row.cordoned


def test_a_canary_that_dies_during_the_soak_stops_the_wave():
    """Guards against software that boots and crashes a minute later.

    The canary comes back and serves. During the soak before the next round it
    goes down, and the wave stops.
    """
    bench = make_bench().start_waves("kernel", soak_s=60.0)
    canary = bench.fleet().waves["kernel"].row.rounds[0][0]
    while "serves for 60 s" not in bench.fleet().waves["kernel"].row.waits:
        bench.step("wave/kernel")
    for _ in range(40):
        bench.step("wave/kernel")
    bench.platform.instances.kill(canary)
    assert bench.run_until_stopped().state is wave_state.WaveState.STOPPED
    assert bench.reboots == [canary]


def test_a_wave_continues_after_the_soak():
    """Guards against a wave that never starts its second round."""
    bench = make_bench().start_waves("kernel", soak_s=30.0)
    started_at = bench.clock.monotonic()
    assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
    assert bench.clock.monotonic() - started_at >= 30.0
    assert_each_rebooted_once(bench)


def test_a_slow_drain_is_reported_and_not_forced():
    """Guards against a wave that hangs on a drain without any report.

    One minion keeps a request in flight. After the limit, the wave's row and a
    decision record name the minion. The request is not cut off, and the wave
    continues when it ends.
    """
    bench = make_bench().start_waves("kernel", drain_limit_s=30.0)
    busy = bench.fleet().waves["kernel"].row.rounds[0][0]
    bench.platform.instances.set_in_flight(busy, 1)
    for _ in range(40):
        bench.step("wave/kernel")
        assert not bench.fleet().waves["kernel"].row.slow
    for _ in range(40):
        bench.step("wave/kernel")
    assert busy in bench.fleet().waves["kernel"].row.slow
    key = decision_records.history_key(decision_records.wave_subject("kernel"))
    [row] = bench.platform.table.read([key]).rows
    rules = [
        entry.rule for entry in decision_records.decode_history(row).entries
    ]
    assert rules.count("slow drain") == 1
    assert not bench.reboots
    bench.platform.instances.set_in_flight(busy, 0)
    assert bench.run_until_stopped().state is wave_state.WaveState.FINISHED
    assert not bench.fleet().waves["kernel"].row.slow
    assert bench.platform.instances.reboots_in_use == 0
