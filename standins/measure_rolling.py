"""Measures a rolling restart of all entries under load.

``python -m standins.measure_rolling`` starts eight entries, lets clerks ask
for quotes on kept connections and make charges without pause, and replaces
one entry after another by SIGTERM. It prints its figures as JSON.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import itertools
import json
import pathlib
import tempfile

import click
import gevent
import gevent.event
from hdrh import histogram

from standins import callers as callers_lib
from standins import site as site_lib
from standins import verdicts

_HIGHEST_US = 600_000_000
_TRIES = 50
_FAILED_PAUSE_S = 0.01


@dataclasses.dataclass(frozen=True)
class Plan:
    """A rolling restart.

    Attributes:
        clerks: how many callers send without pause.
        answers: whole answers between one restart and the next.
        kept: quotes go on kept connections.
    """

    entries: int = 8
    clerks: int = 16
    answers: int = 400
    kept: bool = True
    work_ms: float = 5.0


@dataclasses.dataclass(frozen=True)
class Report:
    """What became of the requests.

    Attributes:
        requests: attempts that reached an entry.
        refused: attempts that were told "not run".
        not_sent: attempts that found no listener; nothing was sent.
        cut: attempts whose connection broke after they were sent.
        unanswered: quotes and charges that got no whole answer in the end.
        untrue: untrue words, doubled charges among them.
        exit_codes: of the entries that were stopped.
        quote_p99_ms: of whole answers, as is ``charge_p99_ms``.
    """

    requests: int
    answered: int
    refused: int
    not_sent: int
    cut: int
    unanswered: int
    untrue: tuple[str, ...]
    exit_codes: tuple[int, ...]
    quote_p99_ms: float
    charge_p99_ms: float


class Load:
    """Clerks who send without pause until they are stopped."""

    def __init__(
        self, site: site_lib.Site, callers: callers_lib.Callers, kept: bool
    ):
        self.unanswered = 0
        self.answered = 0
        self._site = site
        self._callers = callers
        self._kept = kept
        self._turns = itertools.count()
        self._going = True
        self._seen = gevent.event.Event()

    @contextlib.contextmanager
    def running(self, clerks: int) -> Iterator[None]:
        """Sends until the block is left, and waits for what is under way."""
        tasks = [gevent.spawn(self._work) for _ in range(clerks)]
        try:
            yield
        finally:
            self._going = False
            gevent.joinall(tasks, raise_error=True)

    def wait_for(self, answers: int) -> None:
        """Waits for so many more whole answers."""
        wanted = self.answered + answers
        while self.answered < wanted:
            self._seen.clear()
            self._seen.wait()

    def _work(self) -> None:
        while self._going:
            self._ask("")
            self._ask(self._callers.new_key())

    def _ask(self, key: str) -> None:
        """Asks one entry after another, as a till does, until answered."""
        for _ in range(_TRIES):
            told = self._send(key)
            if told.result is verdicts.Result.ANSWERED:
                self.answered += 1
                self._seen.set()
                return
            gevent.sleep(_FAILED_PAUSE_S)
        self.unanswered += 1

    def _send(self, key: str) -> callers_lib.Told:
        known = self._site.running.callers_addresses
        entry = known[next(self._turns) % len(known)]
        if key:
            return self._callers.charge(entry, key)
        return self._callers.quote(entry, fresh=not self._kept)


def run(plan: Plan, site: site_lib.Site, seed: int = 1) -> Report:
    """Replaces each entry of a site once and returns what was seen."""
    with (
        callers_lib.run(seed) as callers,
        site.entries(plan.entries) as entries,
    ):
        load = Load(site, callers, plan.kept)
        codes = []
        with load.running(plan.clerks):
            for old in entries:
                load.wait_for(plan.answers)
                site.start_entry()
                site.running.wait_ready()
                codes.append(old.stop())
            load.wait_for(plan.answers)
        return _report(site, callers, load, tuple(codes))


def _report(
    site: site_lib.Site,
    callers: callers_lib.Callers,
    load: Load,
    codes: tuple[int, ...],
) -> Report:
    told = callers.told
    results = [one.result for one in told]
    not_sent = results.count(verdicts.Result.FAILED)
    return Report(
        requests=len(told) - not_sent,
        answered=load.answered,
        refused=results.count(verdicts.Result.NOT_RUN),
        not_sent=not_sent,
        cut=sum(one.cut for one in told),
        unanswered=load.unanswered,
        untrue=callers.untrue(site.running.counts()),
        exit_codes=codes,
        quote_p99_ms=_p99_ms(one for one in told if not one.key),
        charge_p99_ms=_p99_ms(one for one in told if one.key),
    )


def _p99_ms(told: Iterator[callers_lib.Told]) -> float:
    latencies = histogram.HdrHistogram(1, _HIGHEST_US, 2)
    for one in told:
        if one.result is verdicts.Result.ANSWERED:
            latencies.record_value(max(1, int(one.seconds * 1e6)))
    return float(latencies.get_value_at_percentile(99) / 1000)


@click.command()
@click.option("--clerks", default=Plan.clerks, show_default=True)
@click.option("--answers", default=Plan.answers, show_default=True)
def main(clerks: int, answers: int) -> None:
    """Runs one rolling restart and prints its figures."""
    plan = Plan(clerks=clerks, answers=answers)
    with tempfile.TemporaryDirectory() as name:
        folder = pathlib.Path(name)
        with site_lib.run(folder, plan.work_ms) as site:
            report = run(plan, site)
    click.echo(json.dumps(dataclasses.asdict(report), indent=2))


if __name__ == "__main__":
    main()
