"""Applies a checked configuration with optimistic concurrency control.

The body is stored under its digest first. Then one transaction moves the head
from the configuration that the operator started from to the new one. Of two
operators who started from the same one, exactly one is accepted.
"""

import dataclasses
import random

from vanillaswitch.coordination import commit_retries
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform as platform_module
from vanillaswitch.state import canonical
from vanillaswitch.state import config as config_module
from vanillaswitch.state import diff
from vanillaswitch.state import keys
from vanillaswitch.state import rows

NO_CONFIG_NUMBER = 0
"""Number of the head while no configuration was applied yet."""

SETTLE_TIMEOUT_S = 10.0
"""How long a commit is retried whose answer was lost."""

MAX_DIRECT_CONTROLLERS = 8
"""Most controllers to which an accepted configuration is sent directly."""

MAX_RECENT = 16
"""Most accepted configurations that are recorded in the head."""

UNREADABLE_CHANGES = "(the configurations to compare can't be read)"
"""Replaces the list of another operator's changes if it is unknown."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The head and the version of its row."""

    version: int
    row: rows.ConfigHead


NO_HEAD = Head(
    platform_module.ABSENT, rows.ConfigHead(NO_CONFIG_NUMBER, "", "", 0.0)
)


@dataclasses.dataclass(frozen=True)
class Applied:
    """The configuration was accepted.

    Attributes:
        number: of the accepted configuration.
        digest: of the accepted configuration.
        newest_number: newest number in the head; higher than ``number`` if
            another configuration was accepted since.
    """

    number: int
    digest: str
    newest_number: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another configuration was accepted first; this one is refused for good.

    Attributes:
        base_number: number from which the operator started.
        newest_number: the number in force.
        changes: dotted paths that changed since ``base_number``.
    """

    base_number: int
    newest_number: int
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The commit was sent; it may have taken effect or may do so later."""

    reason: str


ApplyOutcome = Applied | Conflict | platform_module.Unavailable | Undecided


@dataclasses.dataclass(frozen=True)
class ApplyAttempt:
    """One operator's attempt to change the head.

    Attributes:
        token: of the transaction.
        digest: of the new configuration.
        started_from: number from which the operator started.
    """

    token: str
    digest: str
    started_from: int


def apply(
    platform: platform_module.Platform,
    clock: clocks.Clock,
    rng: random.Random,
    config: config_module.Config,
    author: str,
    started_from: int,
) -> ApplyOutcome:
    """Stores a configuration and puts it in force.

    Applying the configuration in force is accepted and changes nothing.

    Args:
        platform: stores configurations.
        clock: paces the retries, stamps the head.
        rng: draws the transaction's token.
        config: a checked configuration.
        author: who applies it.
        started_from: the number on which the operator's change is based;
            ``NO_CONFIG_NUMBER`` for the first configuration.

    Returns:
        The outcome. After ``Unavailable`` the configuration neither was nor
        will be accepted.
    """
    body = canonical.dump(config)
    attempt = ApplyAttempt(
        ids.new_id(rng), canonical.digest(body), started_from
    )
    head = read_head(platform.table)
    if isinstance(head, platform_module.Unavailable):
        return head
    if head.row.number != started_from or head.row.digest == attempt.digest:
        return _final_outcome(platform, head, attempt)
    stored = platform.objects.put(attempt.digest, body)
    if isinstance(stored, platform_module.Unavailable):
        return stored
    return _commit_head(platform, clock, head, attempt, author)


def controller_addresses(table: platform_module.Table) -> tuple[str, ...]:
    """Returns the peer addresses of some controllers.

    An accepted configuration is sent to them directly, and they pass it on.
    The result is empty if the table can't be read.
    """
    found = table.scan(keys.SESSIONS, limit=MAX_DIRECT_CONTROLLERS)
    if isinstance(found, platform_module.Unavailable):
        return ()
    sessions = [rows.load(rows.Session, row.value) for row in found.rows]
    return tuple(session.address for session in sessions)


def read_head(
    table: platform_module.Table,
) -> Head | platform_module.Unavailable:
    """Reads the head; returns ``NO_HEAD`` if there is none."""
    found = table.read([keys.CONFIG_HEAD])
    if isinstance(found, platform_module.Unavailable):
        return found
    return _head_from_rows(found.rows)


