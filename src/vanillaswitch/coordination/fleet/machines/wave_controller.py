"""Runs maintenance waves on machines that their pools do not need."""

import collections
from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
from typing import Protocol

from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet.instances import scheduler as schedulers
from vanillaswitch.coordination.fleet.machines import evacuation
from vanillaswitch.coordination.fleet.machines import waves
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.internal import clock as clocks
from vanillaswitch.protocol import fleet
from vanillaswitch.state import deployment as deployments

SHORT_TASK_GRACE_S = 2.5
"""How long a draining machine waits for its short tasks to finish before
maintenance ends them; about the duration of the longest steps."""

LATE_SHORT_TASK_GRACE_S = 0.6
"""The same while the wave is behind schedule."""

SHORT_TASKS_ONLY_COST = 1e9
"""Added to the drain cost of machines that run short tasks only, so that these
are drained last. It exceeds the CPU of any machine in thousandths of a core."""

ROUND_OVERHEAD_S = 0.6
"""Overhead of a round of maintenance, in addition to the maintenance itself:
reading the list until it shows the end, and stopping tasks that still run."""

WAVE_MARGIN_S = 3.0
"""Time reserved at the end of a wave for its last machines, which may have to
be drained before their maintenance."""


@dataclasses.dataclass(frozen=True)
class WaveProgress:
    """Stored state of a wave, kept across changes of owner.

    Attributes:
        finished_machines: machines whose maintenance is finished.
        age_s: time since any owner first saw the wave. If each owner counted
            from its own start, a wave would seem to have time left when it has
            none.
    """

    finished_machines: Collection[str]
    age_s: float


class WaveStore(Protocol):
    """Store of the waves that operators ordered, and of their progress."""

    def wave_orders(self) -> Iterable[fleet.WaveOrder]:
        """Returns the waves that operators have ordered."""

    def start_wave(self, wave: str) -> WaveProgress | None:
        """Returns the stored state of a wave; None while it can't be read.

        Stores the current time as its start unless one is stored already.
        """

    def save_finished(self, wave: str, machines: Collection[str]) -> bool:
        """Stores machines as finished; False when that failed."""

    def report_status(self, wave: str, completed: bool) -> bool:
        """Writes the status for the operators; False when that failed."""


@dataclasses.dataclass(frozen=True)
class _Drain:
    """The draining of a machine, for one of the waves that contain it.

    Attributes:
        wave: name of the wave.
        since: monotonic seconds at which it was chosen.
    """

    wave: str
    since: float


