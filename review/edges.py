"""Starts the system's processes as the deploy file says, and calls them."""

from collections.abc import Iterator
import contextlib
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time
import tomllib
from typing import Any

import outside

ROOT = pathlib.Path(__file__).resolve().parent.parent
GRACE_S = 6.0
WARM_UP_S = 30.0
HOST = "queues.example"

_SETTINGS = """\
node_name={name}
role=edge
machine_class=edge
serves=edge
ip={ip}
zone=zone-1
region=region-1
zones.zone-1=region-1
listen.frontend={ip}:{frontend}
listen.ready={ip}:{ready}
listen.control_plane={ip}:{control}
internal_ports={internal},{internal_last}
seeds=
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


def route(name: str, attempts: int = 2) -> dict[str, Any]:
    """Returns a route of the only service."""
    return {
        "name": name,
        "host": HOST,
        "path_prefix": f"/{name}/",
        "service": "pool",
        "priority": 0,
        "max_attempts": attempts,
        "stretch": 2.0,
        "target_duration_ms": 600,
        "timeout_ms": 3000,
    }


def config(
    version: int, *routes: dict[str, Any], standby: str = ""
) -> dict[str, Any]:
    """Returns a configuration; ``standby`` names a pool that is off."""
    services = [{"name": "pool", "enforces_capacity": False}]
    if standby:
        services.append(
            {"name": standby, "enforces_capacity": False, "standby": True}
        )
    return {
        "version": version,
        "routes": list(routes),
        "services": services,
        "limits": {"max_body_bytes": 262_144},
    }


class Edge:
    """One process of the role ``edge``."""

    def __init__(
        self,
        number: int,
        folder: pathlib.Path,
        platform: str,
        advice: str,
    ):
        """Starts it.

        Args:
            number: of its machine.
            folder: where its settings and its log go.
            platform: address of the store and of the machine list.
            advice: address of the service that advises; may be empty.
        """
        self.name = f"edge-{number}"
        ip = _own_address(number)
        first = _free_ports(ip, 6)
        self.frontend = f"{ip}:{first}"
        self.ready = f"{ip}:{first + 1}"
        settings = folder / f"{self.name}.conf"
        settings.write_text(
            _SETTINGS.format(
                name=self.name,
                ip=ip,
                frontend=first,
                ready=first + 1,
                control=first + 2,
                internal=first + 3,
                internal_last=first + 5,
                platform=platform,
                advice=advice,
            )
        )
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = deploy["roles"]["edge"]["run"].split()
        self._log = (folder / f"{self.name}.log").open("wb")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env=_environment(settings),
            stdout=self._log,
            stderr=self._log,
        )

    def end(self) -> None:
        """Ends the process."""
        if self.process.poll() is None:
            self.process.send_signal(signal.SIGTERM)
        try:
            self.process.wait(GRACE_S)
        except subprocess.TimeoutExpired:
            self.process.kill()
            self.process.wait()
        self._log.close()


def _environment(settings: pathlib.Path) -> dict[str, str]:
    """Returns the variables of a process, as DEPLOY.md lists them.

    ``target/deps``, which the line ``build`` fills, is on Python's path. Where
    it is missing, the packages of ``make setup`` are used.
    """
    names = ("HOME", "LANG", "PATH")
    found = {name: os.environ[name] for name in names if name in os.environ}
    found["VANILLASWITCH_SETTINGS"] = str(settings)
    packages = ROOT / "target" / "deps"
    if packages.is_dir():
        found["PYTHONPATH"] = str(packages)
    else:
        own = str(ROOT / ".venv" / "bin")
        found["PATH"] = own + os.pathsep + found.get("PATH", "")
    return found


def _own_address(number: int) -> str:
    """Returns a loopback address that no other play of a case uses."""
    high, low = divmod(os.getpid() % 50_000, 250)
    return f"127.{1 + high}.{1 + low}.{1 + number}"


def _free_ports(ip: str, count: int) -> int:
    """Returns the first of some ports in a row that are free."""
    for first in range(21_000, 32_000, 16):
        with contextlib.ExitStack() as stack:
            try:
                for port in range(first, first + count):
                    listener = socket.socket()
                    stack.callback(listener.close)
                    listener.bind((ip, port))
            except OSError:
                continue
            return first
    raise RuntimeError(f"no free ports on {ip}")


@contextlib.contextmanager
def running(
    count: int, folder: pathlib.Path, platform: str, advice: str = ""
) -> Iterator[list[Edge]]:
    """Yields processes that are ready for clients, and ends them.

    They are ended also if this process is told to stop.
    """
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    edges: list[Edge] = []
    try:
        for number in range(count):
            edges.append(Edge(number, folder, platform, advice))
        until = time.monotonic() + 20.0
        for edge in edges:
            while call(edge.ready, "GET", "/-/ready")[0] != 200:
                if time.monotonic() > until:
                    raise TimeoutError(f"{edge.name} does not become ready")
                time.sleep(0.1)
        yield edges
    finally:
        for edge in edges:
            edge.end()


def call(
    address: str, method: str, path: str, body: Any = None
) -> tuple[int, dict[str, Any]]:
    """Makes one call; returns status and body, status 0 without an answer."""
    host, port = address.split(":")
    connection = http.client.HTTPConnection(host, int(port), timeout=3.0)
    try:
        connection.request(
            method,
            path,
            None if body is None else json.dumps(body),
            {
                "Host": HOST,
                "Content-Type": "application/json",
                "X-Deadline-Ms": "3000",
            },
        )
        response = connection.getresponse()
        data = response.read()
        return response.status, json.loads(data) if data else {}
    except (OSError, http.client.HTTPException, ValueError):
        return 0, {}
    finally:
        connection.close()


def warm_up(record: outside.Record, node: Edge, prefix: str) -> None:
    """Hands in one small job and waits until it is shown as completed.

    Raises:
        TimeoutError: it did not complete, so that nothing can be shown.
    """
    name = "f" * 16
    step = {"count": 1, "cpu": 100, "mem_mb": 16, "estimate_ms": 100}
    body = {"spec": json.dumps({"work_ms": 100}), "steps": [step]}
    until = time.monotonic() + WARM_UP_S
    while time.monotonic() < until:
        status, _ = call(node.frontend, "POST", prefix + name, body)
        _, answer = call(node.frontend, "GET", prefix + name)
        if status == 200 and answer.get("state") == "completed":
            record.add("client", "warmed up")
            return
        time.sleep(0.2)
    raise TimeoutError("the first job does not complete")
