"""``vanillaswitch entry``: the request path as a daemon."""

import json
import pathlib
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.state import settings as settings_lib
from vanillaswitch.wiring import entry


@click.command("entry")
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def command(settings: pathlib.Path) -> None:
    """Routes callers' requests to minions; SETTINGS is a JSON file.

    Prints its addresses as one line of JSON. SIGTERM stops it gracefully:
    requests in flight are answered, new ones are refused as not run.
    """
    try:
        loaded = settings_lib.load(settings)
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(exits.USAGE)
    logs.configure(loaded.process, "loguru")
    with entry.run(loaded) as running:
        addresses = {"listen": running.address, "peer": running.peer_address}
        click.echo(json.dumps(addresses))
        logs.info("entry serves {}", running.address)
        lifecycle.wait_for_stop()
        logs.info("entry shuts down")
        whole = running.stop()
    sys.exit(exits.DONE if whole else exits.REFUSED)
