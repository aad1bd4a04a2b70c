"""Assignment of duties: even shares, take-over, hand-over and fencing."""

from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import hashlib

from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows


@dataclasses.dataclass(frozen=True)
class Fence:
    """Fencing token of a duty, checked by each write under the duty.

    A process that is paused past its lease may resume in the middle of a
    write. By then its successor has rewritten the duty's row, so the check of
    the old version rejects the write, no matter when it reaches the table.

    Attributes:
        key: key of the duty's row.
        version: version of that row when the duty was taken.
        epoch: fencing epoch; it grows by one with each new holder.
    """

    key: str
    version: int
    epoch: int

    @property
    def check(self) -> platform.Check:
        """The condition that every transaction under the duty includes."""
        return platform.Check(self.key, self.version)

    def is_rejected_by(self, outcome: platform.CommitOutcome) -> bool:
        """Returns whether a commit was rejected because the duty was lost."""
        if not isinstance(outcome, platform.Conflict):
            return False
        return any(row.key == self.key for row in outcome.found)


@dataclasses.dataclass(frozen=True)
class DutyRecord:
    """The row of one duty; ``version`` is ABSENT before its first holder."""

    name: str
    version: int
    duty: rows.Duty

    @property
    def fence(self) -> Fence:
        """The fence of the holder that the row names."""
        return Fence(keys.duty(self.name), self.version, self.duty.epoch)


UNHELD = rows.Duty(holder="", boot="", epoch=0)


def build_table(
    names: Iterable[str], table_rows: Iterable[platform.Row]
) -> dict[str, DutyRecord]:
    """Returns a record of each named duty, by name.

    Args:
        names: the duties.
        table_rows: duty rows; rows of other duties are ignored.
    """
    by_key = {row.key: row for row in table_rows}
    return {
        name: _record_of(name, by_key.get(keys.duty(name))) for name in names
    }


def _record_of(name: str, row: platform.Row | None) -> DutyRecord:
    if row is None:
        return DutyRecord(name, platform.ABSENT, UNHELD)
    return DutyRecord(name, row.version, rows.load(rows.Duty, row.value))


def rendezvous_weight(duty: str, member: str) -> int:
    """Returns the rendezvous hashing weight of a controller for a duty."""
    digest = hashlib.blake2b(f"{duty}\0{member}".encode(), digest_size=8)
    return int.from_bytes(digest.digest())


def assign(
    table: Mapping[str, DutyRecord], members: Mapping[str, str]
) -> dict[str, str]:
    """Returns the controller that should hold each duty.

    Shares differ by at most one. Live holders keep the duties that fit in
    their share. Rendezvous hashing assigns the others to controllers whose
    share is not full. All controllers that read the same rows compute the
    same result.

    Args:
        table: every duty of the configuration.
        members: boot id of each live controller.
    """
    if not members:
        return {}
    held = _held_by_live(table, members)
    sizes = _share_sizes(len(table), held)
    assigned = {
        name: member
        for member, names in held.items()
        for name in names[: sizes[member]]
    }
    free_slots = {m: sizes[m] - min(len(held[m]), sizes[m]) for m in members}
    for name in sorted(table.keys() - assigned.keys()):
        candidates = [member for member in members if free_slots[member] > 0]
        member = max(
            candidates,
            key=lambda m, n=name: (  # type: ignore[misc]
                rendezvous_weight(n, m),
                m,
            ),
        )
        assigned[name] = member
        free_slots[member] -= 1
    return assigned


def _held_by_live(
    table: Mapping[str, DutyRecord], members: Mapping[str, str]
) -> dict[str, list[str]]:
    """Returns the duties of each live controller, highest weight first."""
    held: dict[str, list[str]] = {member: [] for member in members}
    for name, record in table.items():
        if members.get(record.duty.holder) == record.duty.boot:
            held[record.duty.holder].append(name)
    for member, names in held.items():
        names.sort(
            key=lambda name, m=member: (  # type: ignore[misc]
                -rendezvous_weight(name, m),
                name,
            )
        )
    return held


def _share_sizes(total: int, held: Mapping[str, list[str]]) -> dict[str, int]:
    """Returns how many duties each controller gets.

    Controllers that hold the most duties get the remainder, so that fewer
    duties move.
    """
    share, extra = divmod(total, len(held))
    ranked = sorted(held, key=lambda member: (-len(held[member]), member))
    return {m: share + (rank < extra) for rank, m in enumerate(ranked)}


def pending_puts(
    table: Mapping[str, DutyRecord],
    members: Mapping[str, str],
    own_name: str,
) -> list[platform.Put]:
    """Returns the writes of duty rows that are due from one controller.

    The controller takes duties that are assigned to it and have no live
    holder. It hands over duties that it holds but that are assigned to
    another controller. One write changes the holder, so a hand-over leaves no
    time without one.

    Args:
        table: every duty of the configuration.
        members: boot id of each live controller.
        own_name: the controller that writes.
    """
    puts = []
    for name, member in sorted(assign(table, members).items()):
        record = table[name]
        is_held = members.get(record.duty.holder) == record.duty.boot
        is_own = is_held and record.duty.holder == own_name
        if is_own != (member == own_name) and (is_own or not is_held):
            puts.append(_handover_put(record, member, members[member]))
    return puts


def _handover_put(record: DutyRecord, member: str, boot: str) -> platform.Put:
    duty = rows.Duty(member, boot, record.duty.epoch + 1)
    return platform.Put(keys.duty(record.name), record.version, rows.dump(duty))


def without_conflicts(
    puts: Iterable[platform.Put], conflict: platform.Conflict
) -> tuple[platform.Put, ...]:
    """Returns the writes whose rows did not conflict."""
    conflicting = {row.key for row in conflict.found}
    return tuple(put for put in puts if put.key not in conflicting)


def records_after_commit(
    puts: Iterable[platform.Put], version: int
) -> dict[str, DutyRecord]:
    """Returns the records of the duties that a commit wrote, by name."""
    written_rows = [
        platform.Row(p.key, version, p.value or {}, "") for p in puts
    ]
    names = [keys.name_of(keys.DUTIES, row.key) for row in written_rows]
    return build_table(names, written_rows)


def held_by(
    table: Mapping[str, DutyRecord], own_name: str, boot: str
) -> dict[str, Fence]:
    """Returns the fence of each duty that a controller holds.

    Args:
        table: every duty of the configuration.
        own_name: the controller.
        boot: random id of its current start.
    """
    return {
        name: record.fence
        for name, record in table.items()
        if (record.duty.holder, record.duty.boot) == (own_name, boot)
    }
