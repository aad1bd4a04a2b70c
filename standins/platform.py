"""Runs the stand-in platform: ``python -m standins.platform``."""

from collections.abc import Iterator
import contextlib
import json
import pathlib
import signal

import click
import gevent
import gevent.event

from standins import control
from standins import fleet as fleet_module
from standins import platform_http
from standins import traffic
from vanillaswitch.internal import clock as clock_module
from vanillaswitch.transport import sockets

_TICK_S = 0.1
_STOP_S = 1.0


def make_standin(
    fleet: fleet_module.Fleet, clock: clock_module.Clock
) -> fleet_module.MemoryPlatform:
    """Returns a platform that talks to the minions with a control address."""
    controls = control.MinionControls(
        {
            member.listing.instance: member.control
            for member in fleet.members
            if member.control
        }
    )
    standin = fleet_module.MemoryPlatform(fleet, clock, controls.on_phase)
    standin.instances.add_load(controls.in_flight)
    return standin


@contextlib.contextmanager
def running(
    standin: fleet_module.MemoryPlatform,
    address: str,
    clock: clock_module.Clock,
) -> Iterator[str]:
    """Serves a stand-in; yields the "ip:port" that it is bound to."""
    server = platform_http.make_server(sockets.listen(address), standin)
    server.application = traffic.Traffic(server.application)
    server.start()
    ticker = gevent.spawn(_tick, standin, clock)
    try:
        yield server.bound
    finally:
        ticker.kill()
        server.stop(timeout=_STOP_S)


def _tick(
    standin: fleet_module.MemoryPlatform, clock: clock_module.Clock
) -> None:
    while True:
        standin.instances.tick()
        clock.sleep(_TICK_S)


@click.command()
@click.option("--listen", default="127.0.0.1:0", help='"ip:port" to bind.')
@click.option(
    "--fleet",
    "fleet_file",
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
    help="JSON file of the fleet; without it the fleet is empty.",
)
def main(listen: str, fleet_file: pathlib.Path | None) -> None:
    """Runs a stand-in platform in memory until it is terminated.

    Prints {"address": "ip:port"} once it serves.
    """
    clock = clock_module.SystemClock()
    fleet = fleet_module.Fleet()
    if fleet_file is not None:
        fleet = fleet_module.load(fleet_file)
    stop = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, stop.set)
    with running(make_standin(fleet, clock), listen, clock) as address:
        click.echo(json.dumps({"address": address}))
        stop.wait()


if __name__ == "__main__":
    main()
