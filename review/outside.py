"""Stand-ins for what surrounds the system: store, machine list, minions.

They speak what the users' pages say (PROTOCOL.md, DEPLOY.md) and use the
standard library alone, so that they depend on nothing of the project.
"""

import base64
import collections
from collections.abc import Callable
import contextlib
import dataclasses
import itertools
import json
import socket
import threading
import time
from typing import Any
import urllib.parse

MAX_CALL_BYTES = 1_048_576
"""Largest transaction, and largest page of rows."""

MAX_ENTRIES = 100
MAX_PAGE_ROWS = 500
HISTORY_S = 20.0

TICK_S = 0.01
UNANSWERED_S = 10.0
"""How long a connection stays open on which an answer got lost."""

STARTUP_S = 0.3
"""Time from the start of a task that lasts until it is at work."""

Answer = tuple[int, dict[str, Any]]


@dataclasses.dataclass(frozen=True)
class Call:
    """One HTTP request."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    size: int
    body: dict[str, Any]


class Record:
    """Writes what was sent, answered and run, one JSON object a line.

    Attributes:
        lines: what was written.
    """

    def __init__(self, path: str):
        self.lines: list[dict[str, Any]] = []
        self._file = open(path, "w", encoding="utf-8")  # noqa: SIM115
        self._lock = threading.Lock()
        self._began = time.monotonic()

    @property
    def now(self) -> float:
        """Seconds since the record began."""
        return time.monotonic() - self._began

    def add(self, who: str, what: str, **fields: Any) -> None:
        """Adds a line, unless the record is closed."""
        line = {"at": round(self.now, 3), "who": who, "what": what, **fields}
        with self._lock:
            if self._file.closed:
                return
            self.lines.append(line)
            self._file.write(json.dumps(line) + "\n")
            self._file.flush()

    def close(self) -> None:
        """Closes the file."""
        with self._lock:
            self._file.close()


class HttpService:
    """Serves HTTP/1.1 with JSON bodies, a thread for each connection."""

    def __init__(self, host: str, handle: Callable[[Call], Answer | None]):
        """Listens on a free port.

        Args:
            host: loopback address.
            handle: answers a call; None closes the connection unanswered.
        """
        self._handle = handle
        self._open: set[socket.socket] = set()
        self._listener = socket.create_server((host, 0), backlog=256)
        self.address = "{}:{}".format(*self._listener.getsockname())
        threading.Thread(target=self._accept, daemon=True).start()

    def close(self) -> None:
        """Ends all connections and accepts no more."""
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for connection in list(self._open):
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(
                target=self._serve, args=(connection,), daemon=True
            ).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._open.add(connection)
        try:
            self._serve_calls(connection)
        finally:
            self._open.discard(connection)

    def _serve_calls(self, connection: socket.socket) -> None:
        with (
            contextlib.suppress(OSError, ValueError),
            connection,
            connection.makefile("rb") as reader,
        ):
            while (call := _read_call(reader)) is not None:
                answer = self._handle(call)
                if answer is None:
                    return
                status, body = answer
                data = json.dumps(body).encode()
                head = (
                    f"HTTP/1.1 {status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                connection.sendall(head.encode() + data)


def _read_call(reader: Any) -> Call | None:
    line = reader.readline().decode("latin-1").split()
    if len(line) != 3:
        return None
    headers = {}
    while (field := reader.readline().decode("latin-1").strip()) != "":
        name, _, value = field.partition(":")
        headers[name.strip().lower()] = value.strip()
    data = reader.read(int(headers.get("content-length", "0")))
    path, _, query = line[1].partition("?")
    return Call(
        line[0],
        path,
        dict(urllib.parse.parse_qsl(query)),
        headers,
        len(data),
        json.loads(data) if data else {},
    )


Address = tuple[str, str, str]
"""Table, part and key of a row."""


class Platform:
    """The store and the list of machines, on one port."""

    def __init__(self, host: str, row_bytes: int = 65_536):
        self._row_bytes = row_bytes
        self._news = threading.Condition()
        self._rows: dict[Address, tuple[str, int]] = {}
        self._changes: list[tuple[float, int, Address, str | None]] = []
        self._forgotten = 0
        self._version = 0
        self.minions: list[Minion] = []
        self.rejected = 0
        self.machines: Machines | None = None
        self.service = HttpService(host, self._answer)

    @property
    def address(self) -> str:
        """Where it is called."""
        return self.service.address

    def write(self, table: str, key: str, document: dict[str, Any]) -> None:
        """Writes a row as operators and minions do."""
        packed = base64.b64encode(json.dumps(document).encode()).decode()
        with self._news:
            self._version += 1
            self._put((table, "", key), packed)
            self._news.notify_all()

    def remove(self, table: str, key: str) -> None:
        """Removes a row as minions do that leave."""
        with self._news:
            self._version += 1
            self._put((table, "", key), None)
            self._news.notify_all()

    def _put(self, address: Address, value: str | None) -> None:
        if value is None:
            self._rows.pop(address, None)
        else:
            self._rows[address] = (value, self._version)
        now = time.monotonic()
        self._changes.append((now, self._version, address, value))
        while self._changes[0][0] < now - HISTORY_S:
            self._forgotten = self._changes.pop(0)[1]

    def _answer(self, call: Call) -> Answer | None:
        if call.path == "/-/rows-tx":
            return self._transact(call)
        if call.path == "/-/rows-get":
            return self._page(call.query)
        if call.path == "/-/rows-feed":
            return self._feed(call.query)
        if self.machines is not None and call.path.startswith("/-/machine"):
            return self.machines.answer(call)
        if call.path == "/-/machines":
            return 200, {
                "machines": [minion.machine_entry for minion in self.minions],
                "next_token": None,
            }
        if call.path in ("/-/machine-move", "/-/machine-upkeep"):
            # One pool and no wave: nothing that may be asked for here.
            return 400, {}
        return 404, {}

    def _transact(self, call: Call) -> Answer:
        body = call.body
        expected = body.get("expected", [])
        writes = body.get("writes", [])
        removed = body.get("remove", [])
        sizes = [len(base64.b64decode(row["value"])) for row in writes]
        changed = writes + removed
        if any(row["table"] in ("op", "servers") for row in changed):
            return 403, {}
        if (
            call.size > MAX_CALL_BYTES
            or len(expected) + len(changed) > MAX_ENTRIES
            or max(sizes, default=0) > self._row_bytes
        ):
            self.rejected += 1
            return 400, {}
        time.sleep(0.003)
        with self._news:
            if any(
                self._rows.get(_address(row), ("", 0))[1] != row["row_version"]
                for row in expected
            ):
                found = [
                    self._document(_address(row))
                    for row in expected
                    if _address(row) in self._rows
                ]
                return 412, {"rows": found, **self._stamp()}
            self._version += 1
            for row in writes:
                self._put(_address(row), row["value"])
            for row in removed:
                self._put(_address(row), None)
            self._news.notify_all()
            return 200, self._stamp()

    def _stamp(self) -> dict[str, Any]:
        return {"row_version": self._version, "now_ms": _now_ms()}

    def _document(self, address: Address) -> dict[str, Any]:
        table, part, key = address
        value, version = self._rows[address]
        return {
            "table": table,
            "part": part,
            "key": key,
            "value": value,
            "row_version": version,
        }

    def _page(self, query: dict[str, str]) -> Answer:
        wanted = (query["table"], query.get("part", ""))
        begin, end = query.get("from", ""), query.get("to", "")
        limit = min(MAX_PAGE_ROWS, int(query.get("limit", MAX_PAGE_ROWS)))
        with self._news:
            found = sorted(
                address
                for address in self._rows
                if address[:2] == wanted
                and address[2] >= begin
                and (not end or address[2] < end)
            )
            rows: list[dict[str, Any]] = []
            size = 0
            for address in found[:limit]:
                row = self._document(address)
                size += len(row["value"]) + 200
                if rows and size > MAX_CALL_BYTES:
                    break
                rows.append(row)
            return 200, {
                "rows": rows,
                "more_pages": len(rows) < len(found),
                **self._stamp(),
            }

    def _feed(self, query: dict[str, str]) -> Answer:
        table, after = query["table"], int(query["after"])
        until = time.monotonic() + min(30_000, int(query["wait_ms"])) / 1000
        with self._news:
            while True:
                if after < self._forgotten:
                    return 410, {}
                rows = [
                    _changed_row(address, value, version)
                    for _, version, address, value in self._changes
                    if version > after and address[0] == table
                ]
                left_s = until - time.monotonic()
                if rows or left_s <= 0:
                    return 200, {"rows": rows, **self._stamp()}
                self._news.wait(left_s)


def _changed_row(
    address: Address, value: str | None, version: int
) -> dict[str, Any]:
    table, part, key = address
    row = {"table": table, "part": part, "key": key, "row_version": version}
    if value is None:
        return {**row, "removed": True}
    return {**row, "value": value}


def _address(row: dict[str, Any]) -> Address:
    return row["table"], row.get("part", ""), row["key"]


def _now_ms() -> int:
    return int(time.monotonic() * 1000)


class Machines:
    """The machines of two pools, one of them on standby, which may move.

    Attributes:
        loses_answers: moves are carried out and get no answer.
    """

    def __init__(
        self,
        platform: "Platform",
        host: str,
        record: Record,
        counts: dict[str, int],
        standby: str,
        migrate_s: float,
    ):
        self._platform = platform
        self._host = host
        self._record = record
        self._standby = standby
        self._migrate_s = migrate_s
        self._lock = threading.Lock()
        self._number = itertools.count()
        self._pools: dict[str, str] = {}
        self._tokens: dict[str, int] = {}
        self._moving: set[str] = set()
        self._minions: dict[str, Minion] = {}
        self.loses_answers = False
        for pool, count in counts.items():
            for _ in range(count):
                name = f"m-{len(self._pools)}"
                self._pools[name] = pool
                self._begin(name)

    def _begin(self, name: str) -> None:
        """Starts the minion of a machine, if its pool is not on standby."""
        pool = self._pools[name]
        if pool == self._standby:
            return
        minion = Minion(
            f"i-{next(self._number)}", name, pool, self._host, self._record
        )
        self._minions[name] = minion
        self._platform.minions.append(minion)
        minion.register(self._platform, 1.5)

    def answer(self, call: Call) -> Answer | None:
        """Answers a call about machines."""
        if call.path != "/-/machine-move":
            with self._lock:
                return 200, {"machines": self._list(), "next_token": None}
        is_lost = self.loses_answers
        with self._lock:
            answer = self._move(call)
        name = call.body["machine"]
        self._record.add(
            "machines",
            "order",
            machine=name,
            pool=call.body["pool"],
            status=answer[0],
            is_answered=not is_lost,
        )
        if not is_lost:
            return answer
        time.sleep(UNANSWERED_S)
        return None

    def _list(self) -> list[dict[str, Any]]:
        return [
            {
                "machine": name,
                "pool": pool,
                "state": "moving" if name in self._moving else "up",
                "zone": "zone-1",
                "labels": ["a", "r1"],
                "capacity": {"cpu": 16_000, "mem_mb": 65_536, "gpu": 0},
                "id": self._minions[name].name if name in self._minions else "",
            }
            for name, pool in self._pools.items()
        ]

    def _move(self, call: Call) -> Answer:
        name, pool = call.body["machine"], call.body["pool"]
        token = int(call.headers.get("x-fencing-token", "0"))
        if token < self._tokens.get(name, 0):
            return 409, {"reason": "fence"}
        self._tokens[name] = token
        if self._pools[name] == pool:
            return 200, {}
        if name in self._moving:
            return 409, {"reason": "busy"}
        self._record.add("machines", "moves", machine=name, pool=pool)
        self._pools[name] = pool
        self._moving.add(name)
        minion = self._minions.pop(name, None)
        if minion is not None:
            self._platform.minions.remove(minion)
            minion.leave(self._platform)
        threading.Timer(self._migrate_s, self._arrive, (name,)).start()
        return 200, {}

    def _arrive(self, name: str) -> None:
        with self._lock:
            self._moving.discard(name)
            self._record.add("machines", "arrived", machine=name)
            self._begin(name)


class Advisor:
    """The service at ``advice``: says which minions may run a step.

    It handles one call at a time, in turn; all calls come from one machine
    here. It answers 429 while ``MAX_WAITING`` calls wait.
    """

    MAX_WAITING = 32

    def __init__(self, host: str, decision_ms: float, period_ms: float):
        self._decision_s = decision_ms / 1000
        self._period_s = period_ms / 1000
        self._lock = threading.Lock()
        self._turns: collections.deque[threading.Event] = collections.deque()
        self._service = HttpService(host, self._answer)
        self.address = self._service.address
        self.answered = 0
        self.refused = 0

    def _answer(self, call: Call) -> Answer | None:
        workers = call.body["workers"]
        if len(workers) > 100:
            return 400, {}
        turn = threading.Event()
        with self._lock:
            if len(self._turns) > self.MAX_WAITING:
                self.refused += 1
                return 429, {}
            self._turns.append(turn)
            if len(self._turns) == 1:
                turn.set()
        turn.wait()
        time.sleep(self._decision_s + self._period_s * len(workers))
        with self._lock:
            self.answered += 1
            self._turns.popleft()
            if self._turns:
                self._turns[0].set()
        good = [[worker, f"t-{worker}"] for worker in workers[::2]]
        return 200, {"good": good, "validity_ms": 3000}


@dataclasses.dataclass
class Run:
    """A run of a task on a minion.

    Attributes:
        ends_at: when it ends by itself; None for never.
        how: how it ends then.
        stops_at: when a stop takes effect.
    """

    task: str
    number: int
    lasts: bool
    began_at: float
    ends_at: float | None
    how: str
    stops_at: float | None = None

    def percent(self, now: float) -> int:
        """Returns its progress; 100 means at work for a task that lasts."""
        if self.lasts:
            return 100 if now - self.began_at >= STARTUP_S else 0
        if self.ends_at is None:
            return 0
        share = (now - self.began_at) / max(0.001, self.ends_at - self.began_at)
        return min(99, int(100 * share))


class Minion:
    """Runs tasks under a lease, as PROTOCOL.md says.

    A job's spec is a JSON object that says how its tasks behave: ``work_ms``
    (how long a task works), ``serves_ms`` (a task that lasts ends `done` after
    that), ``fails`` (so many first runs of a task end `failed`).
    """

    def __init__(
        self,
        name: str,
        machine: str,
        service: str,
        host: str,
        record: Record,
        cpu: int = 16_000,
        max_hold_ms: int = 10_000,
        stop_ms: int = 100,
    ):
        self.name = name
        self._machine = machine
        self._service = service
        self._record = record
        self._capacity = {"cpu": cpu, "mem_mb": 65_536, "gpu": 0}
        self._max_hold_ms = max_hold_ms
        self._stop_s = stop_ms / 1000
        self._changed = threading.Condition()
        self._clock_began = time.monotonic()
        self._born = int(time.time() * 1000)
        self._token = 0
        self._deadline_ms = 0.0
        self._highest: dict[str, int] = {}
        self._runs: dict[tuple[str, int], Run] = {}
        self._ended: list[list[Any]] = []
        self._end_count = 0
        self._has_left = False
        self._server = HttpService(host, self._answer)
        self.address = self._server.address
        threading.Thread(target=self._tick, daemon=True).start()

    @property
    def direct_address(self) -> str:
        """Where it listens; ``address`` may name a link in front of it."""
        return self._server.address

    @property
    def run_count(self) -> int:
        """How many runs it has."""
        with self._changed:
            return len(self._runs)

    @property
    def cpu(self) -> int:
        """Its capacity, in thousandths of a core."""
        return self._capacity["cpu"]

    @property
    def tasks(self) -> set[str]:
        """Names of the tasks of which it has a run."""
        with self._changed:
            return {task for task, _ in self._runs}

    @property
    def jobs(self) -> set[str]:
        """Ids of the jobs of which it has a run."""
        return {task.partition(".")[0] for task in self.tasks}

    @property
    def machine_entry(self) -> dict[str, Any]:
        """Its line in the list of machines."""
        return {
            "machine": self._machine,
            "pool": self._service,
            "state": "up",
            "zone": "zone-1",
            "labels": ["a", "r1"],
            "capacity": self._capacity,
            "id": self.name,
        }

    def entry(self, sequence: int) -> dict[str, Any]:
        """Returns what it writes to the store."""
        return {
            "service": self._service,
            "address": self.address,
            "zone": "zone-1",
            "version": "1",
            "slots": 8,
            "state": "ready",
            "cold_left_ms": 0,
            "capacity": self._capacity,
            "labels": ["a", "r1"],
            "machine": self._machine,
            "seq_no": sequence,
            "born": self._born,
        }

    def register(self, platform: Platform, heartbeat_s: float) -> None:
        """Writes its entry now and every so many seconds."""

        def beat() -> None:
            sequence = 0
            while not self._has_left:
                sequence += 1
                platform.write("servers", self.name, self.entry(sequence))
                time.sleep(heartbeat_s)

        threading.Thread(target=beat, daemon=True).start()

    def leave(self, platform: Platform) -> None:
        """Ends it with all it runs; its entry goes from the store."""
        self._has_left = True
        self._server.close()
        with self._changed:
            for run in self._runs.values():
                self._record.add(
                    self.name,
                    "ended",
                    task=run.task,
                    run=run.number,
                    how="gone",
                )
            self._runs.clear()
        platform.remove("servers", self.name)

    @property
    def _clock_ms(self) -> float:
        return (time.monotonic() - self._clock_began) * 1000

    def _answer(self, call: Call) -> Answer | None:
        if call.headers.get("x-target-instance") != self.name:
            return 421, {}
        handlers = {
            "/-/run-start": self._start,
            "/-/run-stop": self._stop,
            "/-/hold": self._hold,
            "/-/pace": lambda body: self._stamped(200),  # noqa: ARG005
        }
        handle = handlers.get(call.path)
        if handle is None:
            return 404, {}
        with self._changed:
            token = call.body.get("fence_token", 0)
            if token < self._token:
                return self._refused("fence")
            self._token = token
            return handle(call.body)

    def _stamped(self, status: int, **fields: Any) -> Answer:
        return status, {"clock_ms": round(self._clock_ms), **fields}

    def _refused(self, reason: str) -> Answer:
        return self._stamped(409, reason=reason)

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        if (task, number) in self._runs:
            self._extend(body["deadline_ms"])
            return self._stamped(200)
        if number <= self._highest.get(task, 0):
            self._extend(body["deadline_ms"])
            return self._refused("old")
        if body["deadline_ms"] <= self._clock_ms:
            return self._refused("late")
        self._extend(body["deadline_ms"])
        run = _new_run(task, number, json.loads(body["spec"]))
        self._runs[task, number] = run
        self._record.add(self.name, "started", task=task, run=number)
        return self._stamped(200)

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self._runs.get((task, number))
        if run is not None and run.stops_at is None:
            run.stops_at = time.monotonic() + self._stop_s
        return self._stamped(200)

    def _hold(self, body: dict[str, Any]) -> Answer:
        seen = body.get("ack_cursor", 0)
        self._ended = [end for end in self._ended if end[0] > seen]
        if "deadline_ms" in body:
            self._extend(body["deadline_ms"])
        until = time.monotonic() + min(2000, body.get("wait_ms", 0)) / 1000
        while not self._ended and (left_s := until - time.monotonic()) > 0:
            self._changed.wait(left_s)
        now = time.monotonic()
        running = [
            [run.task, run.number, "", run.percent(now), 0]
            for run in self._runs.values()
        ]
        return self._stamped(
            200, born=self._born, running=running, ended=self._ended[:500]
        )

    def _extend(self, deadline_ms: float) -> None:
        most = self._clock_ms + self._max_hold_ms
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, most))

    def _tick(self) -> None:
        while True:
            time.sleep(TICK_S)
            with self._changed:
                self._end_due(time.monotonic())

    def _end_due(self, now: float) -> None:
        has_lapsed = self._clock_ms >= self._deadline_ms
        for key, run in list(self._runs.items()):
            if has_lapsed:
                how = "lapsed"
            elif run.stops_at is not None and now >= run.stops_at:
                how = "stopped"
            elif run.ends_at is not None and now >= run.ends_at:
                how = run.how
            else:
                continue
            del self._runs[key]
            self._highest[run.task] = max(
                self._highest.get(run.task, 0), run.number
            )
            self._end_count += 1
            self._ended.append([self._end_count, run.task, run.number, how, ""])
            self._record.add(
                self.name, "ended", task=run.task, run=run.number, how=how
            )
            self._changed.notify_all()


def _new_run(task: str, number: int, behaviour: dict[str, Any]) -> Run:
    now = time.monotonic()
    lasts = "work_ms" not in behaviour
    length_ms = behaviour.get("serves_ms" if lasts else "work_ms")
    how = "failed" if number <= behaviour.get("fails", 0) else "done"
    ends_at = None if length_ms is None else now + length_ms / 1000
    return Run(task, number, lasts, now, ends_at, how)


class Link:
    """A way to an address that can be cut; while cut, nothing passes it.

    A cut refuses new connections and holds what is on the open ones, whose
    ends notice nothing. Healing closes those and accepts new ones again.
    """

    def __init__(self, target: str):
        host, port = target.split(":")
        self._target = (host, int(port))
        self._is_cut = False
        self._open: list[socket.socket] = []
        self._listener = socket.create_server((host, 0), backlog=64)
        self._own = self._listener.getsockname()
        self.address = "{}:{}".format(*self._own)
        self._listen()

    def _listen(self) -> None:
        threading.Thread(
            target=self._accept, args=(self._listener,), daemon=True
        ).start()

    def cut(self) -> None:
        """Lets nothing pass any more."""
        self._is_cut = True
        with contextlib.suppress(OSError):
            self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()

    def heal(self) -> None:
        """Lets new connections pass; those from before are closed."""
        held, self._open = self._open, []
        for connection in held:
            connection.close()
        self._is_cut = False
        self._listener = socket.create_server(self._own, backlog=64)
        self._listen()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                near, _ = listener.accept()
                far = socket.create_connection(self._target)
            except OSError:
                return
            self._open += [near, far]
            for source, target in ((near, far), (far, near)):
                threading.Thread(
                    target=self._pass_on, args=(source, target), daemon=True
                ).start()

    def _pass_on(self, source: socket.socket, target: socket.socket) -> None:
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                while self._is_cut and source.fileno() >= 0:
                    time.sleep(TICK_S)
                target.sendall(data)
            target.shutdown(socket.SHUT_WR)
