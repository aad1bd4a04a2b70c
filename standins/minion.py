"""A stand-in minion: works for a while and counts every run.

Run it with ``python -m standins.minion --listen 127.0.0.1:0 --service s``; it
prints its address as one line of JSON.
"""

import collections
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import json
from typing import Any

import click
import gevent
import gevent.event
import gevent.lock
import gevent.pool

from standins import minion_http
from standins import minion_switches
from standins import minion_work
from vanillaswitch.transport import sockets


class Minion:
    """Works on requests; ``run_minion`` makes it and lets it listen.

    Attributes:
        handler_class: serves its connections; a test may put in its own.
    """

    handler_class: type[minion_http.Handler] = minion_http.Handler

    def __init__(self, service: str, work_ms: float, slots: int):
        self.service = service
        self.switches = minion_switches.SwitchBoard()
        self._work_ms = work_ms
        self._slots = gevent.lock.BoundedSemaphore(slots)
        self._by_request: collections.Counter[str] = collections.Counter()
        self._by_key: collections.Counter[str] = collections.Counter()
        self._received = 0
        self._received_rebooting = 0
        self._in_flight = 0
        self._over_subscribed = 0
        self._address = ""
        self._server: sockets.HttpServer | None = None
        self._connections = gevent.pool.Pool()
        self._seen = gevent.event.Event()

    @property
    def address(self) -> str:
        """The "ip:port" that it listens on."""
        return self._address

    @property
    def by_request(self) -> Mapping[str, int]:
        """How often each request id was run."""
        return self._by_request

    @property
    def by_key(self) -> Mapping[str, int]:
        """How often each "caller/key" was run."""
        return self._by_key

    @property
    def received(self) -> int:
        """How many requests came, run or not."""
        return self._received

    @property
    def received_rebooting(self) -> int:
        """How many requests came while it rebooted or was down."""
        return self._received_rebooting

    @property
    def over_subscribed(self) -> int:
        """How many requests had to wait for a slot."""
        return self._over_subscribed

    @property
    def open_connections(self) -> int:
        """How many connections are open."""
        return len(self._connections)

    def runs(self) -> dict[str, Any]:
        """Returns all counts as a JSON document."""
        return {
            "service": self.service,
            "received": self._received,
            "in_flight": self._in_flight,
            "over_subscribed": self._over_subscribed,
            "by_request": dict(self._by_request),
            "by_key": dict(self._by_key),
        }

    def switch(self, **changes: object) -> None:
        """Changes some switches; see ``minion_switches.Switches``."""
        self.switches.set(**changes)
        if self.switches.now.refuse:
            self._stop_listening()
        elif self._server is None:
            self.listen(self._address)

    def listen(self, address: str) -> None:
        """Begins to accept connections."""
        self._server = sockets.HttpServer(
            sockets.listen(address),
            lambda *_: (),
            spawn=self._connections,
            handler_class=self.handler_class,
            environ={minion_http.ENVIRON_MINION: self},
        )
        self._address = self._server.bound
        self._server.start()

    def stop(self) -> None:
        """Closes the port and all connections."""
        self._stop_listening()
        self._connections.kill()

    def wait_for_received(self, count: int) -> None:
        """Waits until ``count`` requests came in all."""
        while self._received < count:
            self._seen.clear()
            self._seen.wait()

    def note_received(self) -> None:
        """Counts a request that came."""
        self._received += 1
        self._received_rebooting += self.switches.now.rebooting
        self._seen.set()

    @contextlib.contextmanager
    def working(self) -> Iterator[None]:
        """Counts a request as in flight until the block is left."""
        self._in_flight += 1
        try:
            yield
        finally:
            self._in_flight -= 1

    def do(self, work: minion_work.Work) -> None:
        """Runs a request: waits for a slot, counts it, works."""
        if self._slots.locked():
            self._over_subscribed += 1
        with self._slots:
            self.note_run(work)
            gevent.sleep(self._pause_ms() / 1000)

    def note_run(self, work: minion_work.Work) -> None:
        """Counts a run of a request."""
        self._by_request[work.request_id] += 1
        if work.key:
            self._by_key[f"{work.caller}/{work.key}"] += 1

    def _pause_ms(self) -> float:
        now = self.switches.now
        late_ms = now.late_ms if self.switches.take("late_next") else 0.0
        return self._work_ms + now.slow_ms + late_ms

    def _stop_listening(self) -> None:
        if self._server is not None:
            self._server.close()
            self._server = None


@contextlib.contextmanager
def run_minion(
    service: str = "berthing",
    work_ms: float = 0.0,
    slots: int = 8,
    listen: str = "127.0.0.1:0",
) -> Iterator[Minion]:
    """Yields a running minion and stops it afterwards."""
    minion = Minion(service, work_ms, slots)
    minion.listen(listen)
    try:
        yield minion
    finally:
        minion.stop()


@click.command()
@click.option("--listen", default="127.0.0.1:0", show_default=True)
@click.option("--service", required=True)
@click.option("--work-ms", default=5.0, show_default=True)
@click.option("--slots", default=8, show_default=True)
def main(listen: str, service: str, work_ms: float, slots: int) -> None:
    """Serves as a minion until it is stopped."""
    with run_minion(service, work_ms, slots, listen) as minion:
        click.echo(json.dumps({"address": minion.address, "service": service}))
        gevent.event.Event().wait()


if __name__ == "__main__":
    main()
