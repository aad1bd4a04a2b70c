"""The changes of one planning step, committed in one transaction."""

from collections.abc import Mapping
import dataclasses

from vanillaswitch.coordination import commit_retries
from vanillaswitch.coordination.control import controller
from vanillaswitch.coordination.control import duty_assignment
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_cache
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.internal import ids
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

COMMIT_TIMEOUT_S = 2.0
"""How long a step retries a commit whose answer was lost."""


@dataclasses.dataclass(frozen=True)
class Changes:
    """Rows to write by name, all in one transaction.

    Attributes:
        instances: new instance rows; None deletes a row.
        budgets: new budget rows by service.
        waves: new wave rows.
        decisions: decision records that explain the changes.
        unchanged_waves: waves whose rows must not have changed since they
            were read.
    """

    instances: Mapping[str, rows.Instance | None] = dataclasses.field(
        default_factory=dict
    )
    budgets: Mapping[str, rows.Budget] = dataclasses.field(default_factory=dict)
    waves: Mapping[str, wave_state.Wave] = dataclasses.field(
        default_factory=dict
    )
    decisions: tuple[decision_records.Decision, ...] = ()
    unchanged_waves: tuple[str, ...] = ()

    @property
    def is_empty(self) -> bool:
        """Whether there is no row to write."""
        return not (self.instances or self.budgets or self.waves)


@dataclasses.dataclass(frozen=True)
class StepPlan:
    """Result of a planning step.

    Attributes:
        changes: rows to write.
        calls: platform calls whose intent is already in the table.
    """

    changes: Changes
    calls: tuple[instance_steps.PlatformCall, ...]


class ChangesBuilder:
    """Collects the changes of one step and updates budget rows to match."""

    def __init__(self, fleet: fleet_state.Fleet):
        """Starts without changes.

        Args:
            fleet: the fleet that the changes apply to.
        """
        self._fleet = fleet
        self._instances: dict[str, rows.Instance | None] = {}
        self._down: dict[str, dict[str, str]] = {}
        self._waves: dict[str, wave_state.Wave] = {}
        self._decisions: list[decision_records.Decision] = []
        self._unchanged_waves: set[str] = set()

    def put_instance(self, name: str, row: rows.Instance) -> None:
        """Adds a write of an instance's row and of its service's budget row.

        An instance is in the budget row of its own service while its phase is
        not SERVING, and in no other budget row. The budget row is written even
        if its content stays the same, see ``rows.Budget``.
        """
        before = self._fleet.members.get(name)
        if before and before.row.service != row.service:
            self._mark_up(before.row.service, name)
        if row.phase is platform.MaintenancePhase.SERVING:
            self._mark_up(row.service, name)
        else:
            self._mark_down(row.service, name, row.operation)
        self._instances[name] = row

    def delete_instance(self, name: str) -> None:
        """Adds the deletion of an instance's row."""
        self._mark_up(self._fleet.members[name].row.service, name)
        self._instances[name] = None

    def put_wave(self, name: str, wave: wave_state.Wave) -> None:
        """Adds a write of a wave's row."""
        self._waves[name] = wave

    def require_unchanged_wave(self, name: str) -> None:
        """Makes the commit fail if a wave's row has changed since its read."""
        self._unchanged_waves.add(name)

    def add_decision(self, decision: decision_records.Decision) -> None:
        """Adds a decision record."""
        self._decisions.append(decision)

    def build(self) -> Changes:
        """Returns the collected changes."""
        budgets = {
            service: rows.Budget(down) for service, down in self._down.items()
        }
        return Changes(
            self._instances,
            budgets,
            self._waves,
            tuple(self._decisions),
            tuple(sorted(self._unchanged_waves - self._waves.keys())),
        )

    def _down_of_service(self, service: str) -> dict[str, str]:
        if service not in self._down:
            self._down[service] = dict(self._fleet.budget(service).row.down)
        return self._down[service]

    def _mark_down(self, service: str, name: str, operation: str) -> None:
        if service:
            self._down_of_service(service).setdefault(name, operation)

    def _mark_up(self, service: str, name: str) -> None:
        if service:
            self._down_of_service(service).pop(name, None)


