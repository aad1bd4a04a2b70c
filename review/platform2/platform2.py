"""A small platform on loopback: store, minions, machines and advice.

Uses the standard library alone. It follows the pages of the platform and has
no faults of its own; a script switches the disruptions on.
"""

import base64
from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
import contextlib
import dataclasses
import http.client
import http.server
import itertools
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
from typing import Any
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent.parent

HOST = "127.0.0.1"
ANSWER_S = 0.004
HEARTBEAT_S = 1.5
MAX_HOLD_MS = 10_000
STOP_S = 0.2
HISTORY_S = 20.0
POLL_S = 0.01
WARM_UP_S = 0.3
READY_S = 25.0

Answer = tuple[int, dict[str, Any]]


class CannotRunError(Exception):
    """The case can't run here, so it shows nothing."""


class Record:
    """Writes what was sent, answered and run to a file."""

    def __init__(self, path: pathlib.Path):
        self._file = path.open("w", encoding="utf-8")
        self._lock = threading.Lock()
        self._began_at = time.monotonic()

    @property
    def seconds(self) -> float:
        """Seconds since the beginning."""
        return time.monotonic() - self._began_at

    def write(self, text: str) -> None:
        """Writes one line with the time."""
        with self._lock:
            self._file.write(f"{self.seconds:8.3f} {text}\n")
            self._file.flush()


class _Handler(http.server.BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = -1
    answer: Callable[[str, str, Mapping[str, str], bytes], Answer | None]

    def _serve(self) -> None:
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        answer = type(self).answer(
            self.command, self.path, dict(self.headers.items()), body
        )
        if answer is None:
            self.close_connection = True
            return
        status, document = answer
        content = json.dumps(document, separators=(",", ":")).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(content)))
        self.end_headers()
        self.wfile.write(content)

    do_GET = _serve  # noqa: N815
    do_POST = _serve  # noqa: N815
    do_PUT = _serve  # noqa: N815
    do_DELETE = _serve  # noqa: N815

    def log_message(self, format: str, *args: Any) -> None:  # noqa: A002
        """Writes no access log."""
        del format, args


