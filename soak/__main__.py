"""Runs soaks from the command line: ``python -m soak --seeds 1:51``."""

import pathlib
import random
import signal
import sys
import tempfile

import click

from soak import accounts
from soak import advice
from soak import overload
from soak import run
from soak import world as worlds

TERMINATED = 128 + signal.SIGTERM
"""Exit code of a soak that was told to stop, as of a shell."""


def _seeds(text: str, fresh: int) -> list[int]:
    if fresh:
        return [random.SystemRandom().randrange(1, 10**6) for _ in range(fresh)]
    first, _, last = text.partition(":")
    return list(range(int(first), int(last or int(first) + 1)))


@click.command()
@click.option("--seeds", default="1:4", help="FIRST:BEHIND, or one seed.")
@click.option("--fresh", default=0, help="So many seeds drawn now instead.")
@click.option("--seconds", default=20.0, help="How long faults come.")
@click.option("--keep", type=click.Path(), help="Folder for the logs.")
@click.option("--fault", "names", multiple=True, help="Only faults so named.")
@click.option(
    "--accounts", "with_accounts", is_flag=True, help="With API keys."
)
@click.option(
    "--overload",
    "with_overload",
    is_flag=True,
    help="With accounts that send too much; harms keys if --accounts is given.",
)
@click.option(
    "--large", is_flag=True, help="Eight machines, waves that share some."
)
@click.option(
    "--advice", "with_advice", is_flag=True, help="With an advice service."
)
def main(
    seeds: str,
    fresh: int,
    seconds: float,
    keep: str | None,
    names: tuple[str, ...],
    with_accounts: bool,
    with_overload: bool,
    large: bool,
    with_advice: bool,
) -> None:
    """Runs a soak for each seed and prints what was broken."""
    # Ended by the signal itself, it would leave its processes running: they
    # took over the fleet of whoever got the port of its platform next.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(TERMINATED))
    failed = 0
    for seed in _seeds(seeds, fresh):
        folder = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{seed}-", dir=keep)
        )
        book = accounts.Accounts(seed) if with_accounts else None
        if with_overload:
            book = overload.Overload(seed, harms_keys=with_accounts)
        scale = worlds.LARGE if large else worlds.SMALL
        service = advice.draw_service(seed) if with_advice else None
        drawn = names or (advice.FAULT_NAMES if with_advice else ())
        result = run.soak(seed, seconds, folder, drawn, book, scale, service)
        handed_in, accepted, completed = result.jobs
        click.echo(
            f"seed {seed}: {handed_in} jobs, {accepted} accepted, "
            f"{completed} completed; {len(result.faults)} faults; "
            f"{len(result.broken)} broken"
        )
        if service is not None:
            click.echo(f"  {advice.summary(service)}")
        if isinstance(book, overload.Overload):
            click.echo(f"  {book.summary}")
        if book is not None and with_accounts:
            click.echo(
                f"  {book.replaced} keys replaced, {book.intruded} calls with "
                "keys that must not work"
            )
        if result.broken:
            failed += 1
            click.echo(
                f"  logs: {folder}\n  faults: {', '.join(result.faults)}"
            )
            for line in result.broken[:20]:
                click.echo(f"  {line}")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
