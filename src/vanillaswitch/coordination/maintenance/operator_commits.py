"""Commits changes that operators make; operators hold no duty.

A row is written only if its version is still the one that the operator has
read. If two operators change the same row, the second gets a conflict.
"""

import random

from vanillaswitch import errors
from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.internal import ids
from vanillaswitch.protocol import platform

COMMIT_TIMEOUT_S = 10.0
"""How long a commit is retried after a lost answer."""


def commit(
    table: platform.Table,
    clock: clocks.Clock,
    rng: random.Random,
    fleet: fleet_state.Fleet,
    changed: changes.Changes,
) -> bool:
    """Commits an operator's changes.

    Returns:
        False if a row has changed since it was read; nothing is written then.

    Raises:
        errors.PlatformUnavailableError: the platform is unavailable or the
            outcome of the commit is unknown.
    """
    found = table.read(decision_records.history_keys(changed.decisions))
    if isinstance(found, platform.Unavailable):
        raise errors.PlatformUnavailableError(found.reason)
    puts = changes.build_puts(fleet, changed)
    puts += decision_records.build_puts(changed.decisions, found.rows)
    transaction = platform.Transaction(ids.new_id(rng), puts)
    deadline = clock.monotonic() + COMMIT_TIMEOUT_S
    outcome = commit_retries.commit_with_retries(
        table, transaction, clock, deadline
    )
    if isinstance(outcome, platform.Unavailable | platform.OutcomeUnknown):
        raise errors.PlatformUnavailableError(
            f"{outcome.reason}; check the status before trying again"
        )
    return isinstance(outcome, platform.Committed)
