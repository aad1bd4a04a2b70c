"""Measures what a recurring job costs its owner by the number of due times.

An owner takes over a fleet of six instances and a job of one small task every
ten seconds. All its times are due and half of them are done. Then the owner
plans, records, learns that tasks have ended, is asked for the state and cancels
the job. No figure may grow with the number of due times.
"""

from collections.abc import Callable
import time
import tracemalloc

from standins import measurements
from vanillaswitch.coordination.fleet import status_summaries
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.queue import queue_order
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

DUE_TIMES = (1_000, 10_000, 100_000, 1_000_000)
INSTANCES = 6
ROOM = fleet.Resources(16_000, 65_536)
QUEUE = "quotes"
STEP = jobs.Step(count=1, cpu=100, mem_mb=10, estimate_ms=500)
INTERVAL_MS = 10_000
WALL_MS = 1.7e12
JOB_ID = "c" * 16

_MS = 1000
_KB = 1000


def _new_owner() -> schedulers.Scheduler:
    scheduler = schedulers.Scheduler(
        queue_order.ORDERS.get(queue_order.DEFAULT_ORDER), lambda _: None
    )
    queue = fleet.Queue(
        QUEUE, "", "/", QUEUE, stretch=1.6, target_duration_ms=600.0
    )
    pool = fleet.Pool(QUEUE, enforces_capacity=False, is_standby=False)
    scheduler.apply_config(fleet.FleetConfig(1, (queue,), {QUEUE: pool}, 0))
    for number in range(INSTANCES):
        name = f"i-{number}"
        scheduler.handle_registration(
            fleet.Registration(name, QUEUE, "a", "z", False, ROOM, ()), 0.0
        )
        _report(scheduler, name, (), 0.0)
    return scheduler


def _report(
    scheduler: schedulers.Scheduler,
    instance: str,
    ended: tuple[fleet.RunEnd, ...],
    now: float,
) -> None:
    report = fleet.StatusReport(0.0, (), ended)
    scheduler.handle_status_report(instance, report, now, now)


def _job(due: int) -> jobs.Job:
    return jobs.Job(
        job_id=JOB_ID,
        queue=QUEUE,
        service=QUEUE,
        spec="text",
        steps=(STEP,),
        submitted_ms=1,
        repeat_count=due,
        first_run_ms=WALL_MS - due * INTERVAL_MS,
        interval_ms=INTERVAL_MS,
    )


def _end_one(scheduler: schedulers.Scheduler, now: float) -> None:
    start = scheduler.take_batch(100).starts[0]
    end = fleet.RunEnd(1, start.task, start.run, fleet.RunOutcome.DONE, "")
    _report(scheduler, start.instance, (end,), now)


def _run(due: int) -> dict[str, float]:
    """Returns the milliseconds that each operation takes."""
    scheduler = _new_owner()
    job = _job(due)
    document = {"started": True, "done_ranges": [[0, 0, due // 2 - 1]]}
    took: dict[str, float] = {}

    def timed(name: str, operation: Callable[[], object]) -> None:
        began = time.perf_counter()
        operation()
        took[f"{name}_ms"] = (time.perf_counter() - began) * _MS

    def take_over() -> None:
        scheduler.restore(job, document, 1, 0.0)
        scheduler.recover_runs(0.0, 9.0)

    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    take_over()
    scheduler.plan(0.5, WALL_MS)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    scheduler = _new_owner()
    timed("take_over", take_over)
    timed("plan", lambda: scheduler.plan(1.0, WALL_MS))
    timed("next_plan", lambda: scheduler.plan(1.1, WALL_MS))
    (entry,) = scheduler.tracker
    timed("row", entry.to_document)
    timed("end", lambda: _end_one(scheduler, 2.0))
    timed("status", lambda: status_summaries.summarize_job(entry, False))
    timed("cancel", lambda: scheduler.cancel_job(JOB_ID, 3.0))
    return {**took, "memory_kb": (after - before) / _KB}


@measurements.measurement("recurring")
def measure_recurring() -> measurements.Figures:
    """Measures each operation for jobs with more and more due times."""
    return [
        {
            "due_times": due,
            **measurements.spreads(
                [_run(due) for _ in range(measurements.RUNS)]
            ),
        }
        for due in DUE_TIMES
    ]
