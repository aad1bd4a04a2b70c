"""Plots of an experiment: variants side by side over time."""

from collections.abc import Mapping
import pathlib

import matplotlib as mpl
from matplotlib import pyplot as plt

from standins.model import day as days_lib

mpl.use("Agg")


def draw(days: Mapping[str, days_lib.Day], path: pathlib.Path) -> None:
    """Draws demand against machines, and the backlog, by policy."""
    figure, axes = plt.subplots(
        2, len(days), sharex=True, sharey="row", squeeze=False
    )
    figure.set_size_inches(5 * len(days), 6)
    for column, (name, day) in enumerate(days.items()):
        at = [sample.at for sample in day.samples]
        upper, lower = axes[0][column], axes[1][column]
        upper.set_title(name)
        upper.plot(at, [s.wanted for s in day.samples], label="asked for")
        upper.plot(at, [s.machines for s in day.samples], label="in pools")
        lower.plot(at, [s.waiting for s in day.samples], color="tab:red")
        lower.set_xlabel("seconds")
    axes[0][0].set_ylabel("machines")
    axes[0][0].legend()
    axes[1][0].set_ylabel("jobs that wait for their first start")
    figure.tight_layout()
    figure.savefig(path, dpi=90)
    plt.close(figure)
