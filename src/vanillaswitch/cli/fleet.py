"""``vanillaswitch fleet``: how the fleet stands, and why it was decided so."""

import datetime
import getpass
from typing import Any

import click

from vanillaswitch import errors
from vanillaswitch.cli import console
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import pool_demand
from vanillaswitch.coordination.workloads import operator_cordons
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows


@click.group("fleet")
def command() -> None:
    """Shows budgets and pools, explains decisions, cordons workers.

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
        fleet = console.read_fleet(source)
    standings = _standings(fleet, config)
    held = {
        pool: len(workers)
        for pool, workers in pool_demand.workers_by_pool(fleet).items()
    }
    needs = pool_demand.required_workers(fleet, config)
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
        found = source.table.read([decision_records.history_key(subject)])
        if isinstance(found, platform.Unavailable):
            raise errors.PlatformUnavailableError(found.reason)
    history = decision_records.decode_history(
        found.rows[0] if found.rows else None
    )
    lines = [_decision_text(decision) for decision in history.entries]
    console.tell(
        as_json,
        rows.dump(history),
        "\n".join(lines) or f"nothing was decided about {subject}",
    )


_worker = click.argument("worker")
_reason = click.option("--reason", required=True, help="Why; it is kept.")


@command.command()
@_worker
@_reason
@console.platform_option
@console.operator_option
@console.json_option
@click.pass_context
def cordon(
    ctx: click.Context,
    worker: str,
    reason: str,
    address: str,
    operator: str | None,
    as_json: bool,
) -> None:
    """Keeps new tasks from WORKER, as far as its service's budget allows."""
    with console.connected(ctx, address, as_json) as source:
        config = console.in_force(source)
        fleet = console.read_fleet(source)
        request = _request(worker, reason, operator)
        _commit(source, fleet, operator_cordons.cordon(fleet, config, request))
    console.tell(as_json, {"cordoned": worker}, f"{worker} is cordoned")


@command.command()
@_worker
@_reason
@console.platform_option
@console.operator_option
@console.json_option
@click.pass_context
def uncordon(
    ctx: click.Context,
    worker: str,
    reason: str,
    address: str,
    operator: str | None,
    as_json: bool,
) -> None:
    """Opens a cordoned WORKER to new tasks again."""
    with console.connected(ctx, address, as_json) as source:
        fleet = console.read_fleet(source)
        request = _request(worker, reason, operator)
        _commit(source, fleet, operator_cordons.uncordon(fleet, request))
    console.tell(as_json, {"uncordoned": worker}, f"{worker} takes new tasks")


def _request(
    worker: str, reason: str, operator: str | None
) -> operator_cordons.CordonRequest:
    who = operator or getpass.getuser()
    wall_s = clocks.SystemClock().wall()
    return operator_cordons.CordonRequest(worker, reason, who, wall_s)


def _commit(
    source: platform.Platform,
    fleet: fleet_state.Fleet,
    changed: changes.Changes,
) -> None:
    if not console.commit(source, fleet, changed):
        raise errors.CordonRefusedError(
            "the service has changed meanwhile, nothing was written: look at "
            "`fleet status`, then try again"
        )


def _standings(
    fleet: fleet_state.Fleet, config: config_lib.Config
) -> list[budgets.BudgetStatus]:
    kinds = (platform.InstanceKind.MINION, platform.InstanceKind.WORKER)
    return [
        budgets.budget_status(fleet, config, service, kind)
        for service in sorted(config.services)
        for kind in kinds
    ]


def _standing_text(one: budgets.BudgetStatus) -> str:
    reasons = "".join(
        f"\n  {name}: {why}" for name, why in sorted(one.down.items())
    )
    return (
        f"{one.service} {one.kind}s: {one.down_count} down, "
        f"{one.allowed} allowed, {one.members} of {one.meant}{reasons}"
    )


def _decision_text(decision: decision_records.Decision) -> str:
    when = datetime.datetime.fromtimestamp(decision.wall_s, datetime.UTC)
    figures = ", ".join(
        f"{name} {value:g}" for name, value in decision.figures.items()
    )
    return (
        f"{when.isoformat(timespec='seconds')} {decision.rule}: "
        f"{decision.cause} [{figures}] by {decision.actor}"
    )
