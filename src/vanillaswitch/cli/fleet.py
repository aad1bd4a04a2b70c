"""``vanillaswitch fleet``: how the fleet stands, and why it was decided so."""

import datetime
from typing import Any

import click

from vanillaswitch import errors
from vanillaswitch.cli import console
from vanillaswitch.coordination import budgets
from vanillaswitch.coordination import explain
from vanillaswitch.coordination import fleet_state
from vanillaswitch.coordination import pool_needs
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows


@click.group("fleet")
def command() -> None:
    """Shows budgets and pools, and explains decisions.

    Exit codes: 0 done, 1 refused, 2 wrong usage, 3 the platform gave no
    answer.
    """


@command.command()
@console.platform_option
@console.json_option
@click.pass_context
def status(ctx: click.Context, address: str, as_json: bool) -> None:
    """Prints each service's budget and each pool's workers."""
    with console.connected(ctx, address, as_json) as source:
        config = console.in_force(source)
        fleet = fleet_state.read(source)
        if isinstance(fleet, platform.Unavailable):
            raise errors.PlatformUnavailableError(fleet.reason)
    standings = _standings(fleet, config)
    held = {
        pool: len(workers) for pool, workers in pool_needs.held(fleet).items()
    }
    needs = pool_needs.needs(fleet, config)
    told: dict[str, Any] = {
        "budgets": [
            {**rows.dump(one), "headroom": one.headroom} for one in standings
        ],
        "pools": {
            name: {"workers": held.get(name, 0), "needs": need}
            for name, need in needs.items()
        },
    }
    lines = [_standing_text(one) for one in standings]
    lines += [
        f"pool {name}: {held.get(name, 0)} workers, needs {need}"
        for name, need in needs.items()
    ]
    console.tell(as_json, told, "\n".join(lines))


@command.command("explain")
@click.argument("subject")
@console.platform_option
@console.json_option
@click.pass_context
def explain_command(
    ctx: click.Context, subject: str, address: str, as_json: bool
) -> None:
    """Prints the newest decisions about SUBJECT, the oldest first.

    SUBJECT is wave/NAME, pool/NAME, job/NAME or instance/NAME.
    """
    with console.connected(ctx, address, as_json) as source:
        found = source.table.read([explain.key_of(subject)])
        if isinstance(found, platform.Unavailable):
            raise errors.PlatformUnavailableError(found.reason)
    history = explain.history(found.rows[0] if found.rows else None)
    lines = [_decision_text(decision) for decision in history.entries]
    console.tell(
        as_json,
        rows.dump(history),
        "\n".join(lines) or f"nothing was decided about {subject}",
    )


def _standings(
    fleet: fleet_state.Fleet, config: config_lib.Config
) -> list[budgets.Standing]:
    kinds = (platform.InstanceKind.MINION, platform.InstanceKind.WORKER)
    return [
        budgets.standing(fleet, config, service, kind)
        for service in sorted(config.services)
        for kind in kinds
    ]


def _standing_text(one: budgets.Standing) -> str:
    reasons = "".join(
        f"\n  {name}: {why}" for name, why in sorted(one.down.items())
    )
    return (
        f"{one.service} {one.kind}s: {one.down_count} down, "
        f"{one.allowed} allowed, {one.members} of {one.meant}{reasons}"
    )


def _decision_text(decision: explain.Decision) -> str:
    when = datetime.datetime.fromtimestamp(decision.wall_s, datetime.UTC)
    figures = ", ".join(
        f"{name} {value:g}" for name, value in decision.figures.items()
    )
    return (
        f"{when.isoformat(timespec='seconds')} {decision.rule}: "
        f"{decision.cause} [{figures}] by {decision.actor}"
    )