class _Listener(http.server.ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 128

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Ignores connections that the other end broke."""
        del request, client_address


def serve(
    answer: Callable[[str, str, Mapping[str, str], bytes], Answer | None],
) -> _Listener:
    """Serves calls on a free port, each in a thread of its connection."""
    handler = type("Handler", (_Handler,), {"answer": staticmethod(answer)})
    listener = _Listener((HOST, 0), handler)
    threading.Thread(target=listener.serve_forever, daemon=True).start()
    return listener


def address_of(listener: _Listener) -> str:
    """Returns the "ip:port" of a listener."""
    return f"{HOST}:{listener.server_address[1]}"


@dataclasses.dataclass(frozen=True)
class _Change:
    at: float
    version: int
    address: tuple[str, str, str]
    value: str | None

    def document(self) -> dict[str, Any]:
        table, part, key = self.address
        row: dict[str, Any] = {
            "table": table,
            "part": part,
            "key": key,
            "row_version": self.version,
        }
        if self.value is None:
            row["removed"] = True
        else:
            row["value"] = self.value
        return row


class Store:
    """The platform's store of rows."""

    def __init__(self) -> None:
        self._changed = threading.Condition()
        self._rows: dict[tuple[str, str, str], _Change] = {}
        self._history: list[_Change] = []
        self._forgotten = 0
        self._version = 0
        self._clock_offset_s = 0.0
        self.answer_s = ANSWER_S

    @property
    def now_ms(self) -> int:
        """The store's steady clock."""
        return int((time.monotonic() + self._clock_offset_s) * 1000)

    def advance_clock(self, seconds: float) -> None:
        """Lets time pass at the store, while no process runs."""
        self._clock_offset_s += seconds

    def forget_history(self) -> None:
        """Discards the history of changes."""
        with self._changed:
            self._forgotten = self._version
            self._history.clear()
            self._changed.notify_all()

    def put(self, table: str, key: str, document: Mapping[str, Any]) -> None:
        """Writes a row as operators and minions do."""
        packed = base64.b64encode(json.dumps(document).encode()).decode()
        with self._changed:
            self._version += 1
            self._apply((table, "", key), packed)

    def drop(self, table: str, key: str) -> None:
        """Removes a row as the platform does."""
        with self._changed:
            self._version += 1
            self._apply((table, "", key), None)

    def document(self, table: str, part: str, key: str) -> Any:
        """Returns a row's document, None if there is none."""
        row = self._rows.get((table, part, key))
        if row is None or row.value is None:
            return None
        return json.loads(base64.b64decode(row.value))

    def count(self, table: str) -> int:
        """Returns the number of rows of a table."""
        with self._changed:
            return sum(1 for address in self._rows if address[0] == table)

    def answer(self, method: str, target: str, body: bytes) -> Answer:
        """Answers a call."""
        del method
        time.sleep(self.answer_s)
        path, _, text = target.partition("?")
        query = dict(urllib.parse.parse_qsl(text))
        if path == "/-/rows-tx":
            return self._transact(json.loads(body))
        if path == "/-/rows-get":
            return self._get(query)
        if path == "/-/rows-feed":
            return self._feed(query)
        if path == "/-/rows-parts":
            return self._parts(query)
        return 404, {}

    def _transact(self, body: Mapping[str, Any]) -> Answer:
        with self._changed:
            expected = [
                (_address(row), row["row_version"])
                for row in body.get("expected", ())
            ]
            if any(
                self._version_of(address) != version
                for address, version in expected
            ):
                found = [
                    self._rows[address].document()
                    for address, _ in expected
                    if address in self._rows
                ]
                return 412, self._stamped({"rows": found})
            if any(
                row["table"] in ("op", "servers")
                for kind in ("writes", "remove")
                for row in body.get(kind, ())
            ):
                return 403, {}
            self._version += 1
            for row in body.get("writes", ()):
                self._apply(_address(row), row["value"])
            for row in body.get("remove", ()):
                self._apply(_address(row), None)
            return 200, self._stamped({})

    def _get(self, query: Mapping[str, str]) -> Answer:
        begin, end = query.get("from", ""), query.get("to", "")
        limit = min(int(query.get("limit", "500")), 500)
        with self._changed:
            found = sorted(
                (
                    change
                    for (table, part, key), change in self._rows.items()
                    if table == query["table"]
                    and part == query.get("part", "")
                    and key >= begin
                    and (not end or key < end)
                ),
                key=lambda change: change.address,
            )
            return 200, self._stamped(
                {
                    "rows": [change.document() for change in found[:limit]],
                    "more_pages": len(found) > limit,
                }
            )

    def _feed(self, query: Mapping[str, str]) -> Answer:
        after = int(query["after"])
        until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        with self._changed:
            while True:
                if after < self._forgotten:
                    return 410, {}
                found = [
                    change.document()
                    for change in self._history
                    if change.version > after
                    and change.address[0] == query["table"]
                ]
                left_s = until - time.monotonic()
                if found or left_s <= 0:
                    return 200, self._stamped({"rows": found})
                self._changed.wait(left_s)

    def _parts(self, query: Mapping[str, str]) -> Answer:
        with self._changed:
            parts = sorted(
                {
                    part
                    for table, part, _ in self._rows
                    if table == query["table"] and part > query.get("after", "")
                }
            )
        return 200, {"parts": parts[:1000], "more_pages": len(parts) > 1000}

    def _stamped(self, answer: dict[str, Any]) -> dict[str, Any]:
        return answer | {"row_version": self._version, "now_ms": self.now_ms}

    def _version_of(self, address: tuple[str, str, str]) -> int:
        row = self._rows.get(address)
        return row.version if row else 0

    def _apply(self, address: tuple[str, str, str], value: str | None) -> None:
        now = time.monotonic()
        change = _Change(now, self._version, address, value)
        if value is None:
            self._rows.pop(address, None)
        else:
            self._rows[address] = change
        self._history.append(change)
        while self._history[0].at < now - HISTORY_S:
            self._forgotten = self._history.pop(0).version
        self._changed.notify_all()


def _address(row: Mapping[str, Any]) -> tuple[str, str, str]:
    return row["table"], row.get("part", ""), row["key"]


@dataclasses.dataclass
class _Run:
    task: str
    number: int
    spec: str
    started_at: float
    ends_at: float | None
    stops_at: float | None = None


class Minion:
    """One life of a machine: runs tasks under leases.

    A task's spec is "work=SECONDS", or "lasts".
    """

    def __init__(
        self,
        platform: "Platform",
        name: str,
        machine: str,
        service: str,
    ):
        self._platform = platform
        self.name = name
        self.machine = machine
        self.service = service
        self.state = "ready"
        self.capacity = {"cpu": 16_000, "mem_mb": 32_768, "gpu": 0}
        self._changed = threading.Condition()
        self._born = time.monotonic()
        self._deadline_ms = 0.0
        self._token = 0
        self.runs: dict[str, _Run] = {}
        self._highest: dict[str, int] = {}
        self._numbers = itertools.count(1)
        self._ends: list[list[Any]] = []
        self._left = False
        self._listener = serve(self._answer)
        self.address = address_of(self._listener)
        for loop in (self._tick, self._beat):
            threading.Thread(target=loop, daemon=True).start()

    @property
    def clock_ms(self) -> int:
        """The minion's own steady clock."""
        return int((time.monotonic() - self._born) * 1000)

    def leave(self) -> None:
        """Ends with all that it runs, and takes its entry away."""
        self.crash()
        self._platform.store.drop("servers", self.name)

    def crash(self) -> None:
        """Ends with all that it runs; nothing answers at its address."""
        with self._changed:
            self._left = True
            for run in self.runs.values():
                self._platform.on_end(self, run.task, run.number, "lost")
            self.runs.clear()
            self._changed.notify_all()
        self._listener.shutdown()
        self._listener.server_close()

    def _beat(self) -> None:
        sequence = 0
        while not self._left:
            sequence += 1
            self._platform.store.put(
                "servers",
                self.name,
                {
                    "service": self.service,
                    "address": self.address,
                    "zone": "zone-1",
                    "version": "1",
                    "slots": 8,
                    "state": self.state,
                    "cold_left_ms": 0,
                    "seq_no": sequence,
                    "capacity": self.capacity,
                    "labels": ["a", "r1"],
                },
            )
            time.sleep(HEARTBEAT_S)

    def _tick(self) -> None:
        while not self._left:
            time.sleep(POLL_S)
            now = time.monotonic()
            with self._changed:
                lapsed = self.clock_ms >= self._deadline_ms
                for run in list(self.runs.values()):
                    if lapsed:
                        self._end(run, "lapsed")
                    elif run.stops_at is not None and now >= run.stops_at:
                        self._end(run, "stopped")
                    elif run.ends_at is not None and now >= run.ends_at:
                        self._end(run, "done")

    def _end(self, run: _Run, how: str) -> None:
        del self.runs[run.task]
        self._ends.append([next(self._numbers), run.task, run.number, how, ""])
        self._platform.on_end(self, run.task, run.number, how)
        self._changed.notify_all()

    def _answer(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Answer | None:
        del method
        if self._left:
            return None
        if headers.get("X-Target-Instance") != self.name:
            return 421, {"clock_ms": self.clock_ms}
        order = json.loads(body)
        if path == "/-/hold":
            return self._hold(order)
        with self._changed:
            if order.get("fence_token", 0) < self._token:
                return self._refused("fence")
            self._token = order.get("fence_token", 0)
            if path == "/-/run-start":
                return self._start(order)
            if path == "/-/run-stop":
                return self._stop(order)
            if path == "/-/pace":
                return 200, {"clock_ms": self.clock_ms}
        return 404, {}

    def _refused(self, reason: str) -> Answer:
        return 409, {"clock_ms": self.clock_ms, "reason": reason}

    def _extend(self, deadline_ms: float) -> None:
        limit = self.clock_ms + MAX_HOLD_MS
        self._deadline_ms = max(self._deadline_ms, min(deadline_ms, limit))

    def _start(self, order: Mapping[str, Any]) -> Answer:
        task, number = order["task"], order["run"]
        current = self.runs.get(task)
        if current is not None and current.number == number:
            return 200, {"clock_ms": self.clock_ms}
        if number <= self._highest.get(task, 0):
            self._extend(order["deadline_ms"])
            return self._refused("old")
        if order["deadline_ms"] <= self.clock_ms:
            return self._refused("late")
        if not self._platform.accepts_ticket(
            task, self.name, order.get("ticket", "")
        ):
            self._platform.on_refused(self, task, number, "ticket")
            return self._refused("ticket")
        self._extend(order["deadline_ms"])
        self._highest[task] = number
        now = time.monotonic()
        spec = order["spec"]
        lasts = spec == "lasts"
        work_s = 0.0 if lasts else float(spec.partition("=")[2])
        self.runs[task] = _Run(
            task, number, spec, now, None if lasts else now + work_s
        )
        self._platform.on_start(self, task, number)
        return 200, {"clock_ms": self.clock_ms}

    def _stop(self, order: Mapping[str, Any]) -> Answer:
        task, number = order["task"], order["run"]
        self._highest[task] = max(self._highest.get(task, 0), number)
        run = self.runs.get(task)
        if run is not None and run.number == number and run.stops_at is None:
            run.stops_at = time.monotonic() + STOP_S
        return 200, {"clock_ms": self.clock_ms}

    def _hold(self, order: Mapping[str, Any]) -> Answer | None:
        until = time.monotonic() + order.get("wait_ms", 0) / 1000
        with self._changed:
            if order["fence_token"] < self._token:
                return self._refused("fence")
            self._token = order["fence_token"]
            if "deadline_ms" in order:
                self._extend(order["deadline_ms"])
            seen = order.get("ack_cursor", 0)
            self._platform.noted |= {
                end[1] for end in self._ends if end[0] <= seen
            }
            self._ends = [end for end in self._ends if end[0] > seen]
            while not self._ends and not self._left:
                left_s = until - time.monotonic()
                if left_s <= 0:
                    break
                self._changed.wait(left_s)
            if self._left:
                return None
            now = time.monotonic()
            return 200, {
                "clock_ms": self.clock_ms,
                "running": [
                    [run.task, run.number, "", _percent(run, now), 10]
                    for run in self.runs.values()
                ],
                "ended": self._ends[:500],
            }


def _percent(run: _Run, now: float) -> int:
    if run.ends_at is None:
        return 100 if now - run.started_at >= WARM_UP_S else 0
    whole_s = max(0.001, run.ends_at - run.started_at)
    return min(100, int(100 * (now - run.started_at) / whole_s))


class Platform:
    """Store, minions on their machines, list of machines and advice.

    Attributes:
        advised: ids of the jobs whose queue has a policy: a minion starts
            their tasks only with a valid ticket.
        starts: (seconds, task, run, minion) of each start.
        ends: (seconds, task, run, minion, how) of each end.
        refusals: (seconds, task, run, minion, reason) of refused starts.
        down: machines whose minion has crashed.
        noted: tasks of which an end was taken note of.
    """

    def __init__(self, record: Record, minions: int, service: str = "desk"):
        self.record = record
        self.store = Store()
        self.advised: set[str] = set()
        self.starts: list[tuple[float, str, int, str]] = []
        self.ends: list[tuple[float, str, int, str, str]] = []
        self.refusals: list[tuple[float, str, int, str, str]] = []
        self.noted: set[str] = set()
        self.down: set[str] = set()
        self._tickets: dict[str, tuple[str, str, float]] = {}
        self._ticket_numbers = itertools.count(1)
        self._advice_turn = threading.Lock()
        self.advice_ms = (20.0, 2.0, 3000.0)
        self._advice = serve(self._advise)
        self._calls = serve(self._answer)
        self.address = address_of(self._calls)
        self.advice_address = address_of(self._advice)
        self.minions = {
            f"m-{number}": Minion(self, f"w{number}-1", f"m-{number}", service)
            for number in range(minions)
        }

    @property
    def running_tasks(self) -> list[str]:
        """The tasks that run now, on all minions."""
        return [
            task
            for minion in self.minions.values()
            for task in list(minion.runs)
        ]

    @property
    def running_count(self) -> int:
        """How many tasks run now, on all minions."""
        return len(self.running_tasks)

    def replace_minions(self) -> None:
        """Ends the lives of all minions and begins new ones."""
        for machine, minion in list(self.minions.items()):
            minion.leave()
            self.begin_life(machine)

    def crash(self, machine: str) -> None:
        """Crashes the minion of a machine; its entry expires later."""
        minion = self.minions[machine]
        self.down.add(machine)
        self.record.write(f"{minion.name} on {machine} crashes")
        minion.crash()
        expiry = threading.Timer(
            3 * HEARTBEAT_S, self.store.drop, ("servers", minion.name)
        )
        expiry.daemon = True
        expiry.start()

    def begin_life(self, machine: str) -> None:
        """Begins the next life of a machine, with a new id."""
        former = self.minions[machine]
        name, _, life = former.name.rpartition("-")
        self.minions[machine] = Minion(
            self, f"{name}-{int(life) + 1}", machine, former.service
        )
        self.down.discard(machine)

    def on_start(self, minion: Minion, task: str, number: int) -> None:
        """Takes note of a start that a minion carries out."""
        self.starts.append((self.record.seconds, task, number, minion.name))
        self.record.write(f"{minion.name} starts {task} run {number}")

    def on_end(self, minion: Minion, task: str, number: int, how: str) -> None:
        """Takes note of the end of a run."""
        self.ends.append((self.record.seconds, task, number, minion.name, how))
        self.record.write(f"{minion.name} ends {task} run {number}: {how}")

    def on_refused(
        self, minion: Minion, task: str, number: int, reason: str
    ) -> None:
        """Takes note of a start that a minion rejects."""
        self.refusals.append(
            (self.record.seconds, task, number, minion.name, reason)
        )
        self.record.write(
            f"{minion.name} rejects {task} run {number}: {reason}"
        )

    def accepts_ticket(self, task: str, minion: str, ticket: str) -> bool:
        """Whether a start needs no ticket or carries a valid one."""
        if task.partition(".")[0] not in self.advised:
            return True
        step, holder, until = self._tickets.get(ticket, ("", "", 0.0))
        return (
            step == task.rpartition(".")[0]
            and holder == minion
            and time.monotonic() < until
        )

    def _advise(
        self, method: str, path: str, headers: Mapping[str, str], body: bytes
    ) -> Answer | None:
        del method, headers
        if path != "/-/advise":
            return 404, {}
        call = json.loads(body)
        decision_ms, period_ms, validity_ms = self.advice_ms
        with self._advice_turn:
            time.sleep((decision_ms + period_ms * len(call["workers"])) / 1000)
        good = []
        for worker in call["workers"]:
            ticket = f"t{next(self._ticket_numbers)}"
            until = time.monotonic() + validity_ms / 1000
            self._tickets[ticket] = (call["step"], worker, until)
            good.append([worker, ticket])
        return 200, {"good": good}

    def _answer(
        self, method: str, target: str, headers: Mapping[str, str], body: bytes
    ) -> Answer | None:
        del headers
        if target.startswith("/-/machines"):
            return 200, {
                "machines": [
                    {
                        "machine": minion.machine,
                        "pool": minion.service,
                        "state": (
                            "down" if minion.machine in self.down else "up"
                        ),
                        "zone": "zone-1",
                        "labels": ["a", "r1"],
                        "capacity": minion.capacity,
                        "id": (
                            None if minion.machine in self.down else minion.name
                        ),
                    }
                    for minion in self.minions.values()
                ]
            }
        if target in ("/-/machine-move", "/-/machine-upkeep"):
            return 409, {"reason": "busy"}
        return self.store.answer(method, target, body)


_PORTS = itertools.cycle(range(20_000, 32_000))
"""Below the ports that the kernel gives to connections, one of which could
otherwise take the port of a process while it is not there."""

for _ in range(os.getpid() * 97 % 12_000):
    next(_PORTS)


def _is_free(port: int) -> bool:
    with socket.socket() as probe:
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True


def _free_ports(count: int) -> list[int]:
    """Returns free ports in a row."""
    while True:
        first = next(_PORTS)
        ports = list(range(first, first + count))
        if all(map(_is_free, ports)):
            for _ in range(count - 1):
                next(_PORTS)
            return ports


class Edge:
    """A machine of the system: starts the command of the deploy file."""

    def __init__(self, name: str, folder: pathlib.Path, platform: Platform):
        self._platform = platform
        self.name = name
        frontend, ready, internal, metrics = _free_ports(4)
        self.entry = f"{HOST}:{frontend}"
        self.ready = f"{HOST}:{ready}"
        self._settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            SETTINGS.format(
                name=name,
                frontend=self.entry,
                ready=self.ready,
                first=internal,
                last=metrics,
                platform=platform.address,
                advice=platform.advice_address,
            )
        )
        self.process = self._start()

    def restart(self) -> None:
        """Starts the process again."""
        self.process = self._start()

    def _start(self) -> subprocess.Popen[bytes]:
        variables = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        variables["PYTHONPATH"] = str(ROOT / "target" / "deps")
        variables["VANILLASWITCH_SETTINGS"] = str(self._settings)
        self._platform.record.write(f"{self.name} starts")
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, "deploy/edge.py"],
                cwd=ROOT,
                env=variables,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process."""
        self._platform.record.write(f"{self.name} gets {number.name}")
        self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process if it is there."""
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()


