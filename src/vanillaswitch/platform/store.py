"""The platform's store of rows as the product's table, and its changes.

``store_rows`` tells where rows lie and how they are spelled.
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
from vanillaswitch.platform import calls
from vanillaswitch.platform import store_rows
from vanillaswitch.protocol import feeds
from vanillaswitch.protocol import platform
from vanillaswitch.transport import page_size
from vanillaswitch.transport import plain_http

CALL_TIMEOUT_S = 1.5
"""Limit for one call. A slow store answers in about half a second (60 times
its 7 ms); a silent connection has to be given up well within a lease."""

FEED_SLACK_S = 1.0
"""How much longer than its wait a call for changes may take."""

SUSPECT_S = 0.1
"""While a call has waited so long for its answer, others go on connections of
their own: the kept ones may have gone silent together, and each would hold
the call that meets it up to its time limit. An idle store answers in 7 ms."""

SILENT_S = 1.0
"""A store that answered nothing for so long was away: one that is 60 times
slower answers in half of it."""

_OK = 200
_CONFLICT = 412
_HISTORY_LOST = 410
_NOT_DONE = frozenset({429, 503})


@dataclasses.dataclass(frozen=True)
class _Read:
    """The rows of one part, and the version of their first page."""

    rows: tuple[Mapping[str, Any], ...]
    version: int


class Store:
    """Implements ``platform.Table`` and ``feeds.Feed``."""

    def __init__(
        self,
        client: plain_http.PlainClient,
        address: str,
        clock: clocks.Clock,
        heard: Callable[[float], None],
    ):
        """Makes a client of the store.

        Args:
            client: sends the calls.
            address: "ip:port" of the store.
            clock: tells how long calls take.
            heard: takes the store's steady clock, in milliseconds, from each
                answer that names it.
        """
        self._client = client
        self._address = address
        self._clock = clock
        self._heard = heard
        self._silent = False
        self._pages = page_size.PageSize()
        self._unanswered_since: float | None = None
        self._returned = gevent.event.Event()
        self._under_way: dict[int, float] = {}
        self._ids = itertools.count()

    @property
    def unanswered_s(self) -> float:
        """For how long calls have been made and none was answered."""
        since = self._unanswered_since
        return 0.0 if since is None else self._clock.monotonic() - since

    def read(self, keys: Sequence[str]) -> platform.ReadOutcome:
        """Reads rows one by one; each is as of its own moment."""
        found: list[platform.Row] = []
        for key in keys:
            table, name = store_rows.split(key)
            part = store_rows.part_of(table, name)
            outcome = self._page(table, part, name, name + "\0", 1)
            if isinstance(outcome, platform.Unavailable):
                return outcome
            found.extend(store_rows.decode(raw) for raw in outcome["rows"])
        return platform.Rows(tuple(found))

    def scan(
        self, prefix: str, after: str = "", limit: int = 0
    ) -> platform.ReadOutcome:
        """Reads the rows of a table whose keys start with ``prefix``."""
        table, _ = store_rows.split(prefix)
        found: list[platform.Row] = []
        for part in store_rows.parts(table):
            read = self._all(table, part)
            if isinstance(read, platform.Unavailable):
                return read
            found.extend(store_rows.decode(raw) for raw in read.rows)
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
        """Tries a transaction once."""
        reply = self._call(
            "POST",
            "/-/rows-tx",
            store_rows.transaction_body(transaction),
            CALL_TIMEOUT_S,
        )
        if isinstance(reply, calls.NoReply):
            kind = platform.OutcomeUnknown if reply.sent else None
            return (kind or platform.Unavailable)(reply.reason)
        version = reply.body.get("row_version")
        if reply.status == _OK and type(version) is int:
            return platform.Committed(version)
        if reply.status == _OK:
            return platform.OutcomeUnknown("an answer without a version")
        if reply.status == _CONFLICT:
            return store_rows.conflict(transaction, reply.body.get("rows", ()))
        if reply.status in _NOT_DONE:
            return platform.Unavailable(f"status {reply.status}")
        logs.error("the store refused a transaction: {}", reply)
        return platform.Unavailable(f"status {reply.status}")

    def snapshot(
        self, table: str, parts: tuple[str, ...] = ()
    ) -> feeds.Snapshot | platform.Unavailable:
        """Reads all rows of a table, or only those in some of its parts.

        Pages and parts are read at different moments, so a row may be newer
        than the version of the oldest; changes from there on repeat it.
        """
        wanted = parts or store_rows.parts(table)
        readings = [gevent.spawn(self._all, table, part) for part in wanted]
        gevent.joinall(readings, raise_error=True)
        rows: list[feeds.Change] = []
        versions: list[int] = []
        missing: dict[str, str] = {}
        for part, reading in zip(wanted, readings, strict=True):
            read = reading.value
            if isinstance(read, platform.Unavailable):
                missing[part] = read.reason
                continue
            versions.append(read.version)
            rows.extend(store_rows.change(table, raw) for raw in read.rows)
        reason = next(iter(missing.values()), "")
        if not versions:
            return platform.Unavailable(reason)
        return feeds.Snapshot(
            tuple(rows), min(versions), tuple(missing), reason
        )

    def _all(self, table: str, part: str) -> _Read | platform.Unavailable:
        """Reads all pages of one part."""
        rows: list[Mapping[str, Any]] = []
        begin, version, limit = "", None, page_size.LEAST_ROWS
        while True:
            asked_at = self._clock.monotonic()
            outcome = self._page(table, part, begin, "", limit)
            if isinstance(outcome, platform.Unavailable):
                return outcome
            took_s = self._clock.monotonic() - asked_at
            limit = self._pages.after(len(outcome["rows"]), took_s)
            if version is None:
                version = int(outcome["row_version"])
            page = outcome["rows"]
            rows.extend(page)
            if not page or not outcome.get("more_pages"):
                return _Read(tuple(rows), version)
            begin = str(page[-1]["key"]) + "\0"

    def changes(
        self, table: str, after: int, wait_s: float
    ) -> feeds.Changes | feeds.HistoryLost | platform.Unavailable:
        """Waits for changes of a table later than a version."""
        query = urllib.parse.urlencode(
            {"table": table, "after": after, "wait_ms": int(wait_s * 1000)}
        )
        reply = self._until_back(
            "GET",
            f"/-/rows-feed?{query}",
            None,
            wait_s + FEED_SLACK_S,
            self._distrusts_kept(),
        )
        if isinstance(reply, calls.NoReply):
            return platform.Unavailable(reply.reason)
        self._answered(reply)
        if reply.status == _HISTORY_LOST:
            return feeds.HistoryLost()
        if reply.status != _OK:
            return platform.Unavailable(f"status {reply.status}")
        if not _has_rows(reply.body):
            return platform.Unavailable("an answer without rows")
        rows = reply.body["rows"]
        return feeds.Changes(
            tuple(store_rows.change(table, raw) for raw in rows),
            int(reply.body["row_version"]),
        )

    def _page(
        self, table: str, part: str, begin: str, end: str, limit: int
    ) -> Mapping[str, Any] | platform.Unavailable:
        fields: dict[str, Any] = {"table": table, "part": part}
        if begin:
            fields["from"] = begin
        if end:
            fields["to"] = end
        fields["limit"] = limit
        query = urllib.parse.urlencode(fields)
        reply = self._call("GET", f"/-/rows-get?{query}", None, CALL_TIMEOUT_S)
        if isinstance(reply, calls.NoReply):
            return platform.Unavailable(reply.reason)
        if reply.status != _OK:
            return platform.Unavailable(f"status {reply.status}")
        if not _has_rows(reply.body):
            return platform.Unavailable("an answer without rows")
        return reply.body

    def _distrusts_kept(self) -> bool:
        """Whether kept connections may have gone silent.

        One of the same age as they are has: a call on it got no answer, or
        still waits for one.
        """
        oldest = min(self._under_way.values(), default=None)
        if oldest is None:
            return self._silent
        return self._silent or self._clock.monotonic() - oldest > SUSPECT_S

    def _call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
    ) -> calls.Reply | calls.NoReply:
        if self._unanswered_since is None:
            self._unanswered_since = self._clock.monotonic()
        fresh = self._distrusts_kept()
        number = next(self._ids)
        began_at = self._clock.monotonic()
        self._under_way[number] = began_at
        call = self._until_back if body is None else self._whole_call
        try:
            reply = call(method, target, body, timeout_s, fresh)
        finally:
            del self._under_way[number]
        self._silent = isinstance(reply, calls.NoReply)
        if isinstance(reply, calls.Reply):
            self._pages.answered(self._clock.monotonic() - began_at)
            self._answered(reply)
        return reply

    def _whole_call(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
        fresh: bool,
    ) -> calls.Reply | calls.NoReply:
        return calls.call(
            self._client,
            self._address,
            method,
            target,
            body,
            timeout_s=timeout_s,
            fresh=fresh,
        )

    def _until_back(
        self,
        method: str,
        target: str,
        body: Mapping[str, Any] | None,
        timeout_s: float,
        fresh: bool,
    ) -> calls.Reply | calls.NoReply:
        """Makes a call that changes nothing.

        One that a silent store was sent is given up as soon as another shows
        that it is back: it answers new calls, and not those that it met while
        it was away.
        """
        waiting = gevent.spawn(
            self._whole_call, method, target, body, timeout_s, fresh
        )
        try:
            gevent.wait([waiting, self._returned], count=1)
            if not waiting.ready():
                return calls.NoReply(True, "the store is back meanwhile")
            reply: calls.Reply | calls.NoReply = waiting.get()
            return reply
        finally:
            # Also when the task that asks is ended.
            waiting.kill(block=False)

    def _answered(self, reply: calls.Reply) -> None:
        if self.unanswered_s > SILENT_S:
            self._returned.set()
            self._returned = gevent.event.Event()
        self._unanswered_since = None
        now_ms = reply.body.get("now_ms")
        if isinstance(now_ms, int | float):
            self._heard(now_ms)


def _has_rows(body: Mapping[str, Any]) -> bool:
    """Whether an answer holds rows and the version that they are of."""
    whole = type(body.get("row_version")) is int
    return whole and isinstance(body.get("rows"), list)
