"""Measures what is served through an outage of the platform's table.

``python -m standins.measure_outage`` sends quotes and new charges at a fixed
rate before, during and after an outage, each to the next of the entries, and
prints what became of them in each phase as JSON.
"""

import collections
from collections.abc import Mapping
import dataclasses
import itertools
import json
import pathlib
import statistics
import tempfile

import click
import gevent

from standins import callers as callers_lib
from standins import site as site_lib
from standins import verdicts

_TIMEOUT_MS = 3000
_SILENT_S = 60.0


@dataclasses.dataclass(frozen=True)
class Plan:
    """An outage.

    Attributes:
        outage_s: how long the table is away.
        silent: it takes calls and does not answer, rather than refuse them.
        before_s: time before it.
        killed_s: how long it goes on after one of the entries is killed.
        after_s: time after it.
        rate_per_s: of quotes, and of charges.
    """

    entries: int = 8
    outage_s: float = 10.0
    before_s: float = 3.0
    killed_s: float = 0.0
    after_s: float = 3.0
    rate_per_s: float = 40.0
    silent: bool = False


@dataclasses.dataclass(frozen=True)
class Share:
    """What became of the requests of one kind in one phase.

    Attributes:
        served: whole answers by all that were sent.
        told: how often each outcome was told.
        median_ms: of the waits for any reply, as is ``longest_ms``.
    """

    sent: int
    served: float
    told: Mapping[str, int]
    median_ms: float
    longest_ms: float


@dataclasses.dataclass(frozen=True)
class Report:
    """What became of quotes and charges, by phase."""

    quotes: Mapping[str, Share]
    charges: Mapping[str, Share]
    untrue: tuple[str, ...]


def run(plan: Plan, site: site_lib.Site, seed: int = 1) -> Report:
    """Takes the table of a site away for a while."""
    phases: dict[str, list[callers_lib.Told]] = {}
    with callers_lib.run(seed) as callers, site.entries(plan.entries) as used:
        for phase, seconds, down in (
            ("before", plan.before_s, False),
            ("outage", plan.outage_s, True),
            ("killed", plan.killed_s, True),
            ("after", plan.after_s, False),
        ):
            if not seconds:
                continue
            if phase == "killed":
                used.pop().kill()
            addresses = itertools.cycle(one.addresses["listen"] for one in used)
            if plan.silent:
                site.table(slow_s=_SILENT_S if down else 0.0)
            else:
                site.table(down=down)
            count = int(seconds * plan.rate_per_s)
            phases[phase] = _send(callers, addresses, count, plan.rate_per_s)
        untrue = callers.untrue(site.running.counts())
    return Report(
        {name: _share(told, False) for name, told in phases.items()},
        {name: _share(told, True) for name, told in phases.items()},
        untrue,
    )


def _send(
    callers: callers_lib.Callers,
    addresses: "itertools.cycle[str]",
    count: int,
    rate_per_s: float,
) -> list[callers_lib.Told]:
    """Sends so many quotes and charges at a fixed rate."""
    tasks = []
    for _ in range(count):
        entry = next(addresses)
        key = callers.new_key()
        tasks.append(gevent.spawn(callers.quote, entry, _TIMEOUT_MS))
        tasks.append(gevent.spawn(callers.charge, entry, key, _TIMEOUT_MS))
        gevent.sleep(1 / rate_per_s)
    return [task.get() for task in tasks]


def _share(told: list[callers_lib.Told], charges: bool) -> Share:
    ours = [one for one in told if bool(one.key) is charges]
    results = collections.Counter(one.result for one in ours)
    causes = collections.Counter(
        f"{one.result.value} {one.code}".strip() for one in ours
    )
    return Share(
        sent=len(ours),
        served=results[verdicts.Result.ANSWERED] / len(ours),
        told=dict(causes),
        median_ms=statistics.median(one.seconds for one in ours) * 1000,
        longest_ms=max(one.seconds for one in ours) * 1000,
    )


@click.command()
@click.option("--before-s", default=Plan.before_s, show_default=True)
@click.option("--outage-s", default=Plan.outage_s, show_default=True)
@click.option("--killed-s", default=Plan.killed_s, show_default=True)
@click.option("--silent", is_flag=True, help="The table answers nothing.")
def main(
    before_s: float, outage_s: float, killed_s: float, silent: bool
) -> None:
    """Runs one outage and prints its figures.

    Entries vouch for a charge only after some minutes without a change among
    them, so what an outage costs in calm times needs --before-s 400.
    """
    plan = Plan(
        outage_s=outage_s, before_s=before_s, killed_s=killed_s, silent=silent
    )
    with (
        tempfile.TemporaryDirectory() as name,
        site_lib.run(pathlib.Path(name), work_ms=5.0) as site,
    ):
        report = run(plan, site)
    click.echo(json.dumps(dataclasses.asdict(report), indent=2))


if __name__ == "__main__":
    main()
