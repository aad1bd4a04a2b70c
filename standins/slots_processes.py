"""Checks a routing policy with real processes: one run, on this machine.

    python -m standins.slots_processes --policy lent-share

Eight entries over the stand-ins; all minions work for the same time. The
figures hold what processors and sockets cost, so they depend on what else the
machine does.
"""

import dataclasses
import json
import pathlib
import tempfile
from typing import Any

import click
import gevent

from standins import deployment
from standins import load
from standins import load_plan

EXAMPLE = pathlib.Path("examples/mare-dues")
SETTLE_S = 3.0
SLOTS = 48


def _config(place: pathlib.Path, policy: str) -> pathlib.Path:
    target = place / "config"
    target.mkdir()
    for path in (EXAMPLE / "config").glob("*.json"):
        (target / path.name).write_text(path.read_text())
    refined = {"policies": {"routing": policy}}
    (target / "99-routing.json").write_text(json.dumps(refined))
    return target


def _plan(
    running: deployment.Deployment, load_share: float, skew: int, seconds: float
) -> load_plan.Plan:
    """Returns three quotes for each reconciliation, on one service."""
    first, *others = running.callers_addresses
    rate = load_share * SLOTS / (running.shape.work_ms / 1000)
    classes = tuple(
        load_plan.ClassPlan(
            name,
            f"/berthing/{path}",
            requests=int(share * rate * seconds),
            rate_per_s=share * rate,
            timeout_ms=timeout_ms,
        )
        for name, path, share, timeout_ms in (
            ("quote", "quotes", 0.75, 1000),
            ("reconciliation", "reconciliations", 0.25, 10_000),
        )
    )
    return load_plan.Plan(1, classes, (*([first] * skew), *others))


def measure(
    policy: str, load_share: float, skew: int, seconds: float, work_ms: float
) -> dict[str, Any]:
    """Runs one deployment and returns its figures."""
    with tempfile.TemporaryDirectory() as name:
        place = pathlib.Path(name)
        shape = deployment.Shape(
            EXAMPLE, entries=8, controllers=1, work_ms=work_ms
        )
        with deployment.run(shape, place) as running:
            code, output = running.command(
                "config",
                "apply",
                str(_config(place, policy)),
                "--first",
                "--platform",
                running.platform,
            )
            if code:
                raise click.ClickException(output)
            running.wait_ready()
            gevent.sleep(SETTLE_S)
            report = load.run(_plan(running, load_share, skew, seconds))
            pages = [one.page("counters") for one in running.entries.values()]
            minions = running.minions.values()
            return {
                "policy": policy,
                "load": load_share,
                "skew": skew,
                "work_ms": work_ms,
                "seconds": round(report.seconds, 1),
                "classes": [dataclasses.asdict(one) for one in report.classes],
                "received": sum(one.received for one in minions),
                "over_subscribed": sum(one.over_subscribed for one in minions),
                "retries": sum(page.get("retries", 0) for page in pages),
                "peer_messages_out": sum(
                    page["peers.messages_out"] for page in pages
                ),
            }


@click.command()
@click.option("--policy", default="lent-share", show_default=True)
@click.option("--load", "load_share", default=0.8, show_default=True)
@click.option("--skew", default=1, help="Times the others' calls at one entry.")
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--work-ms", default=100.0, show_default=True)
def main(
    policy: str, load_share: float, skew: int, seconds: float, work_ms: float
) -> None:
    """Prints the figures of one run as JSON."""
    figures = measure(policy, load_share, skew, seconds, work_ms)
    click.echo(json.dumps(figures))


if __name__ == "__main__":
    main()
