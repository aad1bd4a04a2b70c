"""Whole sessions in one process: callers, entries, minions and platform.

Everything that is said is recorded in its order. One request is on its way at
a time, and each entry prefers the minion of its own data centre, so that a
session goes the same way each time.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import json
import random
import re
import time

import gevent

from standins import fleet as fleet_lib
from standins import minion as minion_lib
from standins import minion_http
from standins import platform as platform_lib
from standins import raw_http
from tests.common import configs
from tests.common import records
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import requests
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.transport import sockets
from vanillaswitch.wiring import entry as entry_lib

WAIT_S = 30.0
"""A session that stands still for so long has failed."""

TIMEOUT_MS = 30_000
ATTEMPT_TIMEOUT_MS = 2000
_LOOPBACK = "127.0.0.1:0"


@dataclasses.dataclass(frozen=True)
class Ask:
    """What a caller asks for; ``key`` makes it one that runs once."""

    method: str
    target: str
    body: str = ""
    key: str = ""


@dataclasses.dataclass(frozen=True)
class Reply:
    """What a caller got; names of fields in lower case."""

    status: int
    fields: dict[str, str]
    body: bytes

    @property
    def outcome(self) -> str:
        """What is known of the request: "ran", "not-run" or "unknown"."""
        return self.fields[requests.HEADER_OUTCOME.lower()]


_TIME_LEFT = re.compile(r"(?<=^Request-Timeout-Ms: )\d+$")
"""What an attempt has left depends on how fast the machine is."""


class _Handler(minion_http.Handler):
    def handle_one_response(self):
        """Records a request, then serves it."""
        unread = self.wsgi_input
        body = unread.read()
        if not self.path.startswith("/_standin/"):
            head = [f"{self.command} {self.path}"]
            head += [f"{name}: {value}" for name, value in self.headers.items()]
            self.environ[minion_http.ENVIRON_MINION].heard(head, body)
        self.wsgi_input = _Read(body)
        super().handle_one_response()
        self.wsgi_input = unread


@dataclasses.dataclass(frozen=True)
class _Read:
    """A body that was read before."""

    content: bytes

    def read(self) -> bytes:
        """Returns the body."""
        return self.content


class Minion(minion_lib.Minion):
    """A stand-in minion that writes down what it gets and runs."""

    handler_class = _Handler

    def __init__(self, name: str, service: str, record: records.Record):
        super().__init__(service, 0.0, 8)
        self._name = name
        self._record = record

    def heard(self, head: list[str], body: bytes) -> None:
        """Records a request that came."""
        lines = [_TIME_LEFT.sub("<what is left>", line) for line in head]
        self._record.add(f"{self._name} gets", [*lines, body.decode()])

    def note_run(self, work) -> None:
        """Records a run."""
        super().note_run(work)
        self._record.add(f"{self._name} runs {work.request_id}")


class Session:
    """A running session; ``opened`` makes it."""

    def __init__(self, caller: str):
        self.record = records.Record()
        self.caller = caller
        self.issued_ms = int(time.time() * 1000)
        self.minions: dict[str, Minion] = {}
        self.entries: dict[str, entry_lib.Entry] = {}
        self.standin: fleet_lib.MemoryPlatform
        self._kept = {}
        self._rng = random.Random(2)
        self._sent = 0
        self._stack = contextlib.ExitStack()

    @property
    def runs(self) -> dict[str, int]:
        """How often each key ran at all minions together."""
        counts: dict[str, int] = {}
        for minion in self.minions.values():
            for key, count in minion.by_key.items():
                name = key.partition("/")[2]
                counts[name] = counts.get(name, 0) + count
        return counts

    @property
    def address(self) -> str:
        """The platform's "ip:port"."""
        return self._address

    def ask(self, ask: Ask, entry: str = "entry-1", timeout=True) -> Reply:
        """Sends a request, waits for all that comes of it."""
        connection = self.send(ask, entry, timeout)
        return self.read(connection, entry)

    def read(self, connection, entry: str) -> Reply:
        """Reads a reply, and waits for all that comes of its request."""
        message = raw_http.read_message(connection)
        self.settle()
        head, _, body = message.partition(b"\r\n\r\n")
        first, *fields = head.decode().split("\r\n")
        lines = [first, *fields, body.decode()]
        self.record.add(f"{self.caller} gets from {entry}", lines)
        pairs = (field.split(": ", 1) for field in fields)
        values = {name.lower(): value for name, value in pairs}
        return Reply(int(first.split()[1]), values, body)

    def send(self, ask: Ask, entry: str, timeout=True):
        """Sends a request and returns the connection, without reading."""
        self._sent += 1
        fields = [
            f"{ask.method} {ask.target} HTTP/1.1",
            "Host: entry",
            f"{requests.HEADER_CALLER_ID}: {self.caller}",
            f"{requests.HEADER_REQUEST_ID}: request-{self._sent}",
            f"Content-Length: {len(ask.body)}",
        ]
        if timeout:
            fields.append(f"{requests.HEADER_TIMEOUT_MS}: {TIMEOUT_MS}")
        if ask.key:
            fields.append(f"{requests.HEADER_IDEMPOTENCY_KEY}: {ask.key}")
            issued = f"{requests.HEADER_ISSUED_MS}: {self.issued_ms}"
            fields.append(issued)
        self.record.add(f"{self.caller} sends to {entry}", [*fields, ask.body])
        connection = self.connection(entry)
        connection.sendall(
            ("\r\n".join(fields) + "\r\n\r\n" + ask.body).encode()
        )
        return connection

    def connection(self, entry: str):
        """Returns the kept connection to an entry."""
        if entry not in self._kept:
            address = self.entries[entry].address
            connection = sockets.connect(address, WAIT_S)
            self._stack.callback(connection.close)
            self._kept[entry] = connection
        return self._kept[entry]

    def hang_up(self, entry: str) -> None:
        """Closes the connection to an entry, whatever it would say."""
        self._kept.pop(entry).close()

    def settle(self) -> None:
        """Waits until no slot is taken and no claim is open.

        The slot of an attempt that was given up on stays taken for a while,
        and entries prefer other minions until then; outcomes of claims are
        written behind.
        """
        entries = self.entries.values()
        self.wait(
            lambda: not any(one._handler.in_flight_by_minion for one in entries)
        )
        table = self.standin.table
        if table.faults.down:
            return
        self.wait(
            lambda: all(
                row.value["state"] != "claimed"
                for row in table.scan(keys.CLAIMS).rows
            )
        )

    def wait(self, done) -> None:
        """Lets all tasks run until ``done``."""
        with gevent.Timeout(WAIT_S):
            while not done():
                gevent.sleep(0.005)

    def apply(self, config: config_lib.Config, started_from: int = 0) -> None:
        """Puts a configuration in force everywhere."""
        outcome = rollout.apply(
            self.standin.interface,
            clocks.SystemClock(),
            self._rng,
            config,
            "operator",
            started_from,
        )
        assert isinstance(outcome, rollout.Applied)
        self.wait(lambda: all(e.ready()[0] for e in self.entries.values()))
        number = outcome.number
        self.wait(
            lambda: all(
                e.config_number == number for e in self.entries.values()
            )
        )

    def _begin(self, fleet: fleet_lib.Fleet) -> None:
        clock = clocks.SystemClock()
        members = tuple(self._member(member) for member in fleet.members)
        fleet = dataclasses.replace(fleet, members=members)
        self.standin = platform_lib.make_standin(fleet, clock)
        table = self.standin.table
        table.commit = records.recorded(self.record, table)
        self._address = self._stack.enter_context(
            platform_lib.running(self.standin, _LOOPBACK, clock)
        )

    def _member(self, member: fleet_lib.Member) -> fleet_lib.Member:
        listing = member.listing
        minion = Minion(listing.instance, listing.service, self.record)
        minion.listen(_LOOPBACK)
        self._stack.callback(minion.stop)
        self.minions[listing.instance] = minion
        return fleet_lib.Member(
            dataclasses.replace(listing, address=minion.address),
            minion.address,
        )

    def _start_entry(self, name: str, data_centre: str) -> None:
        seeds = tuple(one.peer_address for one in self.entries.values())
        settings = settings_lib.Settings(
            name, data_centre, self.address, _LOOPBACK, _LOOPBACK, seeds
        )
        self.entries[name] = self._stack.enter_context(entry_lib.run(settings))


