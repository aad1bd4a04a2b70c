"""What operators' commands share: options, output and exit codes."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import ipaddress
import json
import sys
from typing import Any

import click

from vanillaswitch import errors
from vanillaswitch.cli import exits
from vanillaswitch.coordination import rollout
from vanillaswitch.protocol import platform
from vanillaswitch.state import canonical
from vanillaswitch.state import config as config_lib

Connect = Callable[[str], contextlib.AbstractContextManager[platform.Platform]]


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


platform_option = click.option(
    "--platform",
    "address",
    required=True,
    metavar="IP:PORT",
    callback=_address,
    help="The platform's HTTP interface.",
)

json_option = click.option(
    "--json", "as_json", is_flag=True, help="Print JSON, also for refusals."
)


@contextlib.contextmanager
def connected(
    ctx: click.Context, address: str, as_json: bool
) -> Iterator[platform.Platform]:
    """Yields the platform; a refusal becomes its message and exit code.

    Args:
        ctx: its ``obj`` is a ``Connect`` of the caller, or None for HTTP.
        address: "ip:port" of the platform.
        as_json: print refusals as JSON.
    """
    connect: Connect | None = ctx.obj
    if connect is None:
        from vanillaswitch.transport import platform_http

        connect = platform_http.connect
    try:
        with connect(address) as found:
            yield found
    except errors.WaveRefusedError as refused:
        tell(as_json, {"refused": str(refused)}, str(refused), refused=True)
        sys.exit(exits.REFUSED)
    except errors.PlatformUnavailableError as error:
        text = f"the platform gave no answer: {error}"
        tell(as_json, {"unavailable": str(error)}, text, refused=True)
        sys.exit(exits.UNAVAILABLE)


def in_force(source: platform.Platform) -> config_lib.Config:
    """Returns the configuration in force.

    Raises:
        errors.PlatformUnavailableError: there is none, or it can't be read.
    """
    head = rollout.read_head(source.table)
    if isinstance(head, platform.Unavailable):
        raise errors.PlatformUnavailableError(head.reason)
    body = rollout.load_body(source.objects, head.row.digest)
    config = canonical.load(body) if body is not None else None
    if config is None:
        raise errors.PlatformUnavailableError(
            f"configuration number {head.row.number} can't be read"
        )
    return config


def tell(as_json: bool, told: Any, text: str, refused: bool = False) -> None:
    """Prints JSON on standard output, text of refusals on standard error."""
    if as_json:
        click.echo(json.dumps(told, indent=2, ensure_ascii=False))
    else:
        click.echo(text, err=refused)
