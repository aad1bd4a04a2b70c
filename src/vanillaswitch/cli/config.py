"""``vanillaswitch config``: check, compare, apply and show configurations."""

import datetime
import getpass
import json
import pathlib
import random

import click

from vanillaswitch import errors
from vanillaswitch.cli import console
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.coordination.entry import routing
from vanillaswitch.coordination.workloads import worker_capacity
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import peers
from vanillaswitch.state import canonical
from vanillaswitch.state import check as check_lib
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import diff as diff_lib
from vanillaswitch.state import folder as folder_lib


@click.group("config")
def command() -> None:
    """Checks, compares, applies and shows configurations.

    Look at `config diff FOLDER` first: it prints the number in force, which
    `config apply FOLDER --from NUMBER` needs.

    Exit codes: 0 done, 1 rejected or overtaken by another operator, 2 wrong
    usage, 3 the platform gave no answer.
    """


_folder = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)


@command.command()
@_folder
@console.json_option
def check(folder: pathlib.Path, as_json: bool) -> None:
    """Checks FOLDER and prints every mistake with its file and field."""
    with console.refusing(as_json):
        config = _read(folder)
        digest = canonical.digest(canonical.dump(config))
        console.tell(as_json, {"digest": digest}, f"right, digest {digest}")


@command.command()
@_folder
@console.platform_option
@console.json_option
@click.pass_context
def diff(
    ctx: click.Context, folder: pathlib.Path, address: str, as_json: bool
) -> None:
    """Prints what FOLDER would change, and the number in force."""
    with console.refusing(as_json):
        config = _read(folder)
        with console.connect(ctx, address) as platform:
            found = console.look(platform)
        changes = diff_lib.diff(found.config, config)
        told = {
            "number": found.head.number,
            "changes": [
                {"path": c.path, "before": c.before, "after": c.after}
                for c in changes
            ],
        }
        lines = [f"in force: number {found.head.number}"]
        lines += [_line(change) for change in changes]
        console.tell(as_json, told, "\n".join(lines))


@command.command()
@_folder
@console.platform_option
@click.option(
    "--from",
    "started_from",
    type=click.IntRange(min=1),
    metavar="NUMBER",
    help="The number that `config diff` showed. Required unless --first: it "
    "keeps you from undoing what another operator applied since.",
)
@click.option(
    "--first", is_flag=True, help="There is no configuration in force yet."
)
@click.option("--author", help="Who applies it; by default the login name.")
@console.json_option
@click.pass_context
def apply(
    ctx: click.Context,
    folder: pathlib.Path,
    address: str,
    started_from: int | None,
    first: bool,
    author: str | None,
    as_json: bool,
) -> None:
    """Puts FOLDER in force, unless another operator was faster."""
    if first == (started_from is not None):
        raise click.UsageError("give either --from NUMBER or --first")
    with console.refusing(as_json):
        config = _read(folder)
        with console.connect(ctx, address) as platform:
            controllers = rollout.controller_addresses(platform.table)
            outcome = rollout.apply(
                platform,
                clocks.SystemClock(),
                random.SystemRandom(),
                config,
                author or getpass.getuser(),
                started_from or rollout.NO_CONFIG_NUMBER,
            )
        applied = _accepted(outcome)
        _hand_over(controllers, applied, config)
        console.tell(
            as_json,
            {"number": applied.number, "in_force": applied.newest_number},
            f"accepted as number {applied.number}, "
            f"in force: number {applied.newest_number}",
        )


@command.command()
@console.platform_option
@console.json_option
@click.pass_context
def show(ctx: click.Context, address: str, as_json: bool) -> None:
    """Prints the configuration in force."""
    with console.connected(ctx, address, as_json) as platform:
        found = console.look(platform)
        head, config = found.head, found.config
        body = json.loads(canonical.dump(config)) if config else None
        applied = datetime.datetime.fromtimestamp(
            head.applied_wall_s, datetime.UTC
        )
        told = {
            "number": head.number,
            "digest": head.digest,
            "author": head.author,
            "applied": applied.isoformat(timespec="seconds"),
            "config": body,
        }
        title = (
            f"number {head.number} by {head.author} at "
            f"{told['applied']}, digest {head.digest}"
        )
        text = json.dumps(body, indent=2, ensure_ascii=False)
        console.tell(
            as_json, told, f"{title}\n{text}" if body else "none in force"
        )


def _read(folder: pathlib.Path) -> config_lib.Config:
    loaded = folder_lib.read(folder)
    variants = {
        "routing": routing.POLICY_REGISTRY.names,
        "placement": worker_capacity.ORDERS.names,
    }
    return check_lib.check(loaded, variants)


def _accepted(outcome: rollout.ApplyOutcome) -> rollout.Applied:
    match outcome:
        case rollout.Applied():
            return outcome
        case rollout.Conflict():
            raise errors.ApplyConflictError(
                outcome.base_number, outcome.newest_number, outcome.changes
            )
        case rollout.Undecided():
            raise errors.PlatformUnavailableError(
                f"{outcome.reason}; it may have been applied or may yet be: "
                "look at `config show`, or apply again with the same --from"
            )
        case _:
            raise errors.PlatformUnavailableError(
                f"{outcome.reason}; nothing was applied, try again"
            )


def _hand_over(
    controllers: tuple[str, ...],
    applied: rollout.Applied,
    config: config_lib.Config,
) -> None:
    """Gives an accepted configuration to some processes directly.

    The failure guarded against: the table goes down right after it accepted,
    before any process has read the change. All would go on with the one
    before until the table is back. A few that have it pass it on to the rest.
    """
    if not controllers or applied.newest_number != applied.number:
        return
    # Imported here, so that `config check` opens no sockets.
    from vanillaswitch.transport import hand_over

    body = canonical.dump(config)
    message = peers.ConfigBody(applied.number, applied.digest, body)
    hand_over.send(controllers, message)


def _line(change: diff_lib.Change) -> str:
    if change.before is None:
        return f"+ {change.path}: {json.dumps(change.after)}"
    if change.after is None:
        return f"- {change.path}: {json.dumps(change.before)}"
    before, after = json.dumps(change.before), json.dumps(change.after)
    return f"~ {change.path}: {before} -> {after}"
