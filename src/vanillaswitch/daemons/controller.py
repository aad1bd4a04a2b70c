"""``vanillaswitch controller``: capacity and maintenance as a daemon."""

import json
import pathlib

import click

from vanillaswitch.daemons import startup
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.wiring import controller


@click.command("controller")
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def command(settings: pathlib.Path) -> None:
    """Takes its share of the control work; SETTINGS is a JSON file.

    Prints its addresses as one line of JSON. SIGTERM stops it gracefully: it
    hands its duties to the other controllers.

    Exit codes: 0 stopped, 2 wrong settings, 4 a broken invariant.
    """
    loaded = startup.load(settings, "logging")
    with (
        startup.ending_when_broken("controller"),
        controller.run(loaded) as running,
    ):
        addresses = {"listen": running.address, "peer": running.peer_address}
        click.echo(json.dumps(addresses))
        logs.info("controller serves {}", running.address)
        lifecycle.wait_for_stop()
        logs.info("controller shuts down")