def next_head_transaction(
    head: Head, attempt: ApplyAttempt, author: str, wall_s: float
) -> platform_module.Transaction:
    """Returns the transaction that makes an attempt the successor of a head."""
    number = head.row.number + 1
    accepted = rows.AcceptedConfig(number, attempt.digest, attempt.token)
    recent = (accepted, *head.row.recent)[:MAX_RECENT]
    row = rows.ConfigHead(number, attempt.digest, author, wall_s, recent)
    put = platform_module.Put(keys.CONFIG_HEAD, head.version, rows.dump(row))
    return platform_module.Transaction(attempt.token, (put,))


def outcome_from_head(
    head: Head, attempt: ApplyAttempt
) -> Applied | Conflict | None:
    """Determines the outcome of an attempt from the head.

    This guards against the following failure: the write of the attempt took
    effect, its answer was lost, and another operator's write followed. The
    head's row then shows the token of the other write only, and a conflict
    would be reported for a configuration that was in force. So the head
    records the latest accepted configurations with their tokens; the one
    numbered ``started_from`` + 1 shows whether the attempt was accepted. Once
    the head has moved past ``started_from``, no copy of the write can take
    effect any more, since it checks the version of the row.

    Returns:
        None if the outcome is unknown: the head has not moved, so a delayed
        copy may still take effect, or it has moved further than it records.
    """
    in_force = head.row.number
    if any(a.token == attempt.token for a in head.row.recent):
        number = attempt.started_from + 1
        return Applied(number, attempt.digest, in_force)
    if head.row.digest == attempt.digest:
        return Applied(in_force, attempt.digest, in_force)
    if in_force == attempt.started_from:
        return None
    is_forgotten = attempt.started_from + 1 < min(
        (a.number for a in head.row.recent), default=0
    )
    if is_forgotten:
        return None
    return Conflict(attempt.started_from, in_force, ())


def load_body(
    objects: platform_module.ObjectStore, digest: str
) -> bytes | None:
    """Fetches a body; returns None if it is missing, unavailable or damaged."""
    found = objects.get(digest)
    if not isinstance(found, platform_module.ObjectContent):
        return None
    # A truncated or corrupted body has another digest.
    if canonical.digest(found.content) != digest:
        return None
    return found.content


def _head_from_rows(found: tuple[platform_module.Row, ...]) -> Head:
    for row in found:
        if row.key == keys.CONFIG_HEAD and row.version:
            return Head(row.version, rows.load(rows.ConfigHead, row.value))
    return NO_HEAD


def _commit_head(
    platform: platform_module.Platform,
    clock: clocks.Clock,
    head: Head,
    attempt: ApplyAttempt,
    author: str,
) -> ApplyOutcome:
    transaction = next_head_transaction(head, attempt, author, clock.wall())
    deadline = clock.monotonic() + SETTLE_TIMEOUT_S
    outcome = commit_retries.commit_with_retries(
        platform.table, transaction, clock, deadline
    )
    if isinstance(outcome, platform_module.Unavailable):
        return outcome
    if isinstance(outcome, platform_module.Committed):
        number = attempt.started_from + 1
        return Applied(number, attempt.digest, number)
    if isinstance(outcome, platform_module.Conflict):
        return _final_outcome(platform, _head_from_rows(outcome.found), attempt)
    newest = read_head(platform.table)
    if isinstance(newest, platform_module.Unavailable):
        return Undecided(newest.reason)
    if outcome_from_head(newest, attempt) is None:
        return Undecided(outcome.reason)
    return _final_outcome(platform, newest, attempt)


def _final_outcome(
    platform: platform_module.Platform, head: Head, attempt: ApplyAttempt
) -> ApplyOutcome:
    """Returns the outcome of an attempt that can't take effect any more."""
    decided = outcome_from_head(head, attempt)
    if isinstance(decided, Applied):
        return decided
    changes = _changes_since(platform.objects, head.row, attempt.started_from)
    return Conflict(attempt.started_from, head.row.number, changes)


def _changes_since(
    objects: platform_module.ObjectStore,
    head: rows.ConfigHead,
    started_from: int,
) -> tuple[str, ...]:
    """Returns the dotted paths that differ from the ``started_from`` one."""
    digests = {a.number: a.digest for a in head.recent}
    newest = _load_config(objects, head.digest)
    known = _load_config(objects, digests.get(started_from, ""))
    if newest is None or (known is None and started_from != NO_CONFIG_NUMBER):
        return (UNREADABLE_CHANGES,)
    return tuple(change.path for change in diff.diff(known, newest))


def _load_config(
    objects: platform_module.ObjectStore, digest: str
) -> config_module.Config | None:
    body = load_body(objects, digest) if digest else None
    return canonical.load(body) if body is not None else None
