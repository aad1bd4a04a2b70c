"""Real processes of ``vanillaswitch edge`` on loopback."""

import itertools
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

from vanillaswitch.transport import sockets

_ROOT = pathlib.Path(__file__).parent.parent

_PORTS = itertools.count(20_000 + os.getpid() % 90 * 100)
"""Below the ports that the kernel hands to connections: one of those that was
free a moment ago may be taken by anybody's connection, and the process then
can't start."""


def config(version: int = 1, attempts: int = 2) -> dict[str, Any]:
    """Returns a configuration of one queue and its pool."""
    route = {
        "name": "quotes",
        "host": "127.0.0.1",
        "path_prefix": "/q/",
        "service": "pool",
        "max_attempts": attempts,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [{"name": "pool"}],
    }


def _is_free(port: int) -> bool:
    try:
        sockets.listen(f"127.0.0.1:{port}").close()
    except OSError:
        return False
    return True


def free_ports(count: int) -> int:
    """Returns the first of ``count`` ports in a row that are free."""
    while True:
        first = next(_PORTS)
        ports = range(first, first + count)
        if all(_is_free(port) for port in ports):
            for _ in ports:
                next(_PORTS)
            return first


class Edge:
    """One machine's process and where it is reached.

    Attributes:
        name: of the machine.
        entry: "ip:port" for clients.
        ready: "ip:port" for the balancer.
        process: the one that runs or ran last.
    """

    def __init__(
        self, name: str, folder: pathlib.Path, store: str, machines: str
    ):
        """Starts the process.

        Args:
            name: of the machine.
            folder: where its settings are written, and its log.
            store: "ip:port" of the platform's store.
            machines: "ip:port" of the platform's list of machines.
        """
        entry = free_ports(4)
        internal = entry + 2
        self.name = name
        self.entry = f"127.0.0.1:{entry}"
        self.ready = f"127.0.0.1:{entry + 1}"
        self._settings = folder / f"{name}.conf"
        self._log = folder / f"{name}.log"
        self._settings.write_text(
            f"node_name={name}\nip=127.0.0.1\n"
            f"listen.frontend={self.entry}\nlisten.ready={self.ready}\n"
            f"internal_ports={internal},{internal + 1}\n"
            f"platform.address={store}\ncloud_api.address={machines}\n"
        )
        self.process = self._start()

    @property
    def runs(self) -> bool:
        """Whether the process is there."""
        return self.process.poll() is None

    def restart(self) -> None:
        """Starts a new process after the last one ended."""
        self.process = self._start()

    def send(self, number: signal.Signals) -> None:
        """Sends the process a signal, if it is there."""
        if self.runs:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGKILL)
        self.process.wait()

    def _start(self) -> subprocess.Popen[bytes]:
        with self._log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, str(_ROOT / "deploy" / "edge.py")],
                env={
                    **os.environ,
                    "VANILLASWITCH_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
