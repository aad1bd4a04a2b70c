"""Runs an experiment: ``python -m standins.model FILE --out FOLDER``."""

import pathlib
import sys

import click

from standins.model import errors
from standins.model import experiment as experiments
from standins.model import plots
from standins.model import scenario as scenarios


@click.command()
@click.argument("file", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    help="Folder for the table and the plot.",
)
@click.option("--quiet", is_flag=True, help="Show no progress.")
def main(file: pathlib.Path, out: pathlib.Path | None, quiet: bool) -> None:
    """Compares policies on a scenario and prints a table."""
    try:
        experiment = scenarios.load(file)
    except errors.ExperimentError as error:
        click.echo(str(error), err=True)
        sys.exit(2)

    def tell(line: str) -> None:
        if not quiet:
            click.echo(line, err=True)

    result = experiments.run(experiment, tell)
    found = experiments.table(result.rows)
    click.echo(found)
    if out is not None:
        out.mkdir(parents=True, exist_ok=True)
        (out / f"{file.stem}.md").write_text(found + "\n", encoding="utf-8")
        plots.draw(result.days, out / f"{file.stem}.png")


if __name__ == "__main__":
    main()
