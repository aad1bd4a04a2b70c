"""A small open-loop load driver for callers' requests.

Run it with ``python -m standins.load --entries ip:port,ip:port --plan p.json``.
Requests leave at their planned moments, however slow the answers are, so that
a slow system can't lighten its own load.
"""

import collections
import dataclasses
import json
import pathlib
import random

import cattrs
import click
import gevent
import gevent.pool
from hdrh import histogram

from standins import load_plan
from standins import verdicts
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import minions
from vanillaswitch.protocol import requests
from vanillaswitch.transport import minion_http

_PATIENCE_S = 2.0
_HIGHEST_US = 600_000_000
_DIGITS = 2


@dataclasses.dataclass(frozen=True)
class _Planned:
    """One request and the moment, in seconds from the start, it leaves at."""

    at_s: float
    entry: str
    plan: load_plan.ClassPlan
    request: requests.Request


class _Tally:
    """Results and latencies of one class."""

    def __init__(self) -> None:
        self._counts: collections.Counter[verdicts.Result] = (
            collections.Counter()
        )
        self._latencies = histogram.HdrHistogram(1, _HIGHEST_US, _DIGITS)

    def add(self, result: verdicts.Result, seconds: float) -> None:
        """Counts one request."""
        self._counts[result] += 1
        if result is verdicts.Result.ANSWERED:
            self._latencies.record_value(max(1, int(seconds * 1e6)))

    def report(self, name: str) -> load_plan.ClassReport:
        """Returns the figures so far."""
        counts = {
            result.value: self._counts[result] for result in verdicts.Result
        }
        return load_plan.ClassReport(
            name=name,
            sent=self._counts.total(),
            p50_ms=self._latencies.get_value_at_percentile(50) / 1000,
            p99_ms=self._latencies.get_value_at_percentile(99) / 1000,
            max_ms=self._latencies.get_max_value() / 1000,
            **counts,
        )


def _plan_requests(plan: load_plan.Plan, wall_s: float) -> list[_Planned]:
    """Returns all requests of a plan in the order of their moments."""
    source = random.Random(plan.seed)
    planned = [
        _plan_request(plan, one, number, source, wall_s)
        for one in plan.classes
        for number in range(one.requests)
    ]
    return sorted(planned, key=lambda item: item.at_s)


def _plan_request(
    plan: load_plan.Plan,
    one: load_plan.ClassPlan,
    number: int,
    source: random.Random,
    wall_s: float,
) -> _Planned:
    at_s = number / one.rate_per_s
    issued_ms = int((wall_s + at_s) * 1000)
    fields = [(requests.HEADER_TIMEOUT_MS, str(one.timeout_ms))]
    if one.once:
        fields.append((requests.HEADER_ISSUED_MS, str(issued_ms)))
    body = source.randbytes(one.body_bytes) if one.method != "GET" else b""
    request = requests.Request(
        request_id=ids.new_id(source),
        caller=plan.callers[number % len(plan.callers)],
        service=one.target.split("/")[1],
        request_class=one.name,
        method=one.method,
        target=one.target,
        headers=tuple(fields),
        body=body,
        deadline=0.0,
        idempotency_key=ids.new_id(source) if one.once else "",
        issued_ms=issued_ms if one.once else 0,
    )
    entry = plan.entries[number % len(plan.entries)]
    return _Planned(at_s, entry, one, request)


def _entry(address: str) -> minions.Minion:
    return minions.Minion(address, "", address, "", "", 0, 0)


def run(plan: load_plan.Plan) -> load_plan.LoadReport:
    """Sends all requests of a plan and returns what became of them."""
    clock = clocks.SystemClock()
    tallies = {one.name: _Tally() for one in plan.classes}
    tasks = gevent.pool.Group()
    planned = _plan_requests(plan, clock.wall())
    settings = minion_http.ClientSettings(patience_s=_PATIENCE_S)
    with minion_http.open_client(clock, settings) as client:
        start = clock.monotonic()

        def send(item: _Planned) -> None:
            timeout_s = item.plan.timeout_ms / 1000
            outcome = client.send(
                _entry(item.entry),
                item.request,
                timeout_s,
                fresh=item.plan.once,
            )
            seconds = clock.monotonic() - start - item.at_s
            result = verdicts.judge(outcome, item.request)
            tallies[item.plan.name].add(result, seconds)

        for item in planned:
            clock.sleep(max(0.0, start + item.at_s - clock.monotonic()))
            tasks.spawn(send, item)
        tasks.join()
        seconds = clock.monotonic() - start
    reports = tuple(tally.report(name) for name, tally in tallies.items())
    return load_plan.LoadReport(reports, seconds)


@click.command()
@click.option("--entries", required=True, help="ip:port,ip:port")
@click.option(
    "--plan", "path", required=True, type=click.Path(path_type=pathlib.Path)
)
def main(entries: str, path: pathlib.Path) -> None:
    """Runs a plan and prints its report as JSON."""
    plan = dataclasses.replace(
        load_plan.load(path), entries=tuple(entries.split(","))
    )
    click.echo(json.dumps(cattrs.unstructure(run(plan)), indent=2))


if __name__ == "__main__":
    main()