class WaveController:
    """Drains machines of waves and orders their maintenance.

    Used during one term, the period in which a process is the owner.
    """

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        machines: fleet.Machines,
        wave_store: WaveStore,
        writer: fenced_writer.FencedWriter,
        bounds: deployments.Bounds,
        required_machines: Callable[[], Mapping[str, int]],
        moving_machines: Callable[[], Collection[str]],
        clock: clocks.Clock,
        emit: Callable[[object], None],
    ):
        """Creates a controller without waves.

        Args:
            scheduler: the owner's state of instances and runs.
            machines: client for orders to the platform.
            wave_store: store of the wave orders and of their progress.
            writer: tells whether this owner may still send orders.
            bounds: contains the duration of maintenance.
            required_machines: returns how many machines each pool needs;
                empty while unknown.
            moving_machines: returns the machines that are moving to another
                pool.
            clock: source of time.
            emit: receives events.
        """
        self._scheduler = scheduler
        self._machines = machines
        self._wave_store = wave_store
        self._writer = writer
        self._bounds = bounds
        self._required_machines = required_machines
        self._moving_machines = moving_machines
        self._clock = clock
        self._emit = emit
        self._waves: dict[str, waves.Wave] = {}
        self._listed: Mapping[str, fleet.Machine] = {}
        self._draining: dict[str, _Drain] = {}

    @property
    def reserved_machines(self) -> waves.ReservedMachines:
        """Machines that waves have reserved."""
        unavailable = set(self._draining)
        pending = set()
        for wave in self._waves.values():
            for progress in wave.machines.values():
                if progress.phase in (
                    waves.MachinePhase.IN_MAINTENANCE,
                    waves.MachinePhase.OUTCOME_UNKNOWN,
                ):
                    unavailable.add(progress.machine)
                elif progress.phase is waves.MachinePhase.WAITING:
                    pending.add(progress.machine)
        return waves.ReservedMachines(
            frozenset(unavailable), frozenset(pending)
        )

    def step(self, listed: Mapping[str, fleet.Machine]) -> None:
        """Advances all waves.

        Args:
            listed: machines by name. The list must have been read after the
                previous call returned, so that it shows the effect of the
                orders of that call.
        """
        self._listed = listed
        now = self._clock.monotonic()
        for order in self._wave_store.wave_orders():
            if order.name not in self._waves:
                self._add_wave(order, now)
        for wave in self._waves.values():
            if wave.reported_completed is not True:
                self._advance(wave, now)
        self._settle_finished_orders()
        self._update_cordons()

    def _add_wave(self, order: fleet.WaveOrder, now: float) -> None:
        stored_progress = self._wave_store.start_wave(order.name)
        if stored_progress is None:
            return
        wave = waves.new_wave(order, now - stored_progress.age_s)
        for name in stored_progress.finished_machines:
            if name in wave.machines:
                wave.machines[name].phase = waves.MachinePhase.DONE
        self._waves[order.name] = wave
        self._emit_wave(wave, "begins", "", now)

    def _emit_wave(
        self, wave: waves.Wave, change: str, machine: str, now: float
    ) -> None:
        ends_at = wave.first_seen_at + wave.order.duration_s
        self._emit(
            events.WaveChanged(
                wave.order.name,
                change,
                machine,
                len(_finished_machines(wave)),
                len(wave.machines),
                round(ends_at - now, 2),
            )
        )

    def _advance(self, wave: waves.Wave, now: float) -> None:
        before = _finished_machines(wave)
        waves.update_progress(
            wave,
            self._listed,
            self._bounds.maintenance_s,
            now,
            self._machines_of_other_waves(wave),
        )
        finished = _finished_machines(wave)
        if finished != before:
            self._wave_store.save_finished(wave.order.name, finished)
        self._choose_machines(wave, now)
        for name, drain in sorted(self._draining.items(), key=_by_drain_start):
            if drain.wave == wave.order.name:
                self._advance_machine(wave, name, now - drain.since, now)
        self._report_status(wave)

    def _machines_of_other_waves(self, wave: waves.Wave) -> set[str]:
        """Returns the machines that another wave may have in maintenance."""
        machines: set[str] = set()
        for order in self._wave_store.wave_orders():
            if order.name not in self._waves:
                # Its progress can't be read yet.
                machines.update(order.machines)
        for other in self._waves.values():
            if other is not wave:
                machines |= other.machines.keys() - _finished_machines(other)
        return machines

    def _advance_machine(
        self, wave: waves.Wave, name: str, drained_for_s: float, now: float
    ) -> None:
        """Orders maintenance of a draining machine once that is allowed."""
        progress = wave.machines[name]
        phase = progress.phase
        if phase is waves.MachinePhase.OUTCOME_UNKNOWN:
            # Check the disruption budgets again before resending the order:
            # other tasks of the same steps may have become unavailable.
            instance = self._instance_on(name)
            if instance is None or evacuation.allows_disruption_of_all(
                self._scheduler, instance, now
            ):
                self._order_maintenance(wave, name)
        elif phase is not waves.MachinePhase.WAITING or progress.is_down:
            # The machine was removed from the list, or an order of an earlier
            # owner or of another wave has started its maintenance.
            del self._draining[name]
        elif waves.count_in_maintenance(
            wave
        ) < wave.order.max_count and self._is_ready(
            name, wave, drained_for_s, now
        ):
            self._order_maintenance(wave, name)

    def _report_status(self, wave: waves.Wave) -> None:
        if wave.reported_completed is not None and not wave.completed:
            return
        if self._wave_store.report_status(wave.order.name, wave.completed):
            wave.reported_completed = wave.completed
            state = "completed" if wave.completed else "running"
            self._emit_wave(wave, state, "", self._clock.monotonic())

    def _instance_on(self, machine: str) -> instance_state.Instance | None:
        listed = self._listed.get(machine)
        if listed is None or not listed.instance:
            return None
        return self._scheduler.instances.get(listed.instance)

    def _drain_cost(self, machine: str) -> float:
        """Returns the sort key of a machine for draining, lowest first.

        Idle machines come first. Machines with long-running tasks follow, since
        moving these tasks takes the most time. Machines with short tasks only
        come last, since such tasks end within seconds at any time.
        """
        instance = self._instance_on(machine)
        if instance is None or not instance.runs:
            return 0.0
        has_long_running = any(
            run.step.long_running for run in instance.runs.values()
        )
        return instance.used_cpu + (
            0.0 if has_long_running else SHORT_TASKS_ONLY_COST
        )

    def _surplus(self) -> collections.Counter[str]:
        """Returns how many more instances than required each pool can use.

        Draining instances do not count, including those that were chosen just
        now. Otherwise a pool with a surplus of one could lose all its machines
        at once.
        """
        now = self._clock.monotonic()
        draining = {
            self._listed[name].instance
            for name in self._draining
            if name in self._listed
        }
        surplus = collections.Counter(
            instance.registration.service
            for instance in self._scheduler.instances.values()
            if instance.is_schedulable(now) and instance.name not in draining
        )
        surplus.subtract(self._required_machines())
        return surplus

    def _active_pool(self, machine: str) -> str:
        """Returns the pool that a machine serves; empty for one on standby."""
        pool = self._scheduler.pools.get(self._listed[machine].pool)
        return "" if pool is None or pool.is_standby else pool.name

    def _choose_machines(self, wave: waves.Wave, now: float) -> None:
        """Chooses machines to drain, up to the surplus of their pools.

        If the wave is behind schedule, the surplus is ignored.
        """
        is_behind_schedule = self._is_behind_schedule(wave, now)
        if not is_behind_schedule and not self._required_machines():
            # A new owner has not computed the required machines yet.
            return
        surplus = self._surplus()
        if not is_behind_schedule:
            self._cancel_needed_drains(wave, surplus)
        for name in waves.next_machines(
            wave,
            self._listed,
            self._drain_cost,
            wave.order.max_count,
            self._moving_machines(),
        ):
            pool = self._active_pool(name)
            if name in self._draining or (
                pool and surplus[pool] <= 0 and not is_behind_schedule
            ):
                continue
            self._draining[name] = _Drain(wave.order.name, now)
            surplus[pool] -= 1

    def _cancel_needed_drains(
        self, wave: waves.Wave, surplus: collections.Counter[str]
    ) -> None:
        """Stops draining machines that their pool needs again.

        A burst may start while machines drain. If these machines stayed
        cordoned until the wave is behind schedule, they would be half empty for
        20 s while tasks wait. Draining stops first for the machines that
        started it last.
        """
        latest_first = sorted(
            self._draining.items(), key=_by_drain_start, reverse=True
        )
        for name, drain in latest_first:
            if drain.wave != wave.order.name or name not in self._listed:
                continue
            pool = self._active_pool(name)
            is_waiting = wave.machines[name].phase is waves.MachinePhase.WAITING
            if is_waiting and pool and surplus[pool] < 0:
                del self._draining[name]
                surplus[pool] += 1

    def _is_behind_schedule(self, wave: waves.Wave, now: float) -> bool:
        """Whether the remaining machines need more time than is left."""
        remaining_count = sum(
            progress.phase is not waves.MachinePhase.DONE
            for progress in wave.machines.values()
        )
        rounds = -(-remaining_count // wave.order.max_count)
        needed_s = rounds * (self._bounds.maintenance_s + ROUND_OVERHEAD_S)
        needed_s += WAVE_MARGIN_S
        return now + needed_s > wave.first_seen_at + wave.order.duration_s

    def _is_ready(
        self, name: str, wave: waves.Wave, drained_for_s: float, now: float
    ) -> bool:
        """Whether maintenance of a draining machine may be ordered now."""
        instance = self._instance_on(name)
        if self._may_run_unread_jobs(name, instance):
            return False
        if instance is None or not instance.runs:
            return True
        grace_s = (
            LATE_SHORT_TASK_GRACE_S
            if self._is_behind_schedule(wave, now)
            else SHORT_TASK_GRACE_S
        )
        if drained_for_s < grace_s:
            return False
        return evacuation.allows_disruption_of_all(
            self._scheduler, instance, now
        )

    def _may_run_unread_jobs(
        self, name: str, instance: instance_state.Instance | None
    ) -> bool:
        """Whether a machine may run tasks that this owner does not know.

        The runs of jobs whose rows can't be read are known only from the status
        reports of instances. A machine whose instance has not reported to this
        owner yet must not be treated as empty: maintenance would end such runs.
        """
        if not self._scheduler.unreadable_jobs:
            return False
        if instance is None:
            return bool(self._listed[name].instance)
        return not instance.has_reported

    def _order_maintenance(self, wave: waves.Wave, name: str) -> None:
        if not self._writer.may_operate_machines():
            return
        instance = self._instance_on(name)
        if instance is not None:
            # Only the list shows whether the runs have ended: if an earlier
            # owner's order was executed already, the platform accepts this one
            # without effect and the runs continue.
            now = self._clock.monotonic()
            self._scheduler.emit_maintenance_stops(instance, now)
            self._scheduler.begin_machine_order(
                instance, _order_name(wave), now
            )
        outcome = self._machines.maintain(
            name, wave.order.number, self._writer.last_written_version
        )
        change = f"upkeep {type(outcome).__name__.lower()}"
        self._emit_wave(wave, change, name, self._clock.monotonic())
        progress = wave.machines[name]
        if isinstance(outcome, fleet.Accepted):
            progress.phase = waves.MachinePhase.IN_MAINTENANCE
            progress.ordered_at = self._clock.monotonic()
            progress.instance = self._listed[name].instance
            self._draining.pop(name, None)
        elif isinstance(outcome, fleet.NoAnswer) and outcome.may_take_effect:
            # Maintenance may start at any moment, so the machine counts as in
            # maintenance until the same order is answered.
            progress.phase = waves.MachinePhase.OUTCOME_UNKNOWN
        elif fleet.is_fenced(outcome):
            self._writer.end_term()
        elif (
            instance is not None
            and progress.phase is waves.MachinePhase.WAITING
        ):
            # In any other phase, an earlier copy may still take effect.
            self._scheduler.settle_machine_order(
                instance, _order_name(wave), change, self._clock.monotonic()
            )

    def _settle_finished_orders(self) -> None:
        """Gives instances work again that outlast their maintenance order.

        An instance may still run after its machine has finished in a wave. The
        order of this wave can't end it any more, but that of another may.
        """
        now = self._clock.monotonic()
        for wave in self._waves.values():
            for name in _finished_machines(wave):
                instance = self._instance_on(name)
                if instance is not None:
                    self._scheduler.settle_machine_order(
                        instance, _order_name(wave), "finished", now
                    )

    def _update_cordons(self) -> None:
        """Cordons the instances of draining machines; updates related flags."""
        awaiting_maintenance = self.reserved_machines.awaiting_maintenance
        for name, machine in self._listed.items():
            instance = self._scheduler.instances.get(machine.instance)
            if instance is not None:
                instance.is_cordoned = name in self._draining
                instance.is_maintenance_due = name in awaiting_maintenance


def _order_name(wave: waves.Wave) -> str:
    """Returns the name of a wave's order for the maintenance of a machine."""
    return f"maintenance by {wave.order.name}"


def _finished_machines(wave: waves.Wave) -> set[str]:
    return {
        name
        for name, progress in wave.machines.items()
        if progress.phase is waves.MachinePhase.DONE
    }


def _by_drain_start(item: tuple[str, _Drain]) -> tuple[float, str]:
    name, drain = item
    return drain.since, name
