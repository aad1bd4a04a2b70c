"""Compares policies over seeds and sizes."""

from collections.abc import Callable
from collections.abc import Mapping
from collections.abc import Sequence
import dataclasses
import statistics

from standins.model import day as days_lib

# Files the faults under their kinds.
from standins.model import faults as _faults  # noqa: F401
from standins.model import judge
from standins.model import scenario as scenarios
from standins.model import world as worlds

Progress = Callable[[str], None]


@dataclasses.dataclass(frozen=True)
class Row:
    """A policy at a size: the mean over the seeds, and their spread."""

    policy: str
    size: float
    mean: judge.Verdict
    spread: float


@dataclasses.dataclass(frozen=True)
class Result:
    """An experiment's table, and the first seed's days for its plot."""

    rows: Sequence[Row]
    days: Mapping[str, days_lib.Day]


def run(experiment: scenarios.Experiment, progress: Progress) -> Result:
    """Plays all days of an experiment.

    Args:
        experiment: what is compared.
        progress: told of each day that was played.
    """
    rows = []
    days: dict[str, days_lib.Day] = {}
    for size in experiment.sizes:
        for policy in experiment.policy:
            verdicts = []
            for seed in experiment.seeds:
                day = worlds.World(
                    experiment.scenario, policy, size, seed
                ).play()
                days.setdefault(policy.name, day)
                verdict = judge.judge(experiment.scenario, day)
                verdicts.append(verdict)
                progress(
                    f"{policy.name}, size {size:g}, seed {seed}: "
                    f"worth {verdict.worth:.3f}"
                )
            rows.append(_row(policy.name, size, verdicts))
    return Result(rows, days)


def _row(policy: str, size: float, verdicts: list[judge.Verdict]) -> Row:
    def mean(name: str) -> float:
        return statistics.fmean(getattr(item, name) for item in verdicts)

    names = [field.name for field in dataclasses.fields(judge.Verdict)]
    values = {name: mean(name) for name in names if name != "start_ms"}
    starts = tuple(
        statistics.fmean(item.start_ms[index] for item in verdicts)
        for index in range(3)
    )
    worths = [item.worth for item in verdicts]
    spread = statistics.stdev(worths) if len(worths) > 1 else 0.0
    found = judge.Verdict(**values, start_ms=starts)  # type: ignore[arg-type]
    return Row(policy, size, found, spread)


HEAD = (
    "policy",
    "size",
    "worth",
    "+-",
    "credit",
    "windows",
    "in time",
    "largest",
    "prices",
    "mach. s",
    "moves",
    "waste",
    "p50 ms",
    "p95 ms",
    "p99 ms",
    "ms/s",
    "bad jobs",
    "inst. lost",
    "runs lost",
    "wronged",
)


def table(rows: Sequence[Row]) -> str:
    """Returns the rows as a table of Markdown."""
    lines = ["| " + " | ".join(HEAD) + " |"]
    lines.append("|" + "---|" * len(HEAD))
    for row in rows:
        mean = row.mean
        cells = [
            row.policy,
            f"{row.size:g}",
            f"{mean.worth:.3f}",
            f"{row.spread:.3f}",
            *(
                f"{value:.3f}"
                for value in (
                    mean.credit,
                    mean.windows,
                    mean.in_time,
                    mean.largest,
                    mean.prices,
                )
            ),
            f"{mean.machine_seconds:.0f}",
            f"{mean.moves:.0f}",
            f"{mean.thrown_away:.0f}",
            *(f"{value:.0f}" for value in mean.start_ms),
            f"{mean.decisions_ms:.1f}",
            f"{mean.bad:.1f}",
            f"{mean.instances_lost:.1f}",
            f"{mean.runs_lost:.1f}",
            f"{mean.wronged:.2f}",
        ]
        lines.append("| " + " | ".join(cells) + " |")
    return "\n".join(lines)
