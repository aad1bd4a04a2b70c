"""``vanillaswitch edge``: a process on the users' platform as a daemon."""

import contextlib
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.coordination.fleet import events
from vanillaswitch.daemons import startup
from vanillaswitch.internal import lifecycle
from vanillaswitch.internal import logs
from vanillaswitch.platform import settings as platform_settings
from vanillaswitch.wiring import edge

STOP_SHARE = 0.9
"""Share of the grace time after which a stop is given up. An orderly one takes
3.7 s of 6 s at most (``wiring.edge.Edge.stop``); after the whole of it the
platform kills the process, and nothing tells what it waited for."""


@click.command("edge")
def command() -> None:
    """Takes in jobs and takes its turn at owning the fleet.

    The platform names the settings file by VANILLASWITCH_SETTINGS. SIGTERM
    stops it gracefully.

    Exit codes: 0 stopped, 2 wrong settings, 4 a broken invariant or a stop
    that was not over in time.
    """
    try:
        settings = platform_settings.load(platform_settings.path())
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(exits.USAGE)
    startup.exclude_modules_from_collection()
    logs.configure(settings.process, "json")
    lifecycle.on_reload(_reload)
    limit_s = STOP_SHARE * settings.bounds.grace_s
    with contextlib.ExitStack() as ending:
        with startup.ending_when_broken("edge"), edge.run(settings) as running:
            lifecycle.wait_for_stop()
            logs.event(events.Process("stops", "told by a signal"))
            ending.enter_context(lifecycle.ending_within(limit_s, exits.BROKEN))
            running.stop(settings.bounds.grace_s)
        logs.event(events.Process("stopped", ""))
    logs.flush()


def _reload() -> None:
    """Reads the settings again on SIGHUP and tells what they say.

    Addresses and bounds hold for the life of a process: the platform starts
    it anew where it wants others.
    """
    try:
        settings = platform_settings.load(platform_settings.path())
    except errors.SettingsError as error:
        logs.error("the settings can't be read again: {}", error)
        return
    logs.event(events.Process("reloaded", settings.process))
