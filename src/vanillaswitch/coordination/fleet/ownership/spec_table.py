"""Gets the specs of jobs from their table.

A spec is the client's text that says what the job's tasks do; instances receive
it with each start.

Load pattern: some dozen jobs are submitted per second. The owner gets their
specs by polling the table's changes, with one call for all that arrived
together. A new owner also takes over the jobs of the previous one: some
hundred that wait, while nearly all others have ended. It never reads the whole
table. It reads the specs of the jobs that would start next, a few at a time, so
that the reads don't delay its lease renewals on a slow link.
"""

from collections.abc import Callable

import gevent

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import table_follower
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.job_requests import job_rows
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable

MAX_CONCURRENT_READS = 4
"""Specs read at the same time. 16 KB take 0.07 s on a link of 2 Mbit/s, and
lease renewals may be late by some tenths of a second."""

IDLE_POLL_S = 0.05
"""Pause between checks for jobs without a spec while there are none. Most specs
arrive with the changes of the table, within one call of 7 ms."""

UNUSABLE_RETRY_S = 2.0
"""Pause before an unusable spec is read again."""

_CHANGES_SOURCE = f"table {fenced_writer.SPEC_TABLE}"
_ROWS_SOURCE = f"rows of table {fenced_writer.SPEC_TABLE}"

MAX_EARLY_SPECS = 1000
"""Maximum number of specs kept for jobs that have not arrived yet. One
transaction writes a job and its spec, but they are read from the changes of two
tables, a few milliseconds apart."""


class SpecTable:
    """Adds specs to the jobs of the scheduler during one term."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        table: platform.Table,
        feed: change_feeds.ChangeFeed,
        clock: clocks.Clock,
        newest_version: Callable[[], int],
        emit: Callable[[object], None],
        on_change: Callable[[], None],
    ):
        """Creates the table's state before the first read.

        Args:
            scheduler: receives specs.
            table: reads single specs.
            feed: reads the changes of the table.
            clock: times the reads.
            newest_version: returns the version of the owner's last write.
                Changes are followed from it if the store no longer has older
                ones.
            emit: receives events.
            on_change: called when a job got its spec and may start.
        """
        self._scheduler = scheduler
        self._table = table
        self._feed = feed
        self._clock = clock
        self._newest_version = newest_version
        self._emit = emit
        self._on_change = on_change
        self._version = platform.ABSENT
        self._failing_sources: set[str] = set()
        self._early_specs: dict[str, str] = {}
        self._retry_at: dict[str, float] = {}

    def resume_from(self, version: int) -> None:
        """Sets the version to follow changes from.

        Older specs are read one by one when they are needed.
        """
        self._version = version

    def on_job_added(self, job_id: str) -> None:
        """Assigns an added job its spec, if the spec arrived before it."""
        spec = self._early_specs.pop(job_id, None)
        if spec is not None:
            self._assign_spec(job_id, spec)

    def follow(self) -> None:
        """Assigns the specs of new jobs; does not return."""
        while True:
            outcome = self._feed.changes(
                fenced_writer.SPEC_TABLE,
                self._version,
                table_follower.LONG_POLL_S,
            )
            if isinstance(outcome, platform.Unavailable):
                self._report_source_state(_CHANGES_SOURCE, outcome.reason)
                self._clock.sleep(table_follower.RETRY_S)
                continue
            self._report_source_state(_CHANGES_SOURCE, "")
            if isinstance(
                outcome,
                change_feeds.HistoryTruncated | change_feeds.ChangesTooLarge,
            ):
                # ``read_missing`` reads the specs written in between. Until the
                # owner's next write, the version of its last one may be too old
                # as well.
                self._version = self._newest_version()
                self._clock.sleep(table_follower.RETRY_S)
                continue
            self._version = outcome.version
            for change in outcome.changes:
                self._on_spec_change(change)

    def read_missing(self) -> None:
        """Reads specs of jobs that can't start without them; does not return.

        Pauses only if there is nothing to read, since the store's answers limit
        the rate. A pause after each batch would delay jobs after a change of
        owner, although the store could deliver their specs.
        """
        while True:
            job_ids = self._next_to_read()
            if not job_ids:
                self._clock.sleep(IDLE_POLL_S)
                continue
            gevent.joinall(
                [gevent.spawn(self._read_spec, job_id) for job_id in job_ids],
                raise_error=True,
            )

    def _next_to_read(self) -> list[str]:
        """Returns a few of the jobs that would start next if they had specs."""
        now = self._clock.monotonic()
        job_ids: list[str] = []
        for job_id in self._scheduler.jobs_without_spec:
            entry = self._scheduler.tracker.get(job_id)
            if entry is None or entry.spec is not None:
                continue
            if now >= self._retry_at.get(job_id, now):
                job_ids.append(job_id)
            if len(job_ids) == MAX_CONCURRENT_READS:
                break
        return job_ids

    def _read_spec(self, job_id: str) -> None:
        read = self._table.read([f"{fenced_writer.SPEC_TABLE}/{job_id}"])
        if isinstance(read, platform.Unavailable):
            self._report_source_state(_ROWS_SOURCE, read.reason)
            self._delay_read(job_id, table_follower.RETRY_S)
            return
        self._report_source_state(_ROWS_SOURCE, "")
        if not read.rows:
            self._report_unusable(job_id, 0, "the row does not exist")
            return
        row = read.rows[0]
        spec = job_rows.unpack_spec(row.value)
        if isinstance(spec, unusable.Unusable):
            self._report_unusable(job_id, row.version, spec.reason)
        else:
            self._assign_spec(job_id, spec)

    def _on_spec_change(self, change: change_feeds.RowChange) -> None:
        if change.value is None:
            return
        spec = job_rows.unpack_spec(change.value)
        if isinstance(spec, unusable.Unusable):
            self._report_unusable(change.key, change.version, spec.reason)
        elif self._scheduler.tracker.get(change.key) is not None:
            self._assign_spec(change.key, spec)
        elif len(self._early_specs) < MAX_EARLY_SPECS:
            self._early_specs[change.key] = spec

    def _assign_spec(self, job_id: str, spec: str) -> None:
        problem = self._scheduler.set_spec(job_id, spec)
        if problem is not None:
            self._report_unusable(job_id, 0, problem.reason)
            return
        self._retry_at.pop(job_id, None)
        self._on_change()

    def _report_unusable(self, job_id: str, version: int, reason: str) -> None:
        """Reports an unusable spec and delays the next read of it.

        The job waits until its spec can be read. With another text, it would do
        something that its client did not ask for.
        """
        self._delay_read(job_id, UNUSABLE_RETRY_S)
        self._emit(
            events.RowUnusable(
                fenced_writer.SPEC_TABLE, job_id, version, reason
            )
        )

    def _delay_read(self, job_id: str, seconds: float) -> None:
        """Delays the next read of a job's spec."""
        self._retry_at[job_id] = self._clock.monotonic() + seconds

    def _report_source_state(self, source: str, reason: str) -> None:
        """Emits an event when a source of specs fails or recovers.

        Args:
            source: the changes of the table, or its rows.
            reason: why it fails; empty if it works.
        """
        if bool(reason) == (source in self._failing_sources):
            return
        if reason:
            self._failing_sources.add(source)
        else:
            self._failing_sources.remove(source)
        state = "lost" if reason else "back"
        self._emit(events.Dependency(source, state, reason))
