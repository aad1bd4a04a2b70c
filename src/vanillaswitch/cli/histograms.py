"""``vanillaswitch histograms``: what a process measured, for operators."""

from collections.abc import Mapping
import http
import json
import sys
from typing import Any

import click

from vanillaswitch.cli import console
from vanillaswitch.cli import exits


def _fetch(address: str, page: str) -> Mapping[str, Any]:
    """Returns a page; an empty one where the process has none such."""
    # Imported here, so that `--help` needs no HTTP client.
    import geventhttpclient

    host, _, port = address.rpartition(":")
    client = geventhttpclient.HTTPClient(
        host, int(port), connection_timeout=2.0, network_timeout=2.0
    )
    try:
        response = client.get(f"/_/{page}")
        if response.status_code == http.HTTPStatus.NOT_FOUND:
            return {}
        found: Mapping[str, Any] = json.loads(bytes(response.read()))
        return found
    finally:
        client.close()


def _line(name: str, summary: Mapping[str, Any]) -> str:
    return (
        f"{name:<40} {summary['count']:>9} "
        f"{summary['p50_us'] / 1000:>10.1f} {summary['p99_us'] / 1000:>10.1f} "
        f"{summary['max_us'] / 1000:>10.1f}"
    )


@click.command("histograms")
@click.argument("address", metavar="IP:PORT", callback=console.check_address)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
@click.option("--counters", is_flag=True, help="Print the counters too.")
def command(address: str, as_json: bool, counters: bool) -> None:
    """Prints what the process at IP:PORT has measured since its start.

    An entry has histograms for each class and caller; a controller has only
    counters. IP:PORT is the "listen" address that the daemon printed.

    Exit codes: 0 done, 2 wrong usage, 3 the process gave no answer.
    """
    try:
        pages = {"histograms": _fetch(address, "histograms")}
        if counters:
            pages["counters"] = _fetch(address, "counters")
    except (OSError, ValueError) as error:
        click.echo(f"{address} gave no answer: {error}", err=True)
        sys.exit(exits.UNAVAILABLE)
    if as_json:
        click.echo(json.dumps(pages, indent=2, sort_keys=True))
        return
    click.echo(
        f"{'':<40} {'count':>9} {'p50 ms':>10} {'p99 ms':>10} {'max ms':>10}"
    )
    for name, summary in sorted(pages["histograms"].items()):
        click.echo(_line(name, summary))
    for name, count in sorted(pages.get("counters", {}).items()):
        click.echo(f"{name:<40} {count:>9}")
