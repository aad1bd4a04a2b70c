"""Evaluates a maintenance wave: failures, when to stop, when it is finished."""

from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Mapping
import dataclasses
import functools

from vanillaswitch.coordination.maintenance import background_failures
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.state import config as config_lib

MAX_OVERRUN_FACTOR = 3.0
"""Multiple of the planned duration to which the elapsed time is capped."""


@dataclasses.dataclass(frozen=True)
class WaveView:
    """Input of one step.

    Attributes:
        name: the wave.
        fleet: the wave's instances in maintenance and the members of the
            evaluated services, with their status.
        whole_fleet: rows of all members, without status.
        evaluated_services: services whose budgets this step may use.
        unfinished_reboots: rebooting instances that were not asked for their
            status, as they can't have finished yet.
        config: the configuration in force.
        failing: instance to the reason why it counts as failed.
        slow_drains: instance to the reason why its drain takes too long.
        remaining_soak_s: how long the first round must still serve.
        wall_s: wall-clock time, seconds since the Unix epoch.
        new_operation: makes the id of an operation.
    """

    name: str
    fleet: fleet_state.Fleet
    whole_fleet: fleet_state.Fleet
    evaluated_services: frozenset[str]
    unfinished_reboots: frozenset[str]
    config: config_lib.Config
    failing: Mapping[str, str]
    slow_drains: Mapping[str, str]
    remaining_soak_s: float
    wall_s: float
    new_operation: Callable[[], str]

    @functools.cached_property
    def wave(self) -> wave_state.Wave:
        """The wave's row, with ``done`` up to date."""
        return self.whole_fleet.wave_with_done(self.name)

    @property
    def under_way(self) -> tuple[fleet_state.Member, ...]:
        """The wave's instances in maintenance."""
        return tuple(
            member
            for _, member in sorted(self.fleet.members.items())
            if member.row.wave == self.name
            and instance_steps.is_in_progress(member.row)
        )


def record_failures(view: WaveView) -> wave_state.Wave:
    """Returns the wave with all instances that count as failed."""
    wave = view.wave
    failed = dict(wave.failed)
    acknowledged = set(wave.acknowledged)
    started = {m.name for m in view.under_way} | set(wave.done)
    current = _round_names(wave)
    for name in sorted((started | current) - failed.keys()):
        reason = _failure_reason(view, name)
        if reason is None:
            continue
        failed[name] = reason
        # The wave did not cause a failure before it took the instance down.
        if name not in started:
            acknowledged.add(name)
    return dataclasses.replace(
        wave, failed=failed, acknowledged=tuple(sorted(acknowledged))
    )


def record_done(wave: wave_state.Wave, names: Iterable[str]) -> wave_state.Wave:
    """Returns the wave with instances marked as done.

    Args:
        wave: the wave before.
        names: instances that serve again after their reboot.
    """
    done = set(names)
    failed = {
        name: why for name, why in wave.failed.items() if name not in done
    }
    ordered = tuple(sorted({*wave.done, *done}))
    return dataclasses.replace(wave, done=ordered, failed=failed)


def _round_names(wave: wave_state.Wave) -> set[str]:
    current = wave.current_round
    return set() if current is None else set(wave.rounds[current])


def _failure_reason(view: WaveView, name: str) -> str | None:
    if name not in view.whole_fleet.members:
        return "belongs to no pool any more"
    return view.failing.get(name)


def stop_if_correlated(
    view: WaveView, wave: wave_state.Wave, draft: changes.ChangesBuilder
) -> wave_state.Wave:
    """Stops a wave with more failures than the background rate explains.

    Returns:
        The wave, stopped or unchanged.
    """
    if wave.state is not wave_state.WaveState.RUNNING:
        return wave
    spec = view.config.waves.get(view.name)
    if spec is None:
        reason = "the configuration has no such wave any more"
        return _change_state(
            view, wave, draft, wave_state.WaveState.STOPPED, reason
        )
    planned = {name for names in wave.rounds for name in names}
    started = planned & (wave.processed | {m.name for m in view.under_way})
    mean = background_failures.expected_failures(
        spec.background_failures_per_day,
        _elapsed_s(view, wave),
        len(started),
        len(planned),
    )
    max_explained = background_failures.max_background_failures(mean)
    unacknowledged = set(wave.failed) - set(wave.acknowledged)
    if len(unacknowledged) <= max_explained:
        return wave
    reason = (
        f"{len(unacknowledged)} failed "
        f"({', '.join(sorted(unacknowledged))}); the background "
        f"rate explains at most {max_explained}"
    )
    figures = {
        "failed": float(len(unacknowledged)),
        "explained": float(max_explained),
        "mean": mean,
        "significance": background_failures.SIGNIFICANCE_LEVEL,
    }
    state = wave_state.WaveState.STOPPED
    return _change_state(view, wave, draft, state, reason, figures)


def _elapsed_s(view: WaveView, wave: wave_state.Wave) -> float:
    """Returns how long the wave has run, capped.

    Without the cap, a wall clock that jumps ahead or a wave paused over a
    weekend would let the background rate explain any number of failures.
    """
    elapsed = max(0.0, view.wall_s - wave.started_wall_s)
    return min(elapsed, MAX_OVERRUN_FACTOR * wave.expected_s)


def finish_if_complete(
    view: WaveView, wave: wave_state.Wave, draft: changes.ChangesBuilder
) -> wave_state.Wave:
    """Finishes a wave whose rounds are all finished."""
    if wave.state is not wave_state.WaveState.RUNNING:
        return wave
    if wave.current_round is not None:
        return wave
    figures = {
        "done": float(len(wave.done)),
        "failed": float(len(wave.failed)),
    }
    state = wave_state.WaveState.FINISHED
    reason = "every round is over"
    return _change_state(view, wave, draft, state, reason, figures)


def _change_state(
    view: WaveView,
    wave: wave_state.Wave,
    draft: changes.ChangesBuilder,
    state: wave_state.WaveState,
    reason: str,
    figures: Mapping[str, float] | None = None,
) -> wave_state.Wave:
    draft.add_decision(
        build_decision(view, reason, f"wave {state}", figures or {})
    )
    return dataclasses.replace(wave, state=state, reason=reason, operator="")


def build_decision(
    view: WaveView, cause: str, rule: str, figures: Mapping[str, float]
) -> decision_records.Decision:
    """Returns the record of a decision about the wave."""
    return decision_records.Decision(
        decision_records.wave_subject(view.name),
        cause,
        rule,
        figures,
        f"duty wave/{view.name}",
        view.wall_s,
    )
