"""Measures what planning costs a quote, in the entry's process or beside it.

Quotes go at a fixed rate through one entry while rounds of planning at the
target size run one after the other, with the pause that a controller makes
between two steps. A round reads the whole fleet from the stand-in platform
and plans a wave over all workers, the moves between all pools and the
placing of all tasks. That is the work of all duties together: a controller
in a full deployment has a share of it.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import enum
import json
import pathlib
import random
import tempfile
import time

import cattrs
import click
import gevent

from standins import deployment
from standins import fleet as fleet_lib
from standins import load
from standins import load_plan
from standins import measurements
from standins import minion as minion_lib
from standins import steps_world
from standins import target
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import move_planner
from vanillaswitch.coordination.maintenance import pool_demand
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.workloads import placement
from vanillaswitch.coordination.workloads import placement_view
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import lifecycle
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.wiring import entry

SERVICE = "service-000"
QUOTES = 500
RATE_PER_S = 100.0
WORK_MS = 5.0
TIMEOUT_MS = 3000
ROWS_IN_ONE_COMMIT = 500
WARM_UP_ROUNDS = 1
MODULE = "standins.measure_planning"


class Where(enum.StrEnum):
    """Where the rounds run."""

    NOWHERE = "nowhere"
    SAME_PROCESS = "same process"
    OWN_PROCESS = "own process"


class Rounds:
    """Plans again and again, and writes how long each round took."""

    def __init__(self, address: str, record: pathlib.Path):
        """Makes a planner.

        Args:
            address: "ip:port" of the platform.
            record: file that gets one JSON line for each round.
        """
        self._address = address
        self._record = record

    def run(self) -> None:
        """Plans until the calling task is killed."""
        with steps_world.open_world(self._address, 1.0) as world:
            while True:
                took = _round(world)
                with self._record.open("a") as out:
                    out.write(json.dumps(took) + "\n")
                gevent.sleep(controller.STEP_PAUSE_S)


def _round(world: steps_world.World) -> dict[str, float]:
    """Runs one round and returns its milliseconds by the clock."""
    began = time.monotonic()
    fleet = fleet_state.read_with_statuses(world.outside)
    assert isinstance(fleet, fleet_state.Fleet)
    read = time.monotonic()
    config = world.config
    wave_plan.plan_wave(fleet, config, config.waves["wave-workers"])
    move_planner.MOVE_PLANNERS.get(move_planner.DEFAULT_PLANNER)(
        pool_demand.workers_by_pool(fleet),
        pool_demand.required_workers(fleet, config),
    )
    inputs = placement_view.ViewInputs(
        placement_view.PlacementSnapshot(fleet, {}, {}, {}, {}),
        config,
        frozenset(config.pools),
        {},
        frozenset(),
        {},
    )
    placement.plan(placement_view.build_view(inputs), config)
    ended = time.monotonic()
    return {"read_ms": 1000 * (read - began), "plan_ms": 1000 * (ended - read)}


@dataclasses.dataclass(frozen=True)
class Site:
    """A platform at the target size, whose first service has real minions."""

    address: str
    folder: pathlib.Path


@contextlib.contextmanager
def _site(folder: pathlib.Path) -> Iterator[Site]:
    size = target.Size()
    with contextlib.ExitStack() as stack:
        members = []
        for listing in target.listings(size):
            if listing.service == SERVICE:
                minion = stack.enter_context(
                    minion_lib.run_minion(SERVICE, WORK_MS)
                )
                address = minion.address
                listing = dataclasses.replace(listing, address=address)
            members.append(fleet_lib.Member(listing))
        path = folder / "fleet.json"
        fleet = fleet_lib.Fleet(tuple(members))
        path.write_text(json.dumps(cattrs.unstructure(fleet)))
        arguments = ["standins.platform", "--fleet", str(path)]
        log = folder / "platform.log"
        process = deployment.Process("platform", arguments, log)
        stack.callback(process.kill)
        site = Site(process.addresses["address"], folder)
        _adopt(site.address, size)
        _apply(site.address)
        yield site


def _adopt(address: str, size: target.Size) -> None:
    """Gives each instance its pool, as the pool groups' duties would."""
    puts = []
    for listing in target.listings(size):
        service = listing.instance.rsplit("-", 2)[0]
        row = rows.Instance(
            service, listing.kind, service, listing.data_centre, listing.rack
        )
        key = keys.instance(listing.instance)
        puts.append(platform.Put(key, platform.ABSENT, rows.dump(row)))
    with steps_world.open_world(address, 1.0) as world:
        for at in range(0, len(puts), ROWS_IN_ONE_COMMIT):
            some = tuple(puts[at : at + ROWS_IN_ONE_COMMIT])
            token = f"adopt-{at}"
            outcome = world.outside.table.commit(
                platform.Transaction(token, some)
            )
            assert isinstance(outcome, platform.Committed)