SETTINGS = """node_name={name}
role=edge
machine_class=edge
serves=edge
ip=127.0.0.1
zone=zone-1
region=region-1
zones.zone-1=region-1
listen.frontend={frontend}
listen.ready={ready}
internal_ports={first},{last}
bootstrap=true
loss_counts=false
limits.cpu_share=0.537
limits.cpu_cores=2
limits.memory_mb=300
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
fault_tolerance.machines=1
fault_tolerance.zones=0
fault_tolerance.regions=0
bounds.seed_lag_s=3
bounds.addr_reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.catch_up_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.config_apply_ms=2000
bounds.rollback_slack_ms=250
bounds.max_skew_ms=5000
bounds.recovery_s=12
bounds.max_hold_ms=10000
bounds.stop_timeout_ms=400
bounds.gang_wait_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote_factor=2
bounds.checkpoint_s=0.5
bounds.restore_ms=600
bounds.notice_ms=4500
bounds.migrate_s=1.5
bounds.maintenance_s=2
bounds.enforce_fencing=true
bounds.lease_ms=3000
bounds.thaw_slack_ms=300
bounds.pacing_ms=100
bounds.impact_ms=4000
orders=request
advice={advice}
platform.address={platform}
platform.form=table
platform.writes_per_s=600
platform.reads_per_s=2000
platform.txn_ms=3.0
platform.appends_per_s=300
platform.row_bytes=65536
platform.cross_shard=true
platform.history_s=20
platform.blob_bytes=8388608
platform.blob_ms=25.0
platform.blob_per_s=80.0
cloud_api.address={platform}
cloud_api.rate_per_s=64.0
cloud_api.duties=
cloud_api.duty_per_s=64.0
"""