def commit_and_call(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    fleet: fleet_state.Fleet,
    decided: StepPlan,
) -> None:
    """Commits the changes, then calls the platform for recorded operations.

    The calls for new operations are sent only after a confirmed commit: no
    duty would follow up on an operation without its intent in the table.
    """
    calls = list(decided.calls)
    if not decided.changes.is_empty:
        outcome = commit(context, fence, fleet, decided.changes)
        if isinstance(outcome, platform.Committed):
            calls += _calls_for(decided.changes)
    for call in calls:
        instance_steps.send(context.platform.instances, call)


def _calls_for(changes: Changes) -> list[instance_steps.PlatformCall]:
    """Returns the platform calls for the operations in committed rows."""
    return [
        instance_steps.call_for(name, row)
        for name, row in sorted(changes.instances.items())
        if row is not None and instance_steps.is_in_progress(row)
    ]


def build_puts(
    fleet: fleet_state.Fleet, changes: Changes
) -> tuple[platform.Put, ...]:
    """Returns the writes of all changes except the decision records.

    Each write names the version that the step has read, so a step that worked
    on an outdated fleet fails with a conflict and writes nothing.
    """
    written = []
    for name, row in sorted(changes.instances.items()):
        member = fleet.members.get(name)
        version = member.version if member else platform.ABSENT
        value = rows.dump(row) if row else None
        written.append(platform.Put(keys.instance(name), version, value))
    for service, budget in sorted(changes.budgets.items()):
        version = fleet.budget(service).version
        value = rows.dump(budget)
        written.append(platform.Put(keys.budget(service), version, value))
    for name, wave in sorted(changes.waves.items()):
        found = fleet.waves.get(name)
        version = found.version if found else platform.ABSENT
        value = rows.dump(wave)
        written.append(platform.Put(keys.wave(name), version, value))
    return tuple(written)


def commit(
    context: controller.DutyContext,
    fence: duty_assignment.Fence,
    fleet: fleet_state.Fleet,
    changes: Changes,
) -> platform.CommitOutcome:
    """Commits changes under a duty's fence and broadcasts what is down.

    Returns:
        The outcome. After a conflict the step must read again and decide anew.
    """
    table = context.platform.table
    subjects = decision_records.history_keys(changes.decisions)
    found = table.read(subjects) if subjects else platform.Rows(())
    if isinstance(found, platform.Unavailable):
        return found
    transaction = platform.Transaction(
        ids.new_id(context.rng),
        build_puts(fleet, changes)
        + decision_records.build_puts(changes.decisions, found.rows),
        (fence.check, *_checks(fleet, changes)),
    )
    deadline = context.clock.monotonic() + COMMIT_TIMEOUT_S
    outcome = commit_retries.commit_with_retries(
        table, transaction, context.clock, deadline
    )
    fleet_cache.cache_of(context).record_commit(transaction.puts, outcome)
    if fence.is_rejected_by(outcome):
        context.release_duty(fence)
    if isinstance(outcome, platform.Committed):
        _broadcast_drains(context, fleet, changes, outcome.version)
    return outcome


def _checks(
    fleet: fleet_state.Fleet, changes: Changes
) -> tuple[platform.Check, ...]:
    return tuple(
        platform.Check(keys.wave(name), fleet.waves[name].version)
        for name in changes.unchanged_waves
    )


def _broadcast_drains(
    context: controller.DutyContext,
    fleet: fleet_state.Fleet,
    changes: Changes,
    version: int,
) -> None:
    """Broadcasts the budget rows that the commit has changed."""
    for service, budget in sorted(changes.budgets.items()):
        if budget != fleet.budget(service).row:
            down = tuple(sorted(budget.down))
            context.broadcast(peers.DrainNotice(service, version, down))
