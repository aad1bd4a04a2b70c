"""Change of owner while a part of the store is unavailable."""

from tests.common import clocks as manual
from tests.common import fleets
from tests.common import terms
from vanillaswitch.coordination.fleet import follow
from vanillaswitch.coordination.fleet.intake import job_rows
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import platform

_TASK = jobs.TaskName(fleets.job(1).job_id, 0, 0, 0)


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
            "servers": [feeds.Change("i-1", {}, 1)],
            "progress": [],
            "cancel": [],
            "job": [],
        }

    def snapshot(self, table, parts=()):
        rows = tuple(self.rows[table])
        if table != "job":
            return feeds.Snapshot(rows, 1)
        self.reads += 1
        if self.failures_left:
            self.failures_left -= 1
            if parts:
                return platform.Unavailable("status 503")
            return feeds.Snapshot(rows[:1], 1, ("second",), "status 503")
        return feeds.Snapshot(rows[1:] if parts else rows, 1)

    def changes(self, table, after, wait_s):
        del table, wait_s
        return feeds.Changes((), after)


def _assigned(job, instance):
    """Returns the progress row of a job with a task on an instance."""
    core = fleets.new_core()
    fleets.adopt(core, instance)
    core.job_added(job, 0.0)
    core.plan(0.0, fleets.WALL_MS)
    return core.take_batch(10).entries[0].pack()


def _owner(feed, clock):
    return terms.begin(_Table(), feed, clock)


def _feed_with_two_jobs():
    feed = _Feed()
    running, waiting = fleets.job(1), fleets.job(2)
    feed.rows["job"] = [
        feeds.Change(job.job_id, job_rows.pack(job), 1)
        for job in (waiting, running)
    ]
    feed.rows["progress"] = [
        feeds.Change(running.job_id, _assigned(running, "i-1"), 1)
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
    core = owner.core
    assert [entry.job.job_id for entry in core.book] == [fleets.job(2).job_id]
    running = fleet.Running(_TASK, 1, "", 40.0)
    core.held("i-1", fleets.held((), (running,)), 0.0, 0.0)
    assert not core.take_stops(), "a run of an unread job was stopped"
    core.plan(0.0, fleets.WALL_MS)
    assert not core.take_batch(10).starts, (
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
    core = owner.core
    end = fleet.End(1, _TASK, 1, fleet.How.DONE, "")
    core.held("i-1", fleets.held((end,)), 0.0, 0.0)
    assert core.take_batch(10).seen == {"i-1": 0}
    owner._tables._jobs._step()
    entry = core.book.get(_TASK.job_id)
    assert entry.task(_TASK).state == "d"
    core.plan(0.0, fleets.WALL_MS)
    batch = core.take_batch(10)
    assert batch.seen == {"i-1": 1}
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
    assert len(owner.core.book) == 2


def test_a_follower_reads_missing_parts_once_they_are_available():
    """Otherwise jobs of one part are missing after the history was lost."""
    feed = _feed_with_two_jobs()
    feed.failures_left = 2
    seen, emitted = [], []
    follower = follow.Follower(
        feed,
        "job",
        manual.ManualClock(),
        lambda snapshot: seen.extend(row.key for row in snapshot.rows),
        lambda rows: seen.extend(row.key for row in rows),
        emitted.append,
    )
    follower._step()
    assert len(seen) == 1
    assert not follower.whole
    follower._step()
    follower._step()
    assert len(seen) == 2
    assert follower.whole
    assert [event.state for event in emitted] == ["lost in part", "back"]


def test_runs_of_a_job_that_is_read_late_continue_if_nothing_replaced_them():
    """Otherwise a job loses several tasks when a part is available again.

    The previous owner considered their runs ended, so its row says that they
    wait. The next owner can't read the job at first and keeps the runs that
    instances list. If it stops them as unknown once it has read the job, it
    ignores the disruption budget.
    """
    before = fleets.new_core()
    names = ("i-1", "i-2", "i-3")
    fleets.adopt(before, *names)
    service = jobs.Step(
        count=3, cpu=100, long_running=True, may_miss=1, anti_affinity=1
    )
    job = fleets.job(steps=(service,))
    before.job_added(job, 0.0)
    fleets.run_all(before, fleets.plan(before), percent=100.0)
    listed = {name: list(before.instances[name].runs) for name in names}
    for name in names:
        before.silent(name, 20.0)
    before.lapse(20.0)
    row = before.book.get(job.job_id).pack()
    core = fleets.new_core()
    core.unread = {job.job_id}
    for name in names:
        core.registered(fleets.registration(name), 21.0)
    core.inherit_runs(21.0, 35.0)
    for name in names:
        rows = [fleet.Running(*key, "", 100.0) for key in listed[name]]
        fleets.show(core, {name: rows}, 21.1)
    core.unread = set()
    assert core.restore_late(job, row, 1, 22.0, 36.0) is None
    assert not core.take_stops()
    assert {n: list(core.instances[n].runs) for n in names} == listed
    assert not fleets.plan(core, 22.1).starts
