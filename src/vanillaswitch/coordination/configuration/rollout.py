"""Puts a checked configuration in force, against operators who race for it.

The body is stored under its digest first. Then one transaction swaps the head
from the configuration that the operator started from to the new one, so of
two operators who started from the same one, exactly one is accepted.
"""

import dataclasses
import random

from vanillaswitch.coordination import commits
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform as platform_module
from vanillaswitch.state import canonical
from vanillaswitch.state import config as config_module
from vanillaswitch.state import diff
from vanillaswitch.state import keys
from vanillaswitch.state import rows

NONE_YET = 0
"""The number to start from when no configuration was ever applied."""

SETTLE_S = 10.0
"""How long a lost answer is asked for again."""

HANDED_TO = 8
"""To how many controllers an accepted configuration is given directly."""

RECENT = 16
"""Accepted configurations that the head remembers."""

UNREADABLE = "(the configurations to compare can't be read)"
"""Stands for the changes of another operator that can't be told."""


@dataclasses.dataclass(frozen=True)
class Head:
    """The head as read, with the version of its row."""

    version: int
    row: rows.ConfigHead


NO_HEAD = Head(platform_module.ABSENT, rows.ConfigHead(NONE_YET, "", "", 0.0))


@dataclasses.dataclass(frozen=True)
class Applied:
    """The configuration was accepted under this number.

    Attributes:
        in_force: the newest number seen; higher when another has followed.
    """

    number: int
    digest: str
    in_force: int


@dataclasses.dataclass(frozen=True)
class Conflict:
    """Another configuration was accepted first; ours never will be.

    Attributes:
        found: the number in force.
        changes: dotted paths that changed since ``started_from``.
    """

    started_from: int
    found: int
    changes: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Undecided:
    """The configuration was sent; it may be accepted, even later."""

    reason: str


