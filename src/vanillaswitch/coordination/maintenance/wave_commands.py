"""Operator commands for a wave: start, resume and pause.

Operators hold no duty. Their write names the version of the wave's row that
they read, so that the second of two concurrent commands fails with a conflict.
"""

from collections.abc import Mapping
import dataclasses

from vanillaswitch import errors
from vanillaswitch.coordination.maintenance import changes
from vanillaswitch.coordination.maintenance import decision_records
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.state import config as config_lib

State = wave_state.WaveState


@dataclasses.dataclass(frozen=True)
class WaveRequest:
    """An operator's command for one wave.

    Attributes:
        name: the wave.
        operator: who gives the command.
        wall_s: when, seconds since the Unix epoch.
        run: random id for the run, if the command starts one.
    """

    name: str
    operator: str
    wall_s: float
    run: str


def start(
    fleet: fleet_state.Fleet, config: config_lib.Config, request: WaveRequest
) -> changes.Changes:
    """Returns the changes that start a wave, or resume an unfinished run.

    Raises:
        errors.WaveRefusedError: The wave is running already, is not
            configured, or can't finish within the availability budgets.
    """
    spec = config.waves.get(request.name)
    if spec is None:
        known = ", ".join(sorted(config.waves)) or "(none)"
        raise errors.WaveRefusedError(
            f"there is no wave {request.name!r}; use one of: {known}"
        )
    existing = fleet.waves.get(request.name)
    if existing is None or existing.row.state is State.FINISHED:
        wave = _create_run(fleet, config, spec, request)
        return _build_changes(request, wave, "wave started")
    if existing.row.state is State.RUNNING:
        raise errors.WaveRefusedError(f"{request.name} is running already")
    current = fleet.wave_with_done(request.name)
    wave = dataclasses.replace(
        current,
        state=State.RUNNING,
        reason=f"resumed by {request.operator}",
        operator=request.operator,
        # By resuming, the operator accepts the failures so far. Only new
        # failures can stop the wave again.
        acknowledged=tuple(sorted(current.failed)),
    )
    return _build_changes(request, wave, "wave resumed")


def pause(fleet: fleet_state.Fleet, request: WaveRequest) -> changes.Changes:
    """Returns the changes that pause a running wave.

    Instances that are already in maintenance complete it. No other instance
    is taken down.

    Raises:
        errors.WaveRefusedError: The wave is not running.
    """
    existing = fleet.waves.get(request.name)
    if existing is None or existing.row.state is not State.RUNNING:
        state = existing.row.state if existing else "not started"
        raise errors.WaveRefusedError(f"{request.name} is {state}")
    wave = dataclasses.replace(
        fleet.wave_with_done(request.name),
        state=State.PAUSED,
        reason=f"paused by {request.operator}",
        operator=request.operator,
    )
    return _build_changes(request, wave, "wave paused")


def _create_run(
    fleet: fleet_state.Fleet,
    config: config_lib.Config,
    spec: config_lib.Wave,
    request: WaveRequest,
) -> wave_state.Wave:
    plan = wave_plan.plan_wave(fleet, config, spec)
    if plan.cannot:
        raise errors.WaveRefusedError("; ".join(plan.cannot))
    return wave_state.Wave(
        State.RUNNING,
        request.run,
        plan.rounds,
        request.wall_s,
        plan.expected_s,
        reason=f"started by {request.operator}",
        operator=request.operator,
    )


def _build_changes(
    request: WaveRequest, wave: wave_state.Wave, rule: str
) -> changes.Changes:
    figures: Mapping[str, float] = {
        "rounds": float(len(wave.rounds)),
        "expected_s": wave.expected_s,
    }
    decision = decision_records.Decision(
        decision_records.wave_subject(request.name),
        wave.reason,
        rule,
        figures,
        request.operator,
        request.wall_s,
    )
    return changes.Changes(waves={request.name: wave}, decisions=(decision,))
