"""Client of the platform's store of rows: reads, commits and change feed.

``store_rows`` defines the partitions and the encoding of rows.
"""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import itertools
from typing import Any
import urllib.parse

import gevent
import gevent.event

from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import logs
from vanillaswitch.platform import http_calls
from vanillaswitch.platform import store_rows
from vanillaswitch.platform import validation
from vanillaswitch.protocol import change_feeds
from vanillaswitch.protocol import platform
from vanillaswitch.transport import minion_http
from vanillaswitch.transport import page_size
from vanillaswitch.transport import plain_http

CALL_TIMEOUT_S = 1.5
"""Time limit until the answer to a call begins, and for each pause in it. A
slow store answers in about half a second (60 times its usual 7 ms); a silent
connection must be given up well within a lease. There is no fixed limit for
the whole answer: its size depends on what operators wrote."""

FEED_MARGIN_S = 1.0
"""Time that a call for changes may take beyond its wait time."""

SUSPECT_CONNECTIONS_S = 0.1
"""Once a call has waited for (the next part of) its answer for this long, other
calls open new connections. The pooled connections may all have gone silent
together, and each would delay a call up to its time limit. An idle store
answers in 7 ms."""

OUTAGE_S = 1.0
"""A store that has answered nothing for this long was unavailable: one that is
60 times slower than usual answers in half that time."""

_OK = 200
_PRECONDITION_FAILED = 412
_GONE = 410
_NOT_APPLIED = frozenset({429, 503})


@dataclasses.dataclass(frozen=True)
class _PartitionRows:
    """The rows of one partition.

    Attributes:
        version: version of the first page; later pages may be newer.
    """

    rows: tuple[Mapping[str, Any], ...]
    version: int


