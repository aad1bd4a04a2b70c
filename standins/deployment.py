"""Runs a whole deployment on loopback: real daemons over the stand-ins.

The daemons and the platform are processes; the minions run in the process of
the caller, so that their counts can be read directly.
"""

import collections
from collections.abc import Iterator
import contextlib
import dataclasses
import json
import pathlib
import signal
import sys
from typing import Any

import cattrs
import gevent
from gevent import subprocess
import geventhttpclient

from standins import callers
from standins import fleet as fleet_lib
from standins import minion as minion_lib
from vanillaswitch.protocol import platform
from vanillaswitch.state import settings as settings_lib

START_S = 20.0
_STOP_S = 20.0


class DeploymentError(Exception):
    """A process did not come up; its standard error says why."""


class Process:
    """One process that was started here."""

    def __init__(self, name: str, arguments: list[str], log: pathlib.Path):
        """Starts a process and reads its line of addresses."""
        self.name = name
        self._log = log
        with log.open("ab") as errors:
            self._popen = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdout=subprocess.PIPE,
                stderr=errors,
            )
        with gevent.Timeout(START_S, DeploymentError(f"{name}: see {log}")):
            line = self._popen.stdout.readline()
        if not line:
            raise DeploymentError(f"{name} ended: {log.read_text()[-2000:]}")
        self.addresses: dict[str, str] = json.loads(line)

    @property
    def pid(self) -> int:
        """Its process id."""
        pid: int = self._popen.pid
        return pid

    @property
    def running(self) -> bool:
        """Whether it has not ended."""
        return self._popen.poll() is None

    def stop(self) -> int:
        """Stops it gracefully and returns its exit code."""
        if self.running:
            self._popen.send_signal(signal.SIGTERM)
        code: int = self._popen.wait(timeout=_STOP_S)
        return code

    def kill(self) -> None:
        """Ends it at once."""
        if self.running:
            self._popen.kill()
            self._popen.wait()

    def freeze(self) -> None:
        """Pauses it: connections stay open, nothing moves."""
        self._popen.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Lets a paused process go on."""
        self._popen.send_signal(signal.SIGCONT)

    def page(self, name: str) -> dict[str, Any]:
        """Fetches one of its pages below ``/_/``."""
        return fetch(self.addresses["listen"], f"/_/{name}")


@dataclasses.dataclass(frozen=True)
class Shape:
    """How large a deployment is.

    Attributes:
        example: folder with ``config`` and ``fleet.json``.
        work_ms: how long a minion works on a request.
        reboot_s: how long a reboot takes.
        lease_s: term of a controller's session lease.
    """

    example: pathlib.Path
    entries: int = 3
    controllers: int = 3
    work_ms: float = 5.0
    reboot_s: float = 0.5
    lag_s: float = 0.5
    lease_s: float = 3.0


class Deployment:
    """A running deployment; ``run`` makes it."""

    def __init__(self, shape: Shape, folder: pathlib.Path):
        self.shape = shape
        self.folder = folder
        self.minions: dict[str, minion_lib.Minion] = {}
        self.entries: dict[str, Process] = {}
        self.controllers: dict[str, Process] = {}
        self.platform = ""
        self._data_centres: tuple[str, ...] = ()
        self._stack = contextlib.ExitStack()

    @property
    def callers_addresses(self) -> tuple[str, ...]:
        """Callers' "ip:port" of the entries that run."""
        return tuple(
            entry.addresses["listen"]
            for entry in self.entries.values()
            if entry.running
        )

    def start_entry(self, name: str, platform: str = "") -> Process:
        """Starts one more entry, or one in place of an ended one.

        Args:
            name: of the process.
            platform: "ip:port" that it asks in place of the platform's own.
        """
        number = len(self.entries)
        self.entries[name] = self._start("entry", name, number, platform)
        return self.entries[name]

    def start_controller(self, name: str, platform: str = "") -> Process:
        """Starts one more controller; see ``start_entry``."""
        number = len(self.controllers)
        self.controllers[name] = self._start(
            "controller", name, number, platform
        )
        return self.controllers[name]

    def command(self, *arguments: str) -> tuple[int, str]:
        """Runs an operator's command; returns exit code and output."""
        popen = subprocess.Popen(
            [sys.executable, "-m", "vanillaswitch", *arguments],
            stdout=subprocess.PIPE,
            stderr=subprocess.STDOUT,
        )
        output, _ = popen.communicate()
        return popen.returncode, output.decode()

    def switch_platform(self, path: str, **switches: object) -> None:
        """Sets a switch of the stand-in platform."""
        post(self.platform, f"/_standin/{path}", switches)

    def wait_ready(self) -> None:
        """Waits until every process that runs says that it is ready."""
        processes = [*self.entries.values(), *self.controllers.values()]
        with gevent.Timeout(START_S, DeploymentError("not ready in time")):
            for process in processes:
                while process.running and not process.page("ready")["ready"]:
                    gevent.sleep(0.05)

    def runs(self) -> dict[str, int]:
        """Returns how often each "caller/key" ran at all minions together."""
        counts: dict[str, int] = {}
        for minion in self.minions.values():
            for key, count in minion.by_key.items():
                counts[key] = counts.get(key, 0) + count
        return counts

    def counts(self) -> callers.Counts:
        """Returns what all minions together counted."""
        by_request: collections.Counter[str] = collections.Counter()
        for minion in self.minions.values():
            by_request.update(minion.by_request)
        return callers.Counts(self.runs(), by_request)

    def _begin(self) -> None:
        document = json.loads((self.shape.example / "fleet.json").read_text())
        listings = cattrs.structure(
            document["instances"], tuple[platform.Listing, ...]
        )
        members = tuple(self._member(listing) for listing in listings)
        self._data_centres = tuple(
            sorted({listing.data_centre for listing in listings})
        )
        fleet = fleet_lib.Fleet(
            members, lag_s=self.shape.lag_s, reboot_s=self.shape.reboot_s
        )
        path = self.folder / "fleet.json"
        path.write_text(json.dumps(cattrs.unstructure(fleet)))
        process = Process(
            "platform",
            ["standins.platform", "--fleet", str(path)],
            self.folder / "platform.log",
        )
        self._stack.callback(process.kill)
        self.platform = process.addresses["address"]

    def _member(self, listing: platform.Listing) -> fleet_lib.Member:
        if listing.kind is not platform.InstanceKind.MINION:
            return fleet_lib.Member(listing)
        minion = self._stack.enter_context(
            minion_lib.run_minion(listing.service, self.shape.work_ms)
        )
        self.minions[listing.instance] = minion
        return fleet_lib.Member(
            dataclasses.replace(listing, address=minion.address),
            minion.address,
        )

    def _start(
        self, daemon: str, name: str, number: int, platform: str
    ) -> Process:
        peers = [*self.entries.values(), *self.controllers.values()]
        seeds = tuple(p.addresses["peer"] for p in peers if p.running)
        settings = settings_lib.Settings(
            process=name,
            data_centre=self._data_centres[number % len(self._data_centres)],
            platform=platform or self.platform,
            peer_listen="127.0.0.1:0",
            listen="127.0.0.1:0",
            seeds=seeds[:4],
            lease_s=self.shape.lease_s,
        )
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(cattrs.unstructure(settings)))
        process = Process(
            name,
            ["vanillaswitch", daemon, str(path)],
            self.folder / f"{name}.log",
        )
        self._stack.callback(process.kill)
        return process


def fetch(address: str, path: str) -> dict[str, Any]:
    """Fetches a JSON document, whatever its status."""
    return _call(address, "GET", path, b"")


def post(address: str, path: str, document: object) -> None:
    """Posts a JSON document."""
    _call(address, "POST", path, json.dumps(document).encode())


def _call(address: str, method: str, path: str, body: bytes) -> dict[str, Any]:
    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(host, int(port))
    try:
        response = client.request(method, path, body=body)
        content = bytes(response.read())
        return json.loads(content) if content else {}
    finally:
        client.close()


@contextlib.contextmanager
def run(shape: Shape, folder: pathlib.Path) -> Iterator[Deployment]:
    """Yields a running deployment and ends all of it afterwards.

    Args:
        shape: how large it is.
        folder: where settings and logs go.
    """
    deployment = Deployment(shape, folder)
    try:
        deployment._begin()
        for number in range(shape.entries):
            deployment.start_entry(f"entry-{number + 1}")
        for number in range(shape.controllers):
            deployment.start_controller(f"controller-{number + 1}")
        yield deployment
    finally:
        deployment._stack.close()
