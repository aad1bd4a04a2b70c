"""Runs the measurements of docs/CAPACITY.md, one after the other.

``python -m standins.measure`` writes ``docs/measurements/<name>.json`` for
each, with the commit that it was run on; ``--only NAME`` runs a single one.
"""

import time

import click

from standins import measure_calls
from standins import measure_control
from standins import measure_maintenance
from standins import measure_measures
from standins import measure_parts
from standins import measure_planning
from standins import measure_recurring
from standins import measure_rollout
from standins import measure_steps
from standins import measure_urgent
from standins import measurements
from vanillaswitch.internal import logs

MODULES = (
    measure_calls,
    measure_control,
    measure_maintenance,
    measure_measures,
    measure_parts,
    measure_planning,
    measure_recurring,
    measure_rollout,
    measure_steps,
    measure_urgent,
)
"""Modules that register measurements when they are imported."""


@click.command()
@click.option(
    "--only",
    "names",
    multiple=True,
    type=click.Choice(measurements.MEASUREMENTS.names),
    help="Run only this measurement; may be given several times.",
)
def main(names: tuple[str, ...]) -> None:
    """Runs measurements and writes a file for each."""
    logs.configure("measure", "silent")
    for name in names or measurements.MEASUREMENTS.names:
        source = measurements.source()
        began = time.monotonic()
        figures = measurements.MEASUREMENTS.get(name)()
        path = measurements.write(name, source, figures)
        seconds = time.monotonic() - began
        click.echo(f"{path}: {len(figures)} sizes in {seconds:.0f} s")


if __name__ == "__main__":
    main()
