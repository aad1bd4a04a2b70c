"""The command ``vanillaswitch`` and its subcommands.

Subcommands are imported when they are called: a controller has 32 MB, and each
library that another subcommand needs would count against them.
"""

import importlib

import click

import vanillaswitch

_MODULES = {
    "config": "vanillaswitch.cli.config",
    "controller": "vanillaswitch.daemons.controller",
    "deployment": "vanillaswitch.cli.deployment",
    "edge": "vanillaswitch.daemons.edge",
    "entry": "vanillaswitch.daemons.entry",
    "fleet": "vanillaswitch.cli.fleet",
    "histograms": "vanillaswitch.cli.histograms",
    "wave": "vanillaswitch.cli.wave",
}
"""Subcommand to the module whose ``command`` it is."""


class _LazyGroup(click.Group):
    """A group that imports a subcommand when it is named."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Returns the names of all subcommands."""
        del ctx
        return sorted(_MODULES)

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Imports and returns one subcommand."""
        del ctx
        if cmd_name not in _MODULES:
            return None
        module = importlib.import_module(_MODULES[cmd_name])
        command: click.Command = module.command
        return command


@click.group(cls=_LazyGroup)
@click.version_option(vanillaswitch.__version__)
def main() -> None:
    """Keeps a fleet's capacity and maintenance in order.

    Daemons: edge, entry, controller. Operators: deployment, config, fleet,
    wave, histograms.

    Exit codes: 0 done, 1 refused (the message says what to do next), 2 wrong
    usage, 3 the platform gave no answer, 4 a daemon found a broken invariant.
    """
