"""Measures what heartbeats cost: bytes a second of one process.

Runs groups of peer networks in this process over loopback and prints JSON:

    python -m standins.measure_membership --seconds 10 8 16 32

Half of a group are entries, which tell loads that change all the time, half
controllers. Payload is the bytes of
the streams, in and out together. The wire adds 52 bytes of IPv4 and TCP header
to each packet; packets, bare acknowledgements too, are those that the kernel
counted for the sockets (TCP_INFO).
"""

import contextlib
import functools
import gc
import json
import random
import resource
import socket
import struct
import time
from typing import Any

import click
import gevent
import gevent.socket

from vanillaswitch.coordination.peering import heartbeat_schedule
from vanillaswitch.coordination.peering import heartbeat_sender
from vanillaswitch.coordination.peering import peer_network
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.internal import logs
from vanillaswitch.protocol import peers
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.transport import streams

HEADER_BYTES = 52
TCP_INFO_BYTES = 192
SEGMENTS_OFFSET = 136
MINIONS = 30
BUSY_SHARE = 0.6
SETTLE_S = 5.0
SEED = 1
LOOPBACK = "127.0.0.1:0"


def _own(role: peers.Role, rng: random.Random) -> heartbeat_sender.LocalStatus:
    """Returns loads as of an entry whose minions are well used."""
    loads = {
        f"hall-recife-berthing-{number}": rng.randint(1, 3)
        for number in range(MINIONS)
        if role is peers.Role.ENTRY and rng.random() < BUSY_SHARE
    }
    return heartbeat_sender.LocalStatus(7, 1234, is_leaving=False, loads=loads)


def _settings(number: int, seeds: tuple[str, ...]) -> settings_lib.Settings:
    return settings_lib.Settings(
        process=f"process-{number}",
        data_centre="hall-recife",
        platform="",
        peer_listen=LOOPBACK,
        listen=LOOPBACK,
        seeds=seeds,
    )


def _joined(
    stack: contextlib.ExitStack, size: int
) -> list[peer_network.PeerNetwork]:
    clock = clocks.SystemClock()
    networks: list[peer_network.PeerNetwork] = []
    for number in range(size):
        rng = random.Random(SEED * 1000 + number)
        role = peers.Role.CONTROLLER if number % 2 else peers.Role.ENTRY
        network = peer_network.run(
            _settings(number, tuple(one.address for one in networks[:2])),
            role,
            ids.new_id(rng),
            functools.partial(streams.run, clock=clock, rng=rng),
            clock,
            rng,
            functools.partial(_own, role, rng),
        )
        networks.append(stack.enter_context(network))
    return networks


def _segments() -> int:
    """Returns the packets in and out of all connected sockets."""
    total = 0
    for found in gc.get_objects():
        if not isinstance(found, gevent.socket.socket):
            continue
        try:
            raw = found.getsockopt(
                socket.IPPROTO_TCP, socket.TCP_INFO, TCP_INFO_BYTES
            )
        except OSError:
            continue
        total += sum(struct.unpack_from("=II", raw, SEGMENTS_OFFSET))
    return total


def _totals(network: peer_network.PeerNetwork) -> tuple[int, int, int]:
    counters = network.counters
    return (
        counters["bytes_in"],
        counters["bytes_out"],
        counters["messages_out"],
    )


def measure(size: int, seconds: float) -> dict[str, Any]:
    """Runs one group and returns its figures a process and second."""
    with contextlib.ExitStack() as stack:
        networks = _joined(stack, size)
        gevent.sleep(SETTLE_S)
        packets = _segments()
        before = [_totals(one) for one in networks]
        started = time.monotonic()
        used = time.process_time()
        gevent.sleep(seconds)
        took = time.monotonic() - started
        used = time.process_time() - used
        after = [_totals(one) for one in networks]
        packets = _segments() - packets
        alive = min(len(one.live_heartbeats()) for one in networks)
    rates = [
        tuple((b - a) / took for a, b in zip(first, last, strict=True))
        for first, last in zip(before, after, strict=True)
    ]
    payload = [one[0] + one[1] for one in rates]
    mean = sum(payload) / size
    packet_rate = packets / took / size
    return {
        "processes": size,
        "alive_at_least": alive,
        "payload_bytes_mean": round(mean),
        "payload_bytes_most": round(max(payload)),
        "heartbeats_out": round(sum(one[2] for one in rates) / size, 1),
        "packets": round(packet_rate, 1),
        "wire_bytes_mean": round(mean + packet_rate * HEADER_BYTES),
        "core_percent": round(100 * used / took / size, 2),
    }


@click.command()
@click.argument("sizes", type=int, nargs=-1)
@click.option("--seconds", default=10.0, help="How long to measure each.")
@click.option("--near", default=heartbeat_schedule.SAME_ROLE_PER_TICK)
@click.option("--far", default=heartbeat_schedule.OTHER_ROLES_PER_TICK)
@click.option(
    "--far-ticks", default=heartbeat_schedule.OTHER_ROLES_MIN_PERIOD_TICKS
)
def main(
    sizes: tuple[int, ...], seconds: float, near: int, far: int, far_ticks: int
) -> None:
    """Prints the figures of groups of these sizes, one JSON line each."""
    logs.configure("measure", "silent")
    heartbeat_schedule.SAME_ROLE_PER_TICK = near
    heartbeat_schedule.OTHER_ROLES_PER_TICK = far
    heartbeat_schedule.OTHER_ROLES_MIN_PERIOD_TICKS = far_ticks
    for size in sizes or (8, 16, 32):
        figures = measure(size, seconds)
        peak = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        settings = {"near": near, "far": far, "far_ticks": far_ticks}
        click.echo(json.dumps({**figures, **settings, "rss_kib": peak}))


if __name__ == "__main__":
    main()