class HttpTable:
    """Implements ``platform.Table`` and ``change_feeds.ChangeFeed``."""

    def __init__(
        self,
        client: plain_http.PlainClient,
        address: str,
        clock: clocks.Clock,
        on_store_clock: Callable[[float], None],
    ):
        """Creates a client of the store.

        Args:
            client: sends the calls.
            address: "ip:port" of the store.
            clock: measures how long calls take.
            on_store_clock: called with the store's monotonic clock, in
                milliseconds, for each response that contains it.
        """
        self._client = client
        self._address = address
        self._clock = clock
        self._on_store_clock = on_store_clock
        self._last_call_failed = False
        self._page_size = page_size.PageSize()
        self._unanswered_since: float | None = None
        self._recovered = gevent.event.Event()
        self._calls_in_flight: dict[int, float] = {}
        self._call_numbers = itertools.count()

    @property
    def unresponsive_s(self) -> float:
        """Seconds since the first call after the store last sent something.

        That is an answer or a part of one. It is 0 if there was no call since.
        """
        since = self._unanswered_since
        return 0.0 if since is None else self._clock.monotonic() - since

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows one by one, not as of one commit."""
        found: list[platform.Row] = []
        for key in keys:
            table, name = store_rows.split_key(key)
            partition = store_rows.partition_of(table, name)
            outcome = self._read_page(table, partition, name, name + "\0", 1)
            if isinstance(outcome, platform.Unavailable):
                return outcome
            found.extend(store_rows.decode_row(raw) for raw in outcome["rows"])
        return platform.Rows(tuple(found))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads rows whose keys start with ``prefix``, not as of one commit.

        Reads the whole table and filters it.
        """
        table, _ = store_rows.split_key(prefix)
        found: list[platform.Row] = []
        for partition in store_rows.partitions(table):
            result = self._read_partition(table, partition)
            if isinstance(result, platform.Unavailable):
                return result
            found.extend(store_rows.decode_row(raw) for raw in result.rows)
        wanted = sorted(
            (
                row
                for row in found
                if row.key.startswith(prefix) and row.key > after
            ),
            key=lambda row: row.key,
        )
        return platform.Rows(tuple(wanted[: limit or None]))

    def commit(
        self, transaction: platform.Transaction
    ) -> platform.CommitOutcome:
        """Sends a transaction once."""
        response = self._call(
            "POST",
            "/-/rows-tx",
            store_rows.encode_transaction(transaction),
            CALL_TIMEOUT_S,
        )
        if isinstance(response, http_calls.NoResponse):
            outcome_type = platform.OutcomeUnknown if response.sent else None
            return (outcome_type or platform.Unavailable)(response.reason)
        version = validation.safe_int(response.body.get("row_version"))
        if response.status == _OK and version is not None:
            return platform.Committed(version)
        if response.status == _OK:
            return platform.OutcomeUnknown("the response has no row_version")
        if response.status == _PRECONDITION_FAILED:
            rows = response.body.get("rows", [])
            if not _are_rows(rows):
                return platform.Unavailable("the response has invalid rows")
            return store_rows.decode_conflict(transaction, rows)
        if response.status in _NOT_APPLIED:
            return platform.Unavailable(f"status {response.status}")
        logs.error(
            "the store rejected a transaction: status {}, {}",
            response.status,
            validation.excerpt(response.body),
        )
        return platform.Unavailable(f"status {response.status}")

    def snapshot(
        self, table: str, parts: tuple[str, ...] = ()
    ) -> change_feeds.Snapshot | platform.Unavailable:
        """Reads all rows of a table, or only those in some of its partitions.

        Pages and partitions are read at different times. The snapshot has the
        lowest of their versions, so some rows may be newer than it; changes
        after that version repeat these rows.
        """
        wanted = parts or store_rows.partitions(table)
        greenlets = [
            gevent.spawn(self._read_partition, table, partition)
            for partition in wanted
        ]
        gevent.joinall(greenlets, raise_error=True)
        rows: list[change_feeds.RowChange] = []
        versions: list[int] = []
        unreadable: dict[str, str] = {}
        for partition, greenlet in zip(wanted, greenlets, strict=True):
            result = greenlet.value
            if isinstance(result, platform.Unavailable):
                unreadable[partition] = result.reason
                continue
            versions.append(result.version)
            rows.extend(
                store_rows.decode_change(table, raw) for raw in result.rows
            )
        reason = next(iter(unreadable.values()), "")
        if not versions:
            return platform.Unavailable(reason)
        return change_feeds.Snapshot(
            tuple(rows), min(versions), tuple(unreadable), reason
        )

    def _read_partition(
        self, table: str, partition: str
    ) -> _PartitionRows | platform.Unavailable:
        """Reads all pages of one partition."""
        rows: list[Mapping[str, Any]] = []
        first_key, version, limit = "", None, page_size.MIN_ROWS
        while True:
            started_at = self._clock.monotonic()
            outcome = self._read_page(table, partition, first_key, "", limit)
            if isinstance(outcome, platform.Unavailable):
                return outcome
            elapsed_s = self._clock.monotonic() - started_at
            limit = self._page_size.next_limit(len(outcome["rows"]), elapsed_s)
            if version is None:
                version = int(outcome["row_version"])
            page = outcome["rows"]
            rows.extend(page)
            if not page or not outcome.get("more_pages"):
                return _PartitionRows(tuple(rows), version)
            first_key = str(page[-1]["key"]) + "\0"

    def changes(
        self,
        table: str,
        after: int,
        wait_s: float,
        max_bytes: int | None = None,
    ) -> change_feeds.ChangesOutcome:
        """Waits for changes of a table after a version."""
        too_large = gevent.event.Event()

        def check_size(received: int, announced: int) -> None:
            if max_bytes is not None and max(received, announced) > max_bytes:
                too_large.set()

        query = urllib.parse.urlencode(
            {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        )
        response = self._call_until_recovered(
            "GET",
            f"/-/rows-feed?{query}",
            None,
            wait_s + FEED_MARGIN_S,
            self._suspects_pooled_connections(),
            check_size,
            too_large,
        )
        if too_large.is_set() and isinstance(response, http_calls.NoResponse):
            return change_feeds.ChangesTooLarge()
        if isinstance(response, http_calls.NoResponse):
            return platform.Unavailable(response.reason)
        self._on_response(response)
        if response.status == _GONE:
            return change_feeds.HistoryTruncated()
        if response.status != _OK:
            return platform.Unavailable(f"status {response.status}")
        if not _is_row_page(response.body):
            return platform.Unavailable(
                "the response has no rows or row_version"
            )
        rows = response.body["rows"]
        return change_feeds.ChangeBatch(
            tuple(store_rows.decode_change(table, raw) for raw in rows),
            int(response.body["row_version"]),
        )

    def _read_page(
        self,
        table: str,
        partition: str,
        first_key: str,
        end_key: str,
        limit: int,
    ) -> Mapping[str, Any] | platform.Unavailable:
        fields: dict[str, Any] = {"table": table, "part": partition}
        if first_key:
            fields["from"] = first_key
        if end_key:
            fields["to"] = end_key
        fields["limit"] = limit
        query = urllib.parse.urlencode(fields)
        response = self._call(
            "GET", f"/-/rows-get?{query}", None, CALL_TIMEOUT_S
        )
        if isinstance(response, http_calls.NoResponse):
            return platform.Unavailable(response.reason)
        if response.status != _OK:
            return platform.Unavailable(f"status {response.status}")
        if not _is_row_page(response.body):
            return platform.Unavailable(
                "the response has no rows or row_version"
            )
        return response.body

    def _suspects_pooled_connections(self) -> bool:
        """Returns whether pooled connections may have gone silent.

        Connections to the store may go silent together. So all are suspect if
        the last call got no answer or a current one has waited too long.
        """
        oldest = min(self._calls_in_flight.values(), default=None)
        if oldest is None:
            return self._last_call_failed
        return (
            self._last_call_failed
            or self._clock.monotonic() - oldest > SUSPECT_CONNECTIONS_S
        )

    def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
    ) -> http_calls.JsonResponse | http_calls.NoResponse:
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.monotonic()
        fresh = self._suspects_pooled_connections()
        number = next(self._call_numbers)
        started_at = self._clock.monotonic()
        self._calls_in_flight[number] = started_at
        send = self._call_until_recovered if body is None else self._send

        def record_progress(*_: int) -> None:
            # A call that was given up may report once more.
            if number in self._calls_in_flight:
                self._calls_in_flight[number] = self._clock.monotonic()

        try:
            response = send(
                method, target, body, timeout_s, fresh, record_progress
            )
        finally:
            del self._calls_in_flight[number]
        self._last_call_failed = isinstance(response, http_calls.NoResponse)
        if isinstance(response, http_calls.JsonResponse):
            self._page_size.record_call(self._clock.monotonic() - started_at)
            self._on_response(response)
        return response

    def _send(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
        fresh: bool,
        on_progress: minion_http.OnProgress = minion_http.ignore_progress,
    ) -> http_calls.JsonResponse | http_calls.NoResponse:
        return http_calls.call(
            self._client,
            self._address,
            method,
            target,
            body,
            timeout_s=timeout_s,
            fresh=fresh,
            on_progress=on_progress,
        )

    def _call_until_recovered(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
        fresh: bool,
        on_progress: minion_http.OnProgress = minion_http.ignore_progress,
        too_large: gevent.event.Event | None = None,
    ) -> http_calls.JsonResponse | http_calls.NoResponse:
        """Makes a read-only call; gives it up when the store recovers.

        After an outage the store answers new calls, but not those that it got
        during the outage. So an answer to any other call ends this one early,
        unless its own answer has begun to arrive.

        Args:
            method: HTTP method.
            target: path and query.
            body: JSON object; None for an empty body.
            timeout_s: see ``http_calls.call``.
            fresh: use a new connection instead of a pooled one.
            on_progress: called while the answer arrives in parts.
            too_large: set by ``on_progress`` if the answer is too large, which
                ends the call.
        """
        has_begun = False

        def record_progress(received: int, announced: int) -> None:
            nonlocal has_begun
            has_begun = True
            self._record_activity()
            on_progress(received, announced)

        if too_large is None:
            too_large = gevent.event.Event()
        greenlet = gevent.spawn(
            self._send, method, target, body, timeout_s, fresh, record_progress
        )
        try:
            gevent.wait([greenlet, self._recovered, too_large], count=1)
            if not greenlet.ready() and not has_begun:
                return http_calls.NoResponse(
                    True, "sent during an outage that is over"
                )
            gevent.wait([greenlet, too_large], count=1)
            if not greenlet.ready():
                return http_calls.NoResponse(True, "the answer is too large")
            response: http_calls.JsonResponse | http_calls.NoResponse = (
                greenlet.get()
            )
            return response
        finally:
            # Also runs when the calling greenlet is killed.
            greenlet.kill(block=False)

    def _record_activity(self) -> None:
        """Ends the calls that were sent during an outage, if there was one."""
        if self.unresponsive_s > OUTAGE_S:
            self._recovered.set()
            self._recovered = gevent.event.Event()
        self._unanswered_since = None

    def _on_response(self, response: http_calls.JsonResponse) -> None:
        """Records that the store answers and passes its clock on."""
        self._record_activity()
        now_ms = validation.finite_float(response.body.get("now_ms"))
        if now_ms is not None:
            self._on_store_clock(now_ms)


def _is_row_page(body: Mapping[str, Any]) -> bool:
    """Returns whether a response holds rows and their version."""
    has_version = validation.safe_int(body.get("row_version")) is not None
    return has_version and _are_rows(body.get("rows"))


def _are_rows(raw: Any) -> bool:
    """Returns whether a field of a response is a list of rows."""
    return isinstance(raw, list) and all(map(store_rows.is_row, raw))
