"""The duties that one controller holds, kept in sync with the table."""

import collections
import dataclasses
from typing import Any

from vanillaswitch.coordination.control import controller_session
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.internal import logs
from vanillaswitch.protocol import platform

MAX_PUTS_PER_TRANSACTION = 64
"""Limit on the duty rows that one transaction writes."""


@dataclasses.dataclass(frozen=True)
class HeldDuty:
    """A duty that this process holds, with its soft state."""

    name: str
    fence: duty_assignment.Fence
    soft_state: dict[str, Any]


class HeldDuties:
    """The duties that a controller held when it last read the table."""

    def __init__(
        self,
        session: controller_session.ControllerSession,
        counters: collections.Counter[str],
    ):
        """Creates an empty set of duties.

        Args:
            session: the controller's session.
            counters: count the duties taken and lost.
        """
        self._session = session
        self._counters = counters
        self._by_name: dict[str, HeldDuty] = {}

    @property
    def fences(self) -> dict[str, duty_assignment.Fence]:
        """The fence of each held duty, by name."""
        return {name: held.fence for name, held in self._by_name.items()}

    def get(self, name: str) -> HeldDuty | None:
        """Returns a held duty; None if it is not held."""
        return self._by_name.get(name)

    def is_held(self, name: str, fence: duty_assignment.Fence) -> bool:
        """Returns whether a duty is still held with the same fence."""
        held = self._by_name.get(name)
        return held is not None and held.fence == fence

    def release(self, fence: duty_assignment.Fence) -> None:
        """Removes the duty with this fence after a write was rejected."""
        for name, held in list(self._by_name.items()):
            if held.fence == fence:
                del self._by_name[name]
                self._counters["fence-broken"] += 1

    def clear(self) -> None:
        """Removes every duty."""
        self._by_name.clear()

    def apply_table(self, table: dict[str, duty_assignment.DutyRecord]) -> None:
        """Adds and removes duties as the table says.

        Soft state is kept only while the epoch of the duty stays the same.
        """
        fences = duty_assignment.held_by(
            table, self._session.name, self._session.boot
        )
        lost = self._by_name.keys() - fences.keys()
        taken = [n for n, f in fences.items() if not self.is_held(n, f)]
        for name in lost:
            del self._by_name[name]
        for name in taken:
            self._by_name[name] = HeldDuty(name, fences[name], {})
        self._counters["duties-lost"] += len(lost)
        self._counters["duties-taken"] += len(taken)
        if lost or taken:
            logs.info(
                "{} duties held after {} were taken and {} lost",
                len(self._by_name),
                len(taken),
                len(lost),
            )

    def rebalance(
        self,
        table: dict[str, duty_assignment.DutyRecord],
        members: dict[str, str],
    ) -> None:
        """Takes and hands over duties, many in each transaction.

        Args:
            table: every duty; updated with the rows that are written.
            members: boot id of each live controller.
        """
        puts = duty_assignment.pending_puts(table, members, self._session.name)
        for start in range(0, len(puts), MAX_PUTS_PER_TRANSACTION):
            group = tuple(puts[start : start + MAX_PUTS_PER_TRANSACTION])
            outcome = self._session.commit(group)
            if isinstance(outcome, platform.Conflict):
                group = duty_assignment.without_conflicts(group, outcome)
                outcome = self._session.commit(group) if group else outcome
            if isinstance(outcome, platform.Committed):
                table.update(
                    duty_assignment.records_after_commit(group, outcome.version)
                )
                self.apply_table(table)