def fleet_of(
    example: str, services: tuple[str, ...], numbers: str = "13"
) -> fleet_lib.Fleet:
    """Returns some minions of an example, by default in two data centres."""
    path = configs.EXAMPLES / example / "fleet.json"
    listings = json.loads(path.read_text())["instances"]
    names = [f"{s}-minion-{n}" for s in services for n in numbers]
    chosen = [one for one in listings if one["instance"] in names]
    return records.fleet(chosen)


def config_of(
    example: str, services: tuple[str, ...], **changes
) -> config_lib.Config:
    """Returns an example whose minions may say "not run" with 503."""
    config = configs.example(example)
    kept = {
        name: dataclasses.replace(
            config.services[name],
            not_run_statuses=(503,),
            attempt_timeout_ms=ATTEMPT_TIMEOUT_MS,
        )
        for name in services
    }
    return dataclasses.replace(
        config, services=kept, pools={}, jobs={}, waves={}, **changes
    )


@contextlib.contextmanager
def opened(
    example: str, caller: str, services: tuple[str, ...], numbers: str = "13"
) -> Iterator[Session]:
    """Yields two entries with some minions of an example, all in force."""
    session = Session(caller)
    fleet = fleet_of(example, services, numbers)
    centres = list(dict.fromkeys(m.listing.data_centre for m in fleet.members))
    with session._stack:
        session._begin(fleet)
        for number, centre in enumerate(centres[:2], start=1):
            session._start_entry(f"entry-{number}", centre)
        session.apply(config_of(example, services))
        yield session
