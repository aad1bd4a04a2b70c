"""Real processes of ``vanillaswitch edge`` on loopback."""

from collections.abc import Iterator
import os
import pathlib
import signal
import subprocess
import sys
from typing import Any

from vanillaswitch.transport import sockets

_ROOT = pathlib.Path(__file__).parent.parent

_PORTS = range(20_000, 32_700)
"""Below the ports that the kernel hands to connections: one of those that was
free a moment ago may be taken by anybody's connection, and the process then
can't start."""

_BLOCK = 100
"""Ports that one process of tests or soaks keeps for those that it starts."""


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


class _Ports:
    """Picks ports that no other process picks.

    That a port is free says little: a process that is being started does not
    listen yet, and one that was killed may be started again. So the first port
    of each block stays bound until this process ends.
    """

    def __init__(self) -> None:
        self._listeners: list[Any] = []
        self._left = range(0)
        self._blocks = self._reserve()

    def _reserve(self) -> Iterator[range]:
        """Yields blocks, those first that other processes do not begin with."""
        blocks = len(_PORTS) // _BLOCK
        for number in range(os.getpid(), os.getpid() + blocks):
            first = _PORTS.start + number % blocks * _BLOCK
            try:
                listener = sockets.listen(f"127.0.0.1:{first}")
            except OSError:
                # Another process has the block.
                continue
            self._listeners.append(listener)
            yield range(first + 1, first + _BLOCK)
        raise RuntimeError(f"all blocks of ports in {_PORTS} are taken")

    def pick(self, count: int) -> int:
        """Returns the first of ``count`` ports in a row that are free."""
        while True:
            if len(self._left) < count:
                self._left = next(self._blocks)
            ports, self._left = self._left[:count], self._left[count:]
            if all(_is_free(port) for port in ports):
                return ports[0]


_picker = _Ports()


def free_ports(count: int) -> int:
    """Returns the first of ``count`` ports in a row that are free."""
    return _picker.pick(count)


class Edge:
    """One machine's process and where it is reached.

    Attributes:
        name: of the machine.
        entry: "ip:port" for clients.
        ready: "ip:port" for the balancer.
        log: where all its processes write their lines.
        process: the one that runs or ran last.
    """

    def __init__(
        self,
        name: str,
        folder: pathlib.Path,
        store: str,
        machines: str,
        settings: str = "",
    ):
        """Starts the process.

        Args:
            name: of the machine.
            folder: where its settings are written, and its log.
            store: "ip:port" of the platform's store.
            machines: "ip:port" of the platform's list of machines.
            settings: further lines of its settings.
        """
        entry = free_ports(4)
        internal = entry + 2
        self.name = name
        self.entry = f"127.0.0.1:{entry}"
        self.ready = f"127.0.0.1:{entry + 1}"
        self._settings = folder / f"{name}.conf"
        self.log = folder / f"{name}.log"
        self._settings.write_text(
            f"node_name={name}\nip=127.0.0.1\n"
            f"listen.frontend={self.entry}\nlisten.ready={self.ready}\n"
            f"internal_ports={internal},{internal + 1}\n"
            f"platform.address={store}\ncloud_api.address={machines}\n{settings}"
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
        with self.log.open("ab") as log:
            return subprocess.Popen(
                [sys.executable, str(_ROOT / "deploy" / "edge.py")],
                env={
                    **os.environ,
                    "VANILLASWITCH_SETTINGS": str(self._settings),
                },
                stdout=log,
                stderr=log,
            )