def _apply(address: str) -> None:
    with steps_world.open_world(address, 1.0) as world:
        rng = random.SystemRandom()
        clock = clocks.SystemClock()
        config = world.config
        first = rollout.NO_CONFIG_NUMBER
        applied = rollout.apply(
            world.outside, clock, rng, config, "measure", first
        )
        assert isinstance(applied, rollout.Applied)


def _run(site: Site, where: Where, number: int) -> dict[str, float]:
    """Returns the figures of one run with fresh processes."""
    name = f"{where.name.lower()}-{number}"
    record = site.folder / f"{name}.jsonl"
    record.touch()
    settings = settings_lib.Settings(
        process=name,
        data_centre="hall-0",
        platform=site.address,
        peer_listen="127.0.0.1:0",
        listen="127.0.0.1:0",
    )
    path = site.folder / f"{name}.json"
    path.write_text(json.dumps(cattrs.unstructure(settings)))
    with contextlib.ExitStack() as stack:

        def start(*more: str) -> deployment.Process:
            arguments = [MODULE, str(path), str(record), *more]
            log = site.folder / f"{name}.log"
            process = deployment.Process(name, arguments, log)
            stack.callback(process.kill)
            return process

        inside = where is Where.SAME_PROCESS
        serving = start("--serve", *(["--plan"] if inside else []))
        if where is Where.OWN_PROCESS:
            start("--plan")
        address = serving.addresses["listen"]
        _wait(serving, record, 0 if where is Where.NOWHERE else WARM_UP_ROUNDS)
        return _figures(_load(address), record)


def _wait(
    serving: deployment.Process, record: pathlib.Path, rounds: int
) -> None:
    """Waits until the entry is ready and so many rounds are over."""
    late = deployment.DeploymentError("no round or no entry in time")
    with gevent.Timeout(deployment.START_S, late):
        while not serving.page("ready")["ready"]:
            gevent.sleep(0.05)
        while len(record.read_text().splitlines()) < rounds:
            gevent.sleep(0.05)


def _load(address: str) -> load_plan.ClassReport:
    quotes = load_plan.ClassPlan(
        "quote",
        f"/{SERVICE}/quotes",
        QUOTES,
        RATE_PER_S,
        timeout_ms=TIMEOUT_MS,
    )
    plan = load_plan.Plan(seed=1, classes=(quotes,), entries=(address,))
    return load.run(plan).classes[0]


def _figures(
    report: load_plan.ClassReport, record: pathlib.Path
) -> dict[str, float]:
    rounds = [json.loads(line) for line in record.read_text().splitlines()]
    later = rounds[WARM_UP_ROUNDS:]
    count = max(1, len(later))
    return {
        "p50_ms": report.p50_ms,
        "p99_ms": report.p99_ms,
        "max_ms": report.max_ms,
        "answered": report.answered,
        "not_answered": report.sent - report.answered,
        "rounds": len(later),
        "round_read_ms": sum(one["read_ms"] for one in later) / count,
        "round_plan_ms": sum(one["plan_ms"] for one in later) / count,
    }


@measurements.measurement("planning")
def measure_planning() -> measurements.Figures:
    """Measures quotes without planning, beside it, and in its process."""
    runs: dict[Where, list[dict[str, float]]] = {where: [] for where in Where}
    with (
        tempfile.TemporaryDirectory() as name,
        _site(pathlib.Path(name)) as site,
    ):
        # In turn, so that what else the machine does falls on all of them.
        for number in range(measurements.RUNS):
            for where in Where:
                runs[where].append(_run(site, where, number))
    return [
        {"planning": where, **measurements.spreads(found)}
        for where, found in runs.items()
    ]


@click.command()
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
@click.argument("record", type=click.Path(path_type=pathlib.Path))
@click.option("--serve", is_flag=True, help="Be the entry.")
@click.option("--plan", is_flag=True, help="Plan again and again.")
def main(
    settings: pathlib.Path, record: pathlib.Path, serve: bool, plan: bool
) -> None:
    """Is one process of the measurement: entry, planner, or both."""
    loaded = settings_lib.load(settings)
    with contextlib.ExitStack() as stack:
        addresses = {}
        if serve:
            running = stack.enter_context(entry.run(loaded))
            addresses["listen"] = running.address
        click.echo(json.dumps(addresses))
        if plan:
            planner = gevent.spawn(Rounds(loaded.platform, record).run)
            stack.callback(planner.kill)
        lifecycle.wait_for_stop()


if __name__ == "__main__":
    main()
