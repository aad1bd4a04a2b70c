"""Builders of jobs, instances and owners for tests."""

from collections.abc import Iterable
from collections.abc import Mapping

from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.instances import term_state
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform
from vanillaswitch.state import deployment as deployments

WALL_MS = 1.7e12


def deployment() -> deployments.Deployment:
    """Returns the settings of a machine without any addresses."""
    unused = (
        "zone",
        "entry_address",
        "ready_address",
        "metrics_address",
        "store_address",
        "machines_address",
        "advice_address",
    )
    return deployments.Deployment(
        process="edge-1",
        internal_address="10.0.0.1:1",
        cores=1.0,
        link_mbps=1000.0,
        orders="request",
        contracts=(),
        heartbeat_s=1.5,
        writes_per_s=1.0,
        reads_per_s=1.0,
        machine_orders_per_s=64.0,
        bounds=deployments.Bounds(),
        **dict.fromkeys(unused, ""),  # type: ignore[arg-type]
    )


def moment(now: float = 0.0) -> queue_order.PlanTime:
    """Returns the moment at some monotonic seconds, with its wall time."""
    return queue_order.PlanTime(now, WALL_MS + now * 1000)


def job(
    number: int = 1,
    steps: tuple[jobs.Step, ...] = (jobs.Step(count=2, cpu=1000),),
    **fields: object,
) -> jobs.Job:
    """Returns a job of queue "quotes", with some fields replaced."""
    values: dict[str, object] = {
        "job_id": f"{number:016x}",
        "queue": "quotes",
        "service": "berthing",
        "spec": "text",
        "steps": steps,
        "submitted_ms": 1,
    }
    return jobs.Job(**(values | fields))  # type: ignore[arg-type]


def insertion(key: str, value: Mapping[str, object]) -> platform.Transaction:
    """Returns the transaction that inserts a row."""
    row = platform.Put(key, platform.ABSENT, value)
    return platform.Transaction(f"put-{key}", (row,))


def config(
    attempts: int = 2, advice: fleet.AdvisorConfig | None = None
) -> fleet.FleetConfig:
    """Returns a configuration with one queue, its pool and a standby pool."""
    queue = fleet.Queue(
        "quotes",
        "host.example",
        "/q/",
        "berthing",
        max_attempts=attempts,
        stretch=1.6,
        target_duration_ms=600.0,
        advice=advice,
    )
    pools = {
        "berthing": fleet.Pool(
            "berthing", enforces_capacity=False, is_standby=False
        ),
        "spare": fleet.Pool("spare", enforces_capacity=False, is_standby=True),
    }
    return fleet.FleetConfig(1, (queue,), pools, 262_144)


def registration(
    name: str, rack: str = "r1", cpu: int = 4000, draining: bool = False
) -> fleet.Registration:
    """Returns an instance of pool "berthing"."""
    return fleet.Registration(
        name,
        "berthing",
        "10.0.0.1:80",
        "zone-1",
        draining,
        fleet.Resources(cpu, 32_000),
        ("a", rack),
    )


def new_scheduler(attempts: int = 2) -> schedulers.Scheduler:
    """Returns an owner's decisions without jobs and instances."""
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), lambda _: None
    )
    scheduler.apply_config(config(attempts))
    return scheduler


def status_report(
    ended: tuple[fleet.RunEnd, ...] = (),
    running: tuple[fleet.RunStatus, ...] = (),
    clock_ms: float = 0.0,
) -> fleet.StatusReport:
    """Returns an instance's status report."""
    return fleet.StatusReport(clock_ms, running, ended)


def add_instances(
    scheduler: schedulers.Scheduler,
    *names: str,
    now: float = 0.0,
    **fields: object,
) -> None:
    """Registers instances and lets each send an empty status report."""
    for name in names:
        scheduler.handle_registration(registration(name, **fields), now)  # type: ignore[arg-type]
        scheduler.handle_status_report(name, status_report(), now, now)


def plan_batch(
    scheduler: schedulers.Scheduler, now: float = 1.0
) -> term_state.WriteBatch:
    """Plans, takes the batch to write and marks its starts as sent."""
    scheduler.plan(now, WALL_MS + now * 1000)
    batch = scheduler.take_batch(100)
    for start in batch.starts:
        scheduler.may_send_start(start)
    return batch


def end_runs(
    scheduler: schedulers.Scheduler,
    starts: Iterable[term_state.StartOrder],
    now: float,
    numbers: dict[str, int],
) -> None:
    """Lets each instance report that its runs have ended as done.

    Args:
        scheduler: receives the status reports, one of each instance.
        starts: the starts of these runs.
        now: monotonic seconds.
        numbers: number of the last end by instance; updated.
    """
    ended: dict[str, list[fleet.RunEnd]] = {
        name: [] for name in scheduler.instances
    }
    for start in starts:
        number = numbers.get(start.instance, 0) + 1
        numbers[start.instance] = number
        ended[start.instance].append(
            fleet.RunEnd(
                number, start.task, start.run, fleet.RunOutcome.DONE, ""
            )
        )
    for name, ends in ended.items():
        report = status_report(ended=tuple(ends))
        scheduler.handle_status_report(name, report, now, now)


def accept_starts(
    scheduler: schedulers.Scheduler,
    batch: term_state.WriteBatch,
    percent: float = 0.0,
) -> None:
    """Lets instances accept all starts of a batch and report them."""
    rows: dict[str, list[fleet.RunStatus]] = {}
    for start in batch.starts:
        scheduler.handle_start_accepted(start.instance, (start.task, start.run))
        row = fleet.RunStatus(start.task, start.run, "", percent)
        rows.setdefault(start.instance, []).append(row)
    report_running(scheduler, rows)


def report_running(
    scheduler: schedulers.Scheduler,
    rows: Mapping[str, list[fleet.RunStatus]],
    now: float = 2.0,
) -> None:
    """Lets instances report what they run."""
    for name, listed in rows.items():
        scheduler.handle_status_report(
            name, status_report(running=tuple(listed)), now, now
        )
