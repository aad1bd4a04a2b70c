"""Tests that the fleet cache is current, and how much it reads."""

import dataclasses

from hypothesis import given
from hypothesis import strategies as st

from tests.common import fleet_harness
from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_cache
from vanillaswitch.coordination.maintenance import read_throttle
from vanillaswitch.coordination.maintenance import wave_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys

SERVICES = ("a", "b")
WAVE = config_lib.Wave(SERVICES, config_lib.WaveTarget.MINIONS)


def bench_of(services: int) -> fleet_harness.FleetHarness:
    names = [f"s{number:02}" for number in range(services)]
    listings = [
        one for n in names for one in fleet_harness.minion_listings(n, 6)
    ]
    wave = dataclasses.replace(WAVE, services=tuple(names))
    return fleet_harness.FleetHarness(
        listings, fleet_harness.build_config(names, waves={"w": wave})
    )


def write(bench, name, **fields):
    """Writes an instance's row and the budget rows, as another process."""
    fleet = bench.fleet()
    draft = changes.ChangesBuilder(fleet)
    row = dataclasses.replace(fleet.members[name].row, **fields)
    draft.put_instance(name, row)
    puts = changes.build_puts(fleet, draft.build())
    transaction = platform.Transaction(f"t{bench.rng.random()}", puts)
    commit_retries.commit_with_retries(
        bench.platform.table, transaction, bench.clock, 0.0
    )


phases = st.sampled_from(
    [platform.MaintenancePhase.SERVING, platform.MaintenancePhase.DRAINING]
)
writes = st.tuples(
    st.sampled_from(["a-0", "a-1", "b-0", "b-1"]),
    st.sampled_from(SERVICES),
    phases,
)


@given(st.lists(st.lists(writes, max_size=3), max_size=5))
def test_a_refreshed_service_has_the_writes_of_other_processes(rounds):
    listings = [
        o for s in SERVICES for o in fleet_harness.minion_listings(s, 2)
    ]
    bench = fleet_harness.FleetHarness(
        listings, fleet_harness.build_config(SERVICES)
    )
    cache = fleet_cache.FleetCache()
    source = bench.platform.interface
    cache.refresh(source, 0.0)
    for round_writes in rounds:
        for name, service, phase in round_writes:
            write(bench, name, service=service, phase=phase)
        assert cache.refresh_services(source, ("a", "b"), 0.0)
        stored = bench.fleet()
        assert cache.fleet.budgets == stored.budgets
        assert {n: m.row for n, m in cache.fleet.members.items()} == {
            n: m.row for n, m in stored.members.items()
        }


def test_the_sweep_finds_new_and_deleted_instances():
    bench = bench_of(30)
    cache = fleet_cache.FleetCache()
    source = bench.platform.interface
    cache.refresh(source, 0.0)
    [row] = bench.platform.table.read([keys.instance("s29-5")]).rows
    gone = platform.Put(row.key, row.version, None)
    new = platform.Put(keys.instance("s00-new"), platform.ABSENT, row.value)
    bench.platform.table.commit(platform.Transaction("t", (gone, new)))
    now = 0.0
    while cache.fleet.members.keys() != bench.fleet().members.keys():
        now += 10.0
        cache.refresh(source, now)
        assert now < 600.0


def test_an_older_row_does_not_replace_a_newer_one():
    bench = bench_of(1)
    cache = fleet_cache.FleetCache()
    source = bench.platform.interface
    cache.refresh(source, 0.0)
    [old] = bench.platform.table.read([keys.instance("s00-0")]).rows
    write(bench, "s00-0", phase=platform.MaintenancePhase.DRAINING)
    cache.refresh_services(source, ("s00",), 0.0)
    cache.record_commit((), platform.Conflict((old,)))
    assert (
        cache.fleet.members["s00-0"].row.phase
        is platform.MaintenancePhase.DRAINING
    )


def test_a_wave_step_reads_no_more_in_a_larger_fleet():
    """Counts the rows and names in the platform calls of a step."""

    def most_read(services: int) -> int:
        bench = bench_of(services)
        plan = wave_plan.plan_wave(
            bench.fleet(), bench.config, bench.config.waves["w"]
        )
        row = wave_state.Wave(
            wave_state.WaveState.RUNNING, "run", plan.rounds, 0.0, 1.0
        )
        bench.put(keys.wave("w"), row)
        bench.step("wave/w")
        named: list[str] = []
        for part, call in ((bench.platform.table, "read"),
                           (bench.platform.instances, "status")):  # fmt: skip
            inner = getattr(part, call)
            setattr(part, call, counting(inner, named))
        bench.platform.table.scan = None
        return max(read_in_step(bench, named) for _ in range(8))

    def counting(inner, named):
        return lambda names: (named.extend(names), inner(names))[1]

    def read_in_step(bench, named):
        named.clear()
        bench.step("wave/w")
        return len(named)

    assert most_read(40) <= most_read(8)


@given(st.lists(st.floats(0.0, 1e5), min_size=1), st.booleans())
def test_reads_with_the_returned_pauses_keep_the_allowed_rate(sizes, busy):
    meter = read_throttle.LeakyBucket()
    now = 0.0
    for size in sizes:
        now += meter.pause_s(now, busy)
        meter.charge(size, now)
    allowed = read_throttle.BUSY_BURST_BYTES + now * read_throttle.BYTES_PER_S
    assert sum(sizes) - sizes[-1] <= allowed * (1 + 1e-9)
