"""What both daemons do around their work: settings, logs, the way to end."""

from collections.abc import Iterator
import contextlib
import gc
import pathlib
import sys

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.internal import logs
from vanillaswitch.state import settings as settings_lib


def load(path: pathlib.Path, log_backend: str) -> settings_lib.Settings:
    """Reads the settings and begins to log; a mistake in them ends here.

    Args:
        path: the settings file.
        log_backend: name in ``logs.BACKENDS``.
    """
    try:
        loaded = settings_lib.load(path)
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(exits.USAGE)
    logs.configure(loaded.process, log_backend)
    return loaded


def exclude_modules_from_collection() -> None:
    """Excludes all objects that exist now from garbage collections.

    These are modules, which stay until the process ends. A full collection
    would visit them each time, with all greenlets waiting: for some 50 ms on a
    whole core, and for eight times as long on an eighth of one.
    """
    gc.freeze()


@contextlib.contextmanager
def ending_when_broken(daemon: str) -> Iterator[None]:
    """Turns a broken invariant into a line of the log and an exit code.

    Args:
        daemon: which daemon it is, for the log.
    """
    try:
        yield
    except errors.InvariantError as error:
        logs.error("{} ends, a broken invariant: {}", daemon, error)
        sys.exit(exits.BROKEN)
