"""The operators' sessions at the command line."""

import contextlib
import json
import pathlib
import shutil
import tempfile

import click.testing

from tests.common import config_stores
from tests.common import configs
from tests.common import records
from vanillaswitch.cli import config as config_cli

_PLATFORM = ("--platform", "127.0.0.1:1")
_MISTAKES = {
    "services": {
        "pilotage": {
            "minions": "six",
            "availability_budget": {"minions_down": -1},
            "colour": "blue",
        }
    },
    "waves": {"new-kernel": {"services": ["lighthouse"], "targets": "boats"}},
}


class _Desk:
    """An operator with a copy of an example's folder."""

    def __init__(self, folder: pathlib.Path):
        self.record = records.Record()
        self.folder = folder
        self._store = config_stores.Store()

    def change(self, document: object) -> None:
        """Writes the folder's last file."""
        text = json.dumps(document)
        (self.folder / "90-change.json").write_text(text)
        self.record.add("90-change.json", [text])

    def run(self, *arguments: str) -> None:
        """Runs a subcommand and records what it prints."""
        found = click.testing.CliRunner().invoke(
            config_cli.command,
            arguments,
            obj=lambda _: contextlib.nullcontext(self._store.platform()),
        )
        typed = " ".join(arguments).replace(str(self.folder), "FOLDER")
        self.record.add(f"$ vanillaswitch config {typed}")
        self.record.add(
            f"exit code {found.exit_code}", found.output.split("\n")
        )


def record() -> str:
    """Plays the sessions and returns their record."""
    with tempfile.TemporaryDirectory() as place:
        source = configs.EXAMPLES / "mare-dues" / "config"
        folder = shutil.copytree(source, pathlib.Path(place) / "config")
        desk = _Desk(folder)
        _mistakes(desk)
        _race(desk)
        return desk.record.text()


def _mistakes(desk: _Desk) -> None:
    folder = str(desk.folder)
    desk.record.title("All mistakes are told at once, nothing is applied")
    desk.change(_MISTAKES)
    desk.run("check", folder)
    desk.run("check", folder, "--json")
    desk.run("apply", folder, *_PLATFORM, "--first")
    desk.run("diff", folder, *_PLATFORM)
    desk.change({})
    desk.run("check", folder)


def _race(desk: _Desk) -> None:
    folder = str(desk.folder)
    desk.record.title("The first configuration")
    desk.run("apply", folder, *_PLATFORM, "--first", "--author", "ana")
    desk.record.title("Bia changes it")
    desk.change({"policies": {"retry_ratio": 0.05}})
    desk.run("diff", folder, *_PLATFORM)
    desk.run("apply", folder, *_PLATFORM, "--from", "1", "--author", "bia")
    desk.record.title("Ana began at the same number, and comes too late")
    desk.change({"classes": {"quote": {"weight": 7}}})
    desk.run("apply", folder, *_PLATFORM, "--from", "1", "--author", "ana")
    desk.run("diff", folder, *_PLATFORM)
    desk.run("apply", folder, *_PLATFORM, "--from", "2", "--author", "ana")
    desk.record.title("Wrong usage")
    desk.run("apply", folder, *_PLATFORM)
