"""Change of owner while a part of the store is unavailable."""

from tests.common import clocks as manual
from tests.common import fleet_builders
from tests.common import ownership_terms
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_TASK = jobs.TaskName(fleet_builders.job(1).job_id, 0, 0, 0)


class _Table:
    """Table that accepts every commit."""

    def __init__(self):
        self.commits = 0

    def commit(self, transaction):
        del transaction
        self.commits += 1
        return platform.Committed(self.commits)


class _Feed:
    """Feed of tables; the second of two parts of "job" may be unavailable.

    Attributes:
        failures_left: how many of the next reads of "job" lack that part.
    """

    def __init__(self):
        self.failures_left = 0
        self.reads = 0
        self.rows = {
            "servers": [change_feeds.RowChange("i-1", {}, 1)],
            "progress": [],
            "cancel": [],
            "job": [],
        }

    def snapshot(self, table, parts=()):
        rows = tuple(self.rows[table])
        if table != "job":
            return change_feeds.Snapshot(rows, 1)
        self.reads += 1
        if self.failures_left:
            self.failures_left -= 1
            if parts:
                return platform.Unavailable("status 503")
            return change_feeds.Snapshot(rows[:1], 1, ("second",), "status 503")
        return change_feeds.Snapshot(rows[1:] if parts else rows, 1)

    def changes(self, table, after, wait_s):
        del table, wait_s
        return change_feeds.ChangeBatch((), after)


def _assigned(job, instance):
    """Returns the progress row of a job with a task on an instance."""
    scheduler = fleet_builders.new_scheduler()
    fleet_builders.add_instances(scheduler, instance)
    scheduler.add_job(job, 0.0)
    scheduler.plan(0.0, fleet_builders.WALL_MS)
    return scheduler.take_batch(10).entries[0].to_document()


def _owner(feed, clock):
    return ownership_terms.begin_term(_Table(), feed, clock)


def _feed_with_two_jobs():
    feed = _Feed()
    running, waiting = fleet_builders.job(1), fleet_builders.job(2)
    feed.rows["job"] = [
        change_feeds.RowChange(job.job_id, job_rows.job_to_row(job), 1)
        for job in (waiting, running)
    ]
    feed.rows["progress"] = [
        change_feeds.RowChange(running.job_id, _assigned(running, "i-1"), 1)
    ]
    return feed


def test_a_new_owner_plans_the_jobs_that_it_can_read():
    """Otherwise no task starts for half a minute after a change of owner.

    One of eight parts of the job table answers 503 for seconds. If each new
    owner gives up since it can't read everything, there are ten terms in three
    seconds.
    """
    feed = _feed_with_two_jobs()
    feed.failures_left = 1
    owner = _owner(feed, clocks.SystemClock())
    assert owner.load()
    scheduler = owner.scheduler
    assert [entry.job.job_id for entry in scheduler.tracker] == [
        fleet_builders.job(2).job_id
    ]
    running = fleet.RunStatus(_TASK, 1, "", 40.0)
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((), (running,)), 0.0, 0.0
    )
    assert not scheduler.take_stops(), "a run of an unread job was stopped"
    scheduler.plan(0.0, fleet_builders.WALL_MS)
    assert not scheduler.take_batch(10).starts, (
        "a start uses the capacity of an unread job's run"
    )


def test_an_end_is_not_acknowledged_until_its_job_can_be_read():
    """Otherwise a finished task runs again after a change of owner.

    It ended while its job could not be read. If the end is acknowledged, the
    instance forgets it, and the task is started again later.
    """
    feed = _feed_with_two_jobs()
    feed.failures_left = 1
    owner = _owner(feed, clocks.SystemClock())
    assert owner.load()
    scheduler = owner.scheduler
    end = fleet.RunEnd(1, _TASK, 1, fleet.RunOutcome.DONE, "")
    scheduler.handle_status_report(
        "i-1", fleet_builders.status_report((end,)), 0.0, 0.0
    )
    assert scheduler.take_batch(10).recorded_ends == {"i-1": 0}
    owner._job_tables._jobs._poll()
    entry = scheduler.tracker.get(_TASK.job_id)
    assert entry.task(_TASK).state == "d"
    scheduler.plan(0.0, fleet_builders.WALL_MS)
    batch = scheduler.take_batch(10)
    assert batch.recorded_ends == {"i-1": 1}
    assert _TASK not in [start.task for start in batch.starts]


def test_a_term_continues_while_a_table_is_briefly_unavailable():
    """Otherwise terms end after a tenth of a second, and no task starts.

    A briefly unavailable table must not end a term that has just started. It
    is read again within the term, whose lease is renewed.
    """
    feed = _feed_with_two_jobs()
    whole = feed.snapshot
    failures = [3]

    def snapshot(table, parts=()):
        if table == "progress" and failures[0]:
            failures[0] -= 1
            return platform.Unavailable("status 503")
        return whole(table, parts)

    feed.snapshot = snapshot
    owner = _owner(feed, clocks.SystemClock())
    assert owner.load()
    assert len(owner.scheduler.tracker) == 2


def test_a_follower_reads_missing_parts_once_they_are_available():
    """Otherwise jobs of one part are missing after the history was lost."""
    feed = _feed_with_two_jobs()
    feed.failures_left = 2
    seen, emitted = [], []
    follower = table_follower.Follower(
        feed,
        "job",
        manual.ManualClock(),
        lambda snapshot: seen.extend(row.key for row in snapshot.rows),
        lambda rows: seen.extend(row.key for row in rows),
        emitted.append,
    )
    follower._poll()
    assert len(seen) == 1
    assert not follower.is_complete
    follower._poll()
    follower._poll()
    assert len(seen) == 2
    assert follower.is_complete
    assert [event.state for event in emitted] == ["lost in part", "back"]


def test_runs_of_a_job_that_is_read_late_continue_if_nothing_replaced_them():
    """Otherwise a job loses several tasks when a part is available again.

    The previous owner considered their runs ended, so its row says that they
    wait. The next owner can't read the job at first and keeps the runs that
    instances list. If it stops them as unknown once it has read the job, it
    ignores the disruption budget.
    """
    before = fleet_builders.new_scheduler()
    names = ("i-1", "i-2", "i-3")
    fleet_builders.add_instances(before, *names)
    service = jobs.Step(
        count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
    )
    job = fleet_builders.job(steps=(service,))
    before.add_job(job, 0.0)
    fleet_builders.accept_starts(
        before, fleet_builders.plan_batch(before), percent=100.0
    )
    listed = {name: list(before.instances[name].runs) for name in names}
    for name in names:
        before.mark_unresponsive(name, 20.0)
    before.release_expired_leases(20.0)
    row = before.tracker.get(job.job_id).to_document()
    scheduler = fleet_builders.new_scheduler()
    scheduler.unreadable_jobs = {job.job_id}
    for name in names:
        scheduler.handle_registration(fleet_builders.registration(name), 21.0)
    scheduler.recover_runs(21.0, 35.0)
    for name in names:
        rows = [fleet.RunStatus(*key, "", 100.0) for key in listed[name]]
        fleet_builders.report_running(scheduler, {name: rows}, 21.1)
    scheduler.unreadable_jobs = set()
    assert scheduler.restore_deferred(job, row, 1, 22.0, 36.0) is None
    assert not scheduler.take_stops()
    assert {n: list(scheduler.instances[n].runs) for n in names} == listed
    assert not fleet_builders.plan_batch(scheduler, 22.1).starts
