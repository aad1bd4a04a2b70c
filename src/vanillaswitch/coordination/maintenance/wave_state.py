"""Rows of maintenance waves: progress, failures and reasons to wait."""

from collections.abc import Mapping
import dataclasses
import enum


class WaveState(enum.StrEnum):
    """State of a wave's run."""

    PLANNED = "planned"
    RUNNING = "running"
    PAUSED = "paused"
    STOPPED = "stopped"
    FINISHED = "finished"


BEGUN = frozenset({WaveState.RUNNING, WaveState.PAUSED, WaveState.STOPPED})
"""States of a wave that was started and has not finished."""


@dataclasses.dataclass(frozen=True)
class Wave:
    """``wave/<name>``: one run of a maintenance wave.

    The progress and completion of each instance are stored in the row of the
    instance. This row holds the names of the whole wave, and would otherwise
    be rewritten for every instance.

    Attributes:
        state: state of the run.
        run: random id of this run; each start of the wave is a new run.
        rounds: instances by round, in the order planned at the start.
        done: instances that were rebooted and serve again, as of the last
            write of this row; see ``fleet_state.Fleet.wave_with_done``.
        failed: instance to the reason why it did not come back.
        acknowledged: failed instances that don't count towards stopping the
            wave: an operator knew of them when resuming, or they failed
            before the wave took them down.
        reason: why the run is in its state.
        operator: who last changed the state; empty for the system itself.
        started_wall_s: when the run started, seconds since the Unix epoch.
        expected_s: duration according to the plan, in seconds.
        waits: why the running wave has no instance in maintenance and takes
            none down; empty while it makes progress.
        slow: instance to the reason why its drain exceeds the limit.
    """

    state: WaveState
    run: str
    rounds: tuple[tuple[str, ...], ...]
    started_wall_s: float
    expected_s: float
    done: tuple[str, ...] = ()
    failed: Mapping[str, str] = dataclasses.field(default_factory=dict)
    acknowledged: tuple[str, ...] = ()
    reason: str = ""
    operator: str = ""
    waits: str = ""
    slow: Mapping[str, str] = dataclasses.field(default_factory=dict)

    def completion_mark(self, name: str) -> str:
        """Returns the value of ``maintained`` in the rows of done instances.

        Args:
            name: name of the wave.
        """
        return f"{name}/{self.run}"

    def equals_except_done(self, other: "Wave") -> bool:
        """Returns whether two states of a run differ in ``done`` at most."""
        return dataclasses.replace(self, done=other.done) == other

    @property
    def processed(self) -> frozenset[str]:
        """Instances that this run won't take down again: done or failed."""
        return frozenset(self.done) | frozenset(self.failed)

    @property
    def current_round(self) -> int | None:
        """Index of the first unfinished round; None when all are finished."""
        processed = self.processed
        for index, names in enumerate(self.rounds):
            if not processed.issuperset(names):
                return index
        return None
