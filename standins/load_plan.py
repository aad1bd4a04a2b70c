"""What the load driver sends and what it reports."""

import dataclasses
import json
import pathlib

import cattrs


@dataclasses.dataclass(frozen=True)
class ClassPlan:
    """Requests of one class, at a fixed rate.

    Attributes:
        target: path and query; names the service first.
        once: carries an idempotency key and its time of issue.
        timeout_ms: the deadline that each request states.
    """

    name: str
    target: str
    requests: int
    rate_per_s: float
    method: str = "POST"
    once: bool = False
    timeout_ms: int = 1000
    body_bytes: int = 64


@dataclasses.dataclass(frozen=True)
class Plan:
    """A whole load; the same plan sends the same requests.

    Attributes:
        entries: "ip:port" of each entry, used in turn.
        callers: names that take turns.
    """

    seed: int
    classes: tuple[ClassPlan, ...]
    entries: tuple[str, ...] = ()
    callers: tuple[str, ...] = ("caller-a", "caller-b")


@dataclasses.dataclass(frozen=True)
class ClassReport:
    """What became of the requests of one class.

    Latencies run from the moment at which the plan wanted a request sent, in
    milliseconds, and count whole answers of minions only.

    Attributes:
        answered: whole answers that belong to their requests.
        wrong: whole answers that belong to another request.
        not_run: refusals that promise that nothing ran.
        unknown: requests that may have run.
        failed: no entry took the request; nothing was sent.
        other: answers of minions with a status other than 200.
    """

    name: str
    sent: int
    answered: int
    wrong: int
    not_run: int
    unknown: int
    failed: int
    other: int
    p50_ms: float
    p99_ms: float
    max_ms: float


@dataclasses.dataclass(frozen=True)
class LoadReport:
    """What became of a whole load."""

    classes: tuple[ClassReport, ...]
    seconds: float


def load(path: pathlib.Path) -> Plan:
    """Reads a plan from a JSON file."""
    return cattrs.Converter().structure(json.loads(path.read_text()), Plan)