def call(
    record: Record,
    address: str,
    method: str,
    path: str,
    body: Mapping[str, Any] | None = None,
    timeout_s: float = 3.0,
) -> tuple[int, dict[str, Any]]:
    """Makes a client's call; the status is 0 if there was no answer."""
    host, _, port = address.partition(":")
    content = None if body is None else json.dumps(body)
    headers = {"Host": HOST, "X-Deadline-Ms": str(int(timeout_s * 1000))}
    if content is not None:
        headers["Content-Type"] = "application/json"
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout_s)
    try:
        connection.request(method, path, content, headers)
        response = connection.getresponse()
        raw = response.read()
        status = response.status
    except OSError as error:
        status, raw = 0, str(error).encode()
    except http.client.HTTPException as error:
        status, raw = 0, repr(error).encode()
    finally:
        connection.close()
    try:
        decoded = json.loads(raw)
    except ValueError:
        decoded = {}
    sent = "" if content is None else f" {content[:300]}"
    record.write(
        f"client {method} {address}{path}{sent} -> {status} {raw[:120]!r}"
    )
    return status, decoded if isinstance(decoded, dict) else {}


def wait_for(holds: Callable[[], bool], limit_s: float) -> bool:
    """Waits until something holds; returns whether it does."""
    until = time.monotonic() + limit_s
    while time.monotonic() < until:
        if holds():
            return True
        time.sleep(0.1)
    return holds()


