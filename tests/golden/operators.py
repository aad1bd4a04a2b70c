"""The operators' sessions at the command line."""

import contextlib
import json
import pathlib
import random
import shutil
import tempfile

import click.testing

from standins import fleet as fleet_lib
from tests.common import clocks
from tests.common import config_platform
from tests.common import configs
from tests.common import records
from tests.common import sessions
from tests.common import wave_harness
from vanillaswitch.cli import main
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.protocol import platform

_PLATFORM = ("--platform", "127.0.0.1:1")
_STEPS = 60
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
    """Operators at the command line of one platform."""

    def __init__(self, outside: platform.Platform, folder: str = ""):
        self.record = records.Record()
        self.folder = folder
        self._outside = outside

    def change(self, document: object) -> None:
        """Writes the folder's last file."""
        text = json.dumps(document)
        (pathlib.Path(self.folder) / "90-change.json").write_text(text)
        self.record.add("90-change.json", [text])

    def run(self, *arguments: str) -> None:
        """Runs a command and records what it prints."""
        found = click.testing.CliRunner().invoke(
            main.main,
            arguments,
            obj=lambda _: contextlib.nullcontext(self._outside),
            prog_name="vanillaswitch",
        )
        typed = " ".join("FOLDER" if a == self.folder else a for a in arguments)
        self.record.add(f"$ vanillaswitch {typed}")
        self.record.add(
            f"exit code {found.exit_code}", found.output.split("\n")
        )


def record_config() -> str:
    """Plays a session of `config` and returns its record."""
    with tempfile.TemporaryDirectory() as place:
        source = configs.EXAMPLES / "mare-dues" / "config"
        folder = shutil.copytree(source, pathlib.Path(place) / "config")
        desk = _Desk(config_platform.ConfigPlatform().platform(), str(folder))
        _mistakes(desk)
        _race(desk)
        return desk.record.text()


def record_wave(example: str, service: str) -> str:
    """Plays a session of `wave` and `fleet` and returns its record."""
    clock = clocks.ManualClock()
    fleet = sessions.fleet_of(example, (service,), "123456")
    outside = fleet_lib.MemoryPlatform(fleet, clock)
    config = sessions.config_of(example, (service,), data_centres={})
    wave = wave_harness.WaveHarness(outside, clock, config, service)
    rollout.apply(
        outside.interface, clock, random.Random(2), wave.config, "ana", 0
    )
    wave.write_instance_rows()
    wave.wait_for_duty()
    desk = _Desk(outside.interface)
    _wave(desk, wave)
    return desk.record.text()


def _mistakes(desk: _Desk) -> None:
    folder = desk.folder
    desk.record.title("All mistakes are told at once, nothing is applied")
    desk.change(_MISTAKES)
    desk.run("config", "check", folder)
    desk.run("config", "check", folder, "--json")
    desk.run("config", "apply", folder, *_PLATFORM, "--first")
    desk.run("config", "diff", folder, *_PLATFORM)
    desk.change({})
    desk.run("config", "check", folder)


def _race(desk: _Desk) -> None:
    folder = desk.folder
    desk.record.title("The first configuration")
    desk.run(
        "config", "apply", folder, *_PLATFORM, "--first", "--author", "ana"
    )
    desk.record.title("Bia changes it")
    desk.change({"policies": {"retry_ratio": 0.05}})
    desk.run("config", "diff", folder, *_PLATFORM)
    desk.run(
        "config", "apply", folder, *_PLATFORM, "--from", "1", "--author", "bia"
    )
    desk.record.title("Ana began at the same number, and comes too late")
    desk.change({"classes": {"quote": {"weight": 7}}})
    desk.run(
        "config", "apply", folder, *_PLATFORM, "--from", "1", "--author", "ana"
    )
    desk.run("config", "diff", folder, *_PLATFORM)
    desk.run(
        "config", "apply", folder, *_PLATFORM, "--from", "2", "--author", "ana"
    )
    desk.record.title("Wrong usage")
    desk.run("config", "apply", folder, *_PLATFORM)


def _wave(desk: _Desk, wave: wave_harness.WaveHarness) -> None:
    name = wave_harness.WAVE
    title = desk.record.title
    title("Before the wave")
    desk.run("wave", "plan", "lighthouse", *_PLATFORM)
    desk.run("wave", "plan", name, *_PLATFORM)
    desk.run("wave", "status", *_PLATFORM)
    desk.run("wave", "pause", name, *_PLATFORM, "--operator", "ana")
    desk.run("fleet", "status", *_PLATFORM)
    title("Ana starts it, Bia starts it again")
    desk.run("wave", "start", name, *_PLATFORM, "--operator", "ana")
    desk.run("wave", "start", name, *_PLATFORM, "--operator", "bia")
    title("The first instance drains")
    wave.step()
    desk.run("fleet", "status", *_PLATFORM)
    title("Bia pauses it: what was begun is finished, nothing more begins")
    desk.run("wave", "pause", name, *_PLATFORM, "--operator", "bia")
    _steps(wave)
    desk.run("wave", "status", name, *_PLATFORM)
    desk.run("fleet", "status", *_PLATFORM)
    title("Ana resumes it, and it finishes")
    desk.run("wave", "start", name, *_PLATFORM, "--operator", "ana")
    _steps(wave)
    desk.run("wave", "status", name, *_PLATFORM)
    title("What was decided and why")
    desk.run("fleet", "explain", f"wave/{name}", *_PLATFORM)
    desk.run("fleet", "explain", "wave/lighthouse", *_PLATFORM)


def _steps(wave: wave_harness.WaveHarness) -> None:
    for _ in range(_STEPS):
        wave.step()
