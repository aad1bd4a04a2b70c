"""What operators' commands share: options, output and exit codes."""

from collections.abc import Callable
from collections.abc import Iterator
from collections.abc import Mapping
import contextlib
import dataclasses
import ipaddress
import json
import random
import sys
from typing import Any

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.coordination.configuration import rollout
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import operator_commits
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import platform
from vanillaswitch.state import canonical
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import rows

Connect = Callable[[str], contextlib.AbstractContextManager[platform.Platform]]


def check_address(
    _ctx: click.Context, _param: click.Parameter, value: str
) -> str:
    """Returns an "ip:port" of the command line.

    Raises:
        click.BadParameter: it is none.
    """
    host, _, port = value.rpartition(":")
    try:
        ipaddress.ip_address(host.strip("[]"))
        valid = 0 < int(port) < 65_536
    except ValueError:
        valid = False
    if not valid:
        raise click.BadParameter("must be ip:port, such as 10.0.0.1:8080")
    return value


platform_option = click.option(
    "--platform",
    "address",
    required=True,
    metavar="IP:PORT",
    callback=check_address,
    help="The platform's HTTP interface.",
)

operator_option = click.option(
    "--operator", help="Who does it; by default the login name."
)

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON, also for refusals."
)


@contextlib.contextmanager
def refusing(as_json: bool) -> Iterator[None]:
    """Turns a refusal into its message and exit code.

    Args:
        as_json: print refusals as JSON.
    """
    try:
        yield
    except errors.ConfigRejected as rejected:
        mistakes = list(_flat(rejected))
        told = [
            {"file": e.file, "field": e.field, "message": e.message}
            for e in mistakes
        ]
        text = "\n".join(map(str, mistakes))
        _refuse(as_json, {"errors": told}, text, exits.REFUSED)
    except errors.ApplyConflictError as conflict:
        found = {"conflict": str(conflict), "changes": conflict.changes}
        _refuse(as_json, found, str(conflict), exits.REFUSED)
    except (errors.WaveRefusedError, errors.CordonRefusedError) as refused:
        _refuse(as_json, {"refused": str(refused)}, str(refused), exits.REFUSED)
    except errors.PlatformUnavailableError as error:
        text = f"the platform gave no answer: {error}"
        found = {"unavailable": str(error)}
        _refuse(as_json, found, text, exits.UNAVAILABLE)


def connect(
    ctx: click.Context, address: str
) -> contextlib.AbstractContextManager[platform.Platform]:
    """Connects by what the caller handed in, else by the HTTP adapter.

    Args:
        ctx: its ``obj`` is a ``Connect`` of the caller, or None for HTTP.
        address: "ip:port" of the platform.
    """
    handed_in: Connect | None = ctx.obj
    if handed_in is not None:
        return handed_in(address)
    # Imported here, so that commands without a platform need no HTTP client.
    from vanillaswitch.transport import platform_http

    return platform_http.connect(address)


@contextlib.contextmanager
def connected(
    ctx: click.Context, address: str, as_json: bool
) -> Iterator[platform.Platform]:
    """Yields the platform; see ``connect`` and ``refusing``."""
    with refusing(as_json), connect(ctx, address) as found:
        yield found


@dataclasses.dataclass(frozen=True)
class InForce:
    """The configuration in force; ``config`` is None before the first."""

    head: rows.ConfigHead
    config: config_lib.Config | None


def look(source: platform.Platform) -> InForce:
    """Returns the configuration in force, if there is any.

    Raises:
        errors.PlatformUnavailableError: it can't be read now.
        errors.ConfigRejected: this version of the program can't read it.
    """
    head = rollout.read_head(source.table)
    if isinstance(head, platform.Unavailable):
        raise errors.PlatformUnavailableError(head.reason)
    if head.row.number == rollout.NO_CONFIG_NUMBER:
        return InForce(head.row, None)
    body = rollout.load_body(source.objects, head.row.digest)
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
    return InForce(head.row, config)


def in_force(source: platform.Platform) -> config_lib.Config:
    """Returns the configuration in force.

    Raises:
        errors.ConfigRejected: there is none yet, or see ``look``.
        errors.PlatformUnavailableError: it can't be read now.
    """
    config = look(source).config
    if config is None:
        raise errors.ConfigRejected(
            "there is no configuration in force",
            [
                errors.ConfigError(
                    "(in force)", "(all)", "is missing: use `config apply`"
                )
            ],
        )
    return config


def tell(as_json: bool, told: Any, text: str, refused: bool = False) -> None:
    """Prints JSON on standard output, text of refusals on standard error."""
    if as_json:
        click.echo(json.dumps(told, indent=2, ensure_ascii=False))
    else:
        click.echo(text, err=refused)


def _refuse(
    as_json: bool, told: Mapping[str, Any], text: str, code: int
) -> None:
    tell(as_json, told, text, refused=True)
    sys.exit(code)


def _flat(
    group: BaseExceptionGroup[errors.ConfigError],
) -> Iterator[errors.ConfigError]:
    for error in group.exceptions:
        if isinstance(error, BaseExceptionGroup):
            yield from _flat(error)
        else:
            yield error


def commit(
    source: platform.Platform,
    fleet: fleet_state.Fleet,
    changed: changes.Changes,
) -> bool:
    """Writes an operator's changes; returns False when others were faster."""
    return operator_commits.commit(
        source.table,
        clocks.SystemClock(),
        random.SystemRandom(),
        fleet,
        changed,
    )


def read_fleet(source: platform.Platform) -> fleet_state.Fleet:
    """Returns the whole fleet.

    Raises:
        errors.PlatformUnavailableError: the platform gave no answer.
    """
    fleet = fleet_state.read_with_statuses(source)
    if isinstance(fleet, platform.Unavailable):
        raise errors.PlatformUnavailableError(fleet.reason)
    return fleet