ApplyOutcome = Applied | Conflict | platform_module.Unavailable | Undecided


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One operator's attempt to change the head."""

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

    Applying what is in force already changes nothing and is accepted.

    Args:
        platform: where configurations are kept.
        clock: paces the tries, stamps the head.
        rng: draws the transaction's token.
        config: a checked configuration.
        author: who applies it.
        started_from: the number that the operator looked at; ``NONE_YET``
            for the first configuration.

    Returns:
        ``Unavailable`` promises that nothing of it was or will be accepted.
    """
    body = canonical.dump(config)
    attempt = Attempt(ids.new_id(rng), canonical.digest(body), started_from)
    head = read_head(platform.table)
    if isinstance(head, platform_module.Unavailable):
        return head
    if head.row.number != started_from or head.row.digest == attempt.digest:
        return _settled(platform, head, attempt)
    stored = platform.objects.put(attempt.digest, body)
    if isinstance(stored, platform_module.Unavailable):
        return stored
    return _swap(platform, clock, head, attempt, author)


def peer_addresses(table: platform_module.Table) -> tuple[str, ...]:
    """Returns where some controllers listen for peers.

    An accepted configuration is given to these directly, and they pass it on.
    None are returned when the table can't be read.
    """
    found = table.scan(keys.SESSIONS, limit=HANDED_TO)
    if isinstance(found, platform_module.Unavailable):
        return ()
    sessions = [rows.load(rows.Session, row.value) for row in found.rows]
    return tuple(session.address for session in sessions)


def read_head(
    table: platform_module.Table,
) -> Head | platform_module.Unavailable:
    """Reads the head; ``NO_HEAD`` when there is none."""
    found = table.read([keys.CONFIG_HEAD])
    if isinstance(found, platform_module.Unavailable):
        return found
    return _head(found.rows)


def successor(
    head: Head, attempt: Attempt, author: str, wall_s: float
) -> platform_module.Transaction:
    """Returns the transaction that puts an attempt after a head."""
    number = head.row.number + 1
    accepted = rows.AcceptedConfig(number, attempt.digest, attempt.token)
    recent = (accepted, *head.row.recent)[:RECENT]
    row = rows.ConfigHead(number, attempt.digest, author, wall_s, recent)
    put = platform_module.Put(keys.CONFIG_HEAD, head.version, rows.dump(row))
    return platform_module.Transaction(attempt.token, (put,))


def judge(head: Head, attempt: Attempt) -> Applied | Conflict | None:
    """Tells from the head what became of an attempt.

    The failure guarded against: our write took effect, its answer was lost,
    and another operator's write has followed. The head's row shows only the
    other's token then, and taking it for a lost race would deny a
    configuration that was in force. The head therefore remembers the latest
    writers: one of them has our number, and it is us or it is not. Once the
    head has moved past ``started_from`` no copy of our write can take effect
    any more, for it checks the row's version.

    Returns:
        None when it can't be told: the head has not moved, so that a delayed
        copy may still take effect, or it has moved too far to remember.
    """
    in_force = head.row.number
    if any(a.token == attempt.token for a in head.row.recent):
        number = attempt.started_from + 1
        return Applied(number, attempt.digest, in_force)
    if head.row.digest == attempt.digest:
        return Applied(in_force, attempt.digest, in_force)
    if in_force == attempt.started_from:
        return None
    forgotten = attempt.started_from + 1 < min(
        (a.number for a in head.row.recent), default=0
    )
    if forgotten:
        return None
    return Conflict(attempt.started_from, in_force, ())


def load_body(
    objects: platform_module.ObjectStore, digest: str
) -> bytes | None:
    """Fetches a body; None when it is not to be had or not what it says."""
    found = objects.get(digest)
    if not isinstance(found, platform_module.Body):
        return None
    # A body that was cut or changed on its way shows another digest.
    if canonical.digest(found.content) != digest:
        return None
    return found.content


def _head(found: tuple[platform_module.Row, ...]) -> Head:
    for row in found:
        if row.key == keys.CONFIG_HEAD and row.version:
            return Head(row.version, rows.load(rows.ConfigHead, row.value))
    return NO_HEAD


def _swap(
    platform: platform_module.Platform,
    clock: clocks.Clock,
    head: Head,
    attempt: Attempt,
    author: str,
) -> ApplyOutcome:
    transaction = successor(head, attempt, author, clock.wall())
    deadline = clock.monotonic() + SETTLE_S
    outcome = commits.settle(platform.table, transaction, clock, deadline)
    if isinstance(outcome, platform_module.Unavailable):
        return outcome
    if isinstance(outcome, platform_module.Committed):
        number = attempt.started_from + 1
        return Applied(number, attempt.digest, number)
    if isinstance(outcome, platform_module.Conflict):
        return _settled(platform, _head(outcome.found), attempt)
    newest = read_head(platform.table)
    if isinstance(newest, platform_module.Unavailable):
        return Undecided(newest.reason)
    if judge(newest, attempt) is None:
        return Undecided(outcome.reason)
    return _settled(platform, newest, attempt)


def _settled(
    platform: platform_module.Platform, head: Head, attempt: Attempt
) -> ApplyOutcome:
    """Returns what became of an attempt that can't take effect any more."""
    judged = judge(head, attempt)
    if isinstance(judged, Applied):
        return judged
    changes = _changes_since(platform.objects, head.row, attempt.started_from)
    return Conflict(attempt.started_from, head.row.number, changes)


def _changes_since(
    objects: platform_module.ObjectStore,
    head: rows.ConfigHead,
    started_from: int,
) -> tuple[str, ...]:
    """Returns the dotted paths that differ from what an operator knew."""
    digests = {a.number: a.digest for a in head.recent}
    newest = _load(objects, head.digest)
    known = _load(objects, digests.get(started_from, ""))
    if newest is None or (known is None and started_from != NONE_YET):
        return (UNREADABLE,)
    return tuple(change.path for change in diff.diff(known, newest))


def _load(
    objects: platform_module.ObjectStore, digest: str
) -> config_module.Config | None:
    body = load_body(objects, digest) if digest else None
    return canonical.load(body) if body is not None else None
