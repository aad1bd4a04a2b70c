"""Sums up the runs of ``measure_slots``.

    python -m standins.slots_report runs.jsonl processes.jsonl

writes ``docs/measurements/slots.json``, with the median, least and greatest
of the seeds, and prints the table of docs/adr/0006-slots.md.
"""

import json
import pathlib
import statistics
from typing import Any

import click

from standins import measure_slots

TARGET = pathlib.Path("docs/measurements/slots.json")
CLASSES = tuple(one.name for one in measure_slots.TRAFFIC)

_Rows = list[dict[str, Any]]


def _spread(values: list[float]) -> dict[str, float]:
    return {
        "median": statistics.median(values),
        "least": min(values),
        "most": max(values),
    }


def _percent(row: dict[str, Any], name: str, outcome: str) -> float:
    figures = row["classes"][name]
    share = float(figures[outcome] / max(1, figures["sent"]))
    return round(100 * share, 2)


def _class(rows: _Rows, name: str) -> dict[str, Any]:
    return {
        **{
            key: _spread([row["classes"][name][key] for row in rows])
            for key in ("p50_ms", "p99_ms")
        },
        **{
            f"{outcome}_percent": _spread(
                [_percent(row, name, outcome) for row in rows]
            )
            for outcome in ("not-run", "unknown")
        },
    }


def summary(rows: _Rows) -> _Rows:
    """Returns one record for each load, condition and policy."""
    groups: dict[tuple[float, str, str], _Rows] = {}
    for row in rows:
        key = (row["load"], row["condition"], row["policy"])
        groups.setdefault(key, []).append(row)
    return [
        {
            "load": load,
            "condition": condition,
            "policy": policy,
            "seeds": len(group),
            "seconds": group[0]["seconds"],
            "classes": {name: _class(group, name) for name in CLASSES},
            "without_retry_after": sum(
                row["classes"][name]["without_retry_after"]
                for row in group
                for name in CLASSES
            ),
            **{
                key: _spread([row[key] for row in group])
                for key in (
                    "over_subscribed_percent",
                    "minion_wait_p99_ms",
                    "retries_percent",
                    "loan_messages",
                )
            },
        }
        for (load, condition, policy), group in groups.items()
    ]


def _line(record: dict[str, Any]) -> str:
    classes = record["classes"].values()
    latencies = " | ".join(_latency(one) for one in classes)
    refused = ", ".join(
        f"{_median(one, 'not-run_percent'):.1f}" for one in classes
    )
    return (
        f"| {record['load']:.0%} | {record['condition']} "
        f"| {record['policy']} | {latencies} | {refused} | "
        f"{_median(record, 'over_subscribed_percent'):.1f} | "
        f"{_median(record, 'retries_percent'):.1f} |"
    )


def _latency(figures: dict[str, Any]) -> str:
    p99 = figures["p99_ms"]
    return (
        f"{_median(figures, 'p50_ms'):.0f} / {p99['median']:.0f} "
        f"({p99['least']:.0f}-{p99['most']:.0f})"
    )


def _median(figures: dict[str, Any], key: str) -> float:
    return float(figures[key]["median"])


def _lines(records: _Rows) -> str:
    """Returns a JSON list with one record a line."""
    return "[\n" + ",\n".join(map(json.dumps, records)) + "\n]"


def _read(path: pathlib.Path) -> _Rows:
    return [json.loads(line) for line in path.read_text().splitlines()]


@click.command()
@click.argument("runs", type=click.Path(path_type=pathlib.Path))
@click.argument("processes", type=click.Path(path_type=pathlib.Path))
@click.option("--commit", required=True, help="What was measured.")
def main(runs: pathlib.Path, processes: pathlib.Path, commit: str) -> None:
    """Writes the figures of the runs and prints their table."""
    records = summary(_read(runs))
    TARGET.write_text(
        f'{{"commit": {json.dumps(commit)},\n'
        f'"decisions": {_lines(records)},\n'
        f'"processes": {_lines(_read(processes))}}}\n'
    )
    order = measure_slots.CONDITIONS
    records.sort(
        key=lambda one: (
            one["load"],
            order.index(one["condition"]),
            one["policy"],
        )
    )
    for record in records:
        click.echo(_line(record))


if __name__ == "__main__":
    main()
