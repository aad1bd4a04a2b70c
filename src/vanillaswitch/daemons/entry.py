"""``vanillaswitch entry``: the request path as a daemon."""

import json
import pathlib
import sys

import click

from vanillaswitch.cli import exits
from vanillaswitch.daemons import startup
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.wiring import entry


@click.command("entry")
@click.argument("settings", type=click.Path(path_type=pathlib.Path))
def command(settings: pathlib.Path) -> None:
    """Routes callers' requests to minions; SETTINGS is a JSON file.

    Prints its addresses as one line of JSON. SIGTERM stops it gracefully:
    requests in flight are answered, new ones are refused as not run.

    Exit codes: 0 stopped, 1 stopped with requests or outcomes of charges
    left over, 2 wrong settings, 4 a broken invariant.
    """
    loaded = startup.load(settings, "loguru")
    with startup.ending_when_broken("entry"), entry.run(loaded) as running:
        addresses = {"listen": running.address, "peer": running.peer_address}
        click.echo(json.dumps(addresses))
        logs.info("entry serves {}", running.address)
        lifecycle.wait_for_stop()
        logs.info("entry shuts down")
        whole = running.stop()
    sys.exit(exits.DONE if whole else exits.REFUSED)
