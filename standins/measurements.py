"""What every measurement shares: the registry, the spread, the file.

A measurement is a function without arguments that returns JSON-compatible
figures::

    @measurements.measurement("config-size")
    def config_size() -> measurements.Figures: ...
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
import os
import pathlib
import statistics
import subprocess
from typing import Any

from vanillaswitch.internal import registry

Figures = list[dict[str, Any]]
Measurement = Callable[[], Figures]

RUNS = 3
FOLDER = pathlib.Path("docs/measurements")

MEASUREMENTS: registry.Registry[Measurement] = registry.Registry("measurement")


def measurement(name: str) -> Callable[[Measurement], Measurement]:
    """Registers a measurement; ``name`` is that of its file, too."""
    return MEASUREMENTS.register(name)


@dataclasses.dataclass(frozen=True)
class Source:
    """What was measured.

    Attributes:
        dirty: the working tree differed from the commit.
        load: how many processes wanted a processor when it began.
    """

    commit: str
    dirty: bool
    load: float
    processors: int


def source() -> Source:
    """Returns what is being measured, and how busy the machine is."""
    return Source(
        _git("rev-parse", "--short", "HEAD"),
        bool(_git("status", "--porcelain", "--", "src", "standins")),
        round(os.getloadavg()[0], 1),
        os.cpu_count() or 0,
    )


def _git(*arguments: str) -> str:
    done = subprocess.run(
        ["git", *arguments], capture_output=True, text=True, check=True
    )
    return done.stdout.strip()


def spread(values: Sequence[float], digits: int = 3) -> dict[str, float]:
    """Returns the least, the median and the greatest of some values."""
    return {
        "low": round(min(values), digits),
        "median": round(statistics.median(values), digits),
        "high": round(max(values), digits),
    }


def spreads(
    runs: Sequence[dict[str, float]], digits: int = 3
) -> dict[str, dict[str, float]]:
    """Returns the spread of each figure; one that a run has not is zero."""
    names = dict.fromkeys(name for run in runs for name in run)
    return {
        name: spread([run.get(name, 0) for run in runs], digits)
        for name in names
    }


def write(
    name: str, measured: Source, figures: Figures, folder: pathlib.Path = FOLDER
) -> pathlib.Path:
    """Writes one measurement's file and returns its path.

    Args:
        name: of the measurement.
        measured: the state of the repository when the measurement began.
        figures: what it found.
        folder: where the file goes.
    """
    folder.mkdir(parents=True, exist_ok=True)
    path = folder / f"{name}.json"
    document = {**dataclasses.asdict(measured), "figures": figures}
    lines = json.dumps(document, indent=1)
    path.write_text(f"{lines}\n")
    return path
