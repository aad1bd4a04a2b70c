"""``vanillaswitch config``: check, compare, apply and show configurations."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import datetime
import getpass
import ipaddress
import json
import pathlib
import random
import sys
from typing import Any

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.coordination import rollout
from vanillaswitch.coordination import routing
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform as platform_module
from vanillaswitch.state import canonical
from vanillaswitch.state import check as check_module
from vanillaswitch.state import config as config_module
from vanillaswitch.state import diff as diff_module
from vanillaswitch.state import folder as folder_module

Connect = Callable[
    [str], contextlib.AbstractContextManager[platform_module.Platform]
]


@click.group("config")
def command() -> None:
    """Checks, compares, applies and shows configurations.

    Look at `config diff FOLDER` first: it prints the number in force, which
    `config apply FOLDER --from NUMBER` needs.

    Exit codes: 0 done, 1 rejected or overtaken by another operator, 2 wrong
    usage, 3 the platform gave no answer.
    """


def _address(_ctx: click.Context, _param: click.Parameter, value: str) -> str:
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        raise click.BadParameter("must be ip:port, such as 10.0.0.1:8080")
    return value


_folder = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
_platform = click.option(
    "--platform",
    "address",
    required=True,
    metavar="IP:PORT",
    callback=_address,
    help="The platform's HTTP interface.",
)
_json = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON, also for refusals."
)


@command.command()
@_folder
@_json
def check(folder: pathlib.Path, as_json: bool) -> None:
    """Checks FOLDER and prints every mistake with its file and field."""
    with _exits(as_json):
        config = _read(folder)
        digest = canonical.digest(canonical.dump(config))
        _tell(as_json, {"digest": digest}, f"right, digest {digest}")


@command.command()
@_folder
@_platform
@_json
@click.pass_context
def diff(
    ctx: click.Context, folder: pathlib.Path, address: str, as_json: bool
) -> None:
    """Prints what FOLDER would change, and the number in force."""
    with _exits(as_json):
        config = _read(folder)
        with _connect(ctx, address) as platform:
            head, current = _in_force(platform)
        changes = diff_module.diff(current, config)
        told = {
            "number": head.row.number,
            "changes": [
                {"path": c.path, "before": c.before, "after": c.after}
                for c in changes
            ],
        }
        lines = [f"in force: number {head.row.number}"]
        lines += [_line(change) for change in changes]
        _tell(as_json, told, "\n".join(lines))


@command.command()
@_folder
@_platform
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
@_json
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
    with _exits(as_json):
        config = _read(folder)
        with _connect(ctx, address) as platform:
            outcome = rollout.apply(
                platform,
                clocks.SystemClock(),
                random.SystemRandom(),
                config,
                author or getpass.getuser(),
                started_from or rollout.NONE_YET,
            )
        applied = _accepted(outcome)
        _tell(
            as_json,
            {"number": applied.number, "in_force": applied.in_force},
            f"accepted as number {applied.number}, "
            f"in force: number {applied.in_force}",
        )


@command.command()
@_platform
@_json
@click.pass_context
def show(ctx: click.Context, address: str, as_json: bool) -> None:
    """Prints the configuration in force."""
    with _exits(as_json):
        with _connect(ctx, address) as platform:
            head, config = _in_force(platform)
        body = json.loads(canonical.dump(config)) if config else None
        applied = datetime.datetime.fromtimestamp(
            head.row.applied_wall_s, datetime.UTC
        )
        told = {
            "number": head.row.number,
            "digest": head.row.digest,
            "author": head.row.author,
            "applied": applied.isoformat(timespec="seconds"),
            "config": body,
        }
        title = (
            f"number {head.row.number} by {head.row.author} at "
            f"{told['applied']}, digest {head.row.digest}"
        )
        text = json.dumps(body, indent=2, ensure_ascii=False)
        _tell(as_json, told, f"{title}\n{text}" if body else "none in force")


def _read(folder: pathlib.Path) -> config_module.Config:
    loaded = folder_module.read(folder)
    variants = {"routing": routing.policies.names}
    return check_module.check(loaded, variants)


def _connect(
    ctx: click.Context, address: str
) -> contextlib.AbstractContextManager[platform_module.Platform]:
    """Connects by what the caller handed in, else by the HTTP adapter."""
    connect: Connect | None = ctx.obj
    if connect is None:
        # Imported here, so that `check` needs no HTTP client.
        from vanillaswitch.transport import platform_http

        connect = platform_http.connect
    return connect(address)


def _in_force(
    platform: platform_module.Platform,
) -> tuple[rollout.Head, config_module.Config | None]:
    head = rollout.read_head(platform.table)
    if isinstance(head, platform_module.Unavailable):
        raise errors.PlatformUnavailableError(head.reason)
    if head.row.number == rollout.NONE_YET:
        return head, None
    body = rollout.load_body(platform.objects, head.row.digest)
    if body is None:
        raise errors.PlatformUnavailableError(
            f"the body of number {head.row.number} can't be fetched"
        )
    config = canonical.load(body)
    if config is None:
        raise errors.ConfigRejected(
            "a newer version of this program wrote what is in force",
            [errors.ConfigError("(in force)", "(all)", "can't be read")],
        )
    return head, config


def _accepted(outcome: rollout.ApplyOutcome) -> rollout.Applied:
    match outcome:
        case rollout.Applied():
            return outcome
        case rollout.Conflict():
            raise errors.ApplyConflictError(
                outcome.started_from, outcome.found, outcome.changes
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


@contextlib.contextmanager
def _exits(as_json: bool) -> Iterator[None]:
    """Turns a refusal into its message and exit code."""
    try:
        yield
    except errors.ConfigRejected as rejected:
        mistakes = list(_flat(rejected))
        told = [
            {"file": e.file, "field": e.field, "message": e.message}
            for e in mistakes
        ]
        _tell(as_json, {"errors": told}, "\n".join(map(str, mistakes)), True)
        sys.exit(exits.REFUSED)
    except errors.ApplyConflictError as conflict:
        told_conflict = {"conflict": str(conflict), "changes": conflict.changes}
        _tell(as_json, told_conflict, str(conflict), True)
        sys.exit(exits.REFUSED)
    except errors.PlatformUnavailableError as error:
        text = f"the platform gave no answer: {error}"
        _tell(as_json, {"unavailable": str(error)}, text, True)
        sys.exit(exits.UNAVAILABLE)


def _flat(
    group: BaseExceptionGroup[errors.ConfigError],
) -> Iterator[errors.ConfigError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flat(error)
        else:
            yield error


def _tell(as_json: bool, told: Any, text: str, refused: bool = False) -> None:
    """Prints JSON on standard output, text of refusals on standard error."""
    if as_json:
        click.echo(json.dumps(told, indent=2, ensure_ascii=False))
    else:
        click.echo(text, err=refused)


def _line(change: diff_module.Change) -> str:
    if change.before is None:
        return f"+ {change.path}: {json.dumps(change.after)}"
    if change.after is None:
        return f"- {change.path}: {json.dumps(change.before)}"
    before, after = json.dumps(change.before), json.dumps(change.after)
    return f"~ {change.path}: {before} -> {after}"
