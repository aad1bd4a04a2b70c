"""Decision records: why the system acted as it did.

Each subject (wave, pool, instance or job) has one row of bounded length. It is
written in the same transaction as the change itself, so no such change lacks
a record, and no record describes a change that was not committed.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses

from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

MAX_DECISIONS = 50
"""Decisions kept for each subject; the oldest are dropped first."""


@dataclasses.dataclass(frozen=True)
class Decision:
    """One decision.

    Attributes:
        subject: what it concerns, "wave/kernel" or "pool/berthing-batch".
        cause: what was observed.
        rule: the rule that was applied to the cause.
        figures: the rule's numeric inputs, by name.
        actor: duty or operator that made the decision.
        wall_s: time of the decision, seconds since the Unix epoch.
    """

    subject: str
    cause: str
    rule: str
    figures: Mapping[str, float]
    actor: str
    wall_s: float


@dataclasses.dataclass(frozen=True)
class DecisionHistory:
    """Row ``decision/<subject>``: the latest decisions, oldest first."""

    entries: tuple[Decision, ...] = ()


def wave_subject(name: str) -> str:
    """Returns the subject of decisions about a wave."""
    return f"wave/{name}"


def pool_subject(name: str) -> str:
    """Returns the subject of decisions about a pool."""
    return f"pool/{name}"


def instance_subject(name: str) -> str:
    """Returns the subject of decisions about an instance."""
    return f"instance/{name}"


def job_subject(name: str) -> str:
    """Returns the subject of decisions about a job."""
    return f"job/{name}"


def history_key(subject: str) -> str:
    """Returns the key of the row with a subject's decisions."""
    return keys.decisions(subject)


def history_keys(decisions: Iterable[Decision]) -> tuple[str, ...]:
    """Returns the keys of the rows to read before calling ``build_puts``."""
    subjects = {decision.subject for decision in decisions}
    return tuple(keys.decisions(subject) for subject in sorted(subjects))


def decode_history(row: platform.Row | None) -> DecisionHistory:
    """Decodes the decisions of a row; returns an empty history without one."""
    if row is None or row.version == platform.ABSENT:
        return DecisionHistory()
    return rows.load(DecisionHistory, row.value)


def build_puts(
    decisions: Iterable[Decision], found: Iterable[platform.Row]
) -> tuple[platform.Put, ...]:
    """Returns the writes that append decisions to their subjects' rows.

    Args:
        decisions: new decisions, oldest first.
        found: the existing rows of ``history_keys(decisions)``.
    """
    by_key = {row.key: row for row in found}
    by_subject: dict[str, list[Decision]] = {}
    for decision in decisions:
        by_subject.setdefault(decision.subject, []).append(decision)
    return tuple(
        _put(by_key.get(keys.decisions(subject)), subject, new)
        for subject, new in sorted(by_subject.items())
    )


def _put(
    row: platform.Row | None, subject: str, new: list[Decision]
) -> platform.Put:
    entries = (*decode_history(row).entries, *new)[-MAX_DECISIONS:]
    version = row.version if row else platform.ABSENT
    value = rows.dump(DecisionHistory(entries))
    return platform.Put(keys.decisions(subject), version, value)