def is_ready(platform: Platform, edge: Edge) -> bool:
    """Whether a machine says that it takes clients."""
    return call(platform.record, edge.ready, "GET", "/-/ready")[0] == 200


def unfinished_jobs(
    platform: Platform,
    job_ids: Sequence[str],
    steps: Sequence[Mapping[str, Any]],
) -> list[str]:
    """Returns the jobs of which a task has not ended done."""
    done = {task for _, task, _, _, how in platform.ends if how == "done"}
    return [
        job_id
        for job_id in job_ids
        if any(
            f"{job_id}.0.{number}.{index}" not in done
            for number, step in enumerate(steps)
            for index in range(step["count"])
        )
    ]


def queue(name: str, advice: Mapping[str, Any] | None = None) -> dict[str, Any]:
    """Returns a queue as a configuration spells it."""
    route: dict[str, Any] = {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": "desk",
        "priority": 0,
        "max_attempts": 4,
        "stretch": 1.6,
        "target_duration_ms": 600,
        "timeout_ms": 3000,
    }
    if advice is not None:
        route["advice"] = dict(advice)
    return route


def config(version: int, *queues: Mapping[str, Any]) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    return {
        "version": version,
        "routes": list(queues),
        "services": [{"name": "desk", "enforces_capacity": False}],
        "limits": {"max_body_bytes": 262144},
    }


