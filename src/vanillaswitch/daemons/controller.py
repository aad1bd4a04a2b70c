"""``vanillaswitch controller``: capacity and maintenance as a daemon."""

import json
import pathlib
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.wiring import controller


@click.command("controller")
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def command(settings: pathlib.Path) -> None:
    """Takes its share of the control work; SETTINGS is a JSON file.

    Prints its addresses as one line of JSON. SIGTERM stops it gracefully: it
    hands its duties to the other controllers.
    """
    try:
        loaded = settings_lib.load(settings)
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(exits.USAGE)
    logs.configure(loaded.process, "logging")
    with controller.run(loaded) as running:
        addresses = {"listen": running.address, "peer": running.peer_address}
        click.echo(json.dumps(addresses))
        logs.info("controller serves {}", running.address)
        lifecycle.wait_for_stop()
        logs.info("controller shuts down")