@contextlib.contextmanager
def machines(platform: Platform, count: int) -> Iterator[list[Edge]]:
    """Starts the machines of the system, and ends them afterwards.

    Raises:
        CannotRunError: they did not get ready.
    """
    edges: list[Edge] = []
    with tempfile.TemporaryDirectory() as folder:
        try:
            for number in range(count):
                edges.append(
                    Edge(f"edge-{number}", pathlib.Path(folder), platform)
                )
            wait_until_ready(platform, edges)
            yield edges
        finally:
            for edge in edges:
                edge.end()


def wait_until_ready(platform: Platform, edges: Sequence[Edge]) -> None:
    """Waits until all machines take clients.

    Raises:
        CannotRunError: they do not get ready.
    """
    if not wait_for(
        lambda: all(is_ready(platform, edge) for edge in edges), READY_S
    ):
        raise CannotRunError("the machines did not get ready")


def main(folder: pathlib.Path, play: Callable[[Record], Sequence[str]]) -> None:
    """Plays a case and exits with its result.

    Args:
        folder: folder of the case.
        play: plays it; returns in what the rule was broken.
    """
    record = Record(folder / "record.txt")
    # A script that is told to stop still ends the processes that it started.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        breaks = play(record)
    except Exception as error:
        # Whatever fails in the script itself shows nothing about the rule.
        record.write(f"the case could not run: {error!r}")
        sys.exit(2)
    for one in breaks:
        record.write(f"broken: {one}")
        print(one)
    record.write("the rule was broken" if breaks else "the rule held")
    sys.exit(1 if breaks else 0)
