"""What an owner's tasks stand on in a modelled day: clock, term, waves."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
import dataclasses

from standins.model import scenario as scenarios
from vanillaswitch.coordination.fleet.machines import wave_controller
from vanillaswitch.protocol import fleet
from vanillaswitch.state import deployment as deployments


@dataclasses.dataclass
class Clock:
    """Virtual time; implements ``clocks.Clock`` as far as decisions use it."""

    now: float = 0.0

    def monotonic(self) -> float:
        """Returns virtual seconds."""
        return self.now

    def wall(self) -> float:
        """Returns the same: days begin at the epoch."""
        return self.now

    def sleep(self, seconds: float) -> None:
        """Refuses: nothing that is driven here waits."""
        raise NotImplementedError(f"a sleep of {seconds} s in virtual time")


class Recorder:
    """A term that is certain as long as the store is there."""

    def __init__(self, token: int, store_answers: Callable[[], bool]):
        self._store_answers = store_answers
        self.token = token
        self.is_term_over = False

    @property
    def last_written_version(self) -> int:
        """The newest write; a term has one token here."""
        return self.token

    def may_operate_machines(self) -> bool:
        """Whether machines may be ordered now."""
        return self._store_answers()

    def end_term(self) -> None:
        """Refuses: nobody else owns a modelled fleet."""
        raise AssertionError("a modelled owner was fenced")


class WaveStore:
    """The waves of the day."""

    def __init__(self, clock: Clock, ordered: Sequence[fleet.WaveOrder]):
        """Makes a board.

        Args:
            clock: of the day.
            ordered: the waves; grows as the day goes on.
        """
        self._clock = clock
        self._ordered = ordered
        self._finished: dict[str, set[str]] = {}
        self.completed_at: dict[str, float] = {}

    def wave_orders(self) -> tuple[fleet.WaveOrder, ...]:
        """Returns the waves that are ordered."""
        return tuple(self._ordered)

    def start_wave(self, wave: str) -> wave_controller.WaveProgress:
        """Returns what is recorded of a wave."""
        return wave_controller.WaveProgress(
            tuple(self._finished.get(wave, ())), 0.0
        )

    def save_finished(self, wave: str, machines: Collection[str]) -> bool:
        """Records machines as finished."""
        self._finished.setdefault(wave, set()).update(machines)
        return True

    def report_status(self, wave: str, completed: bool) -> bool:
        """Takes note of when a wave was completed."""
        if completed:
            self.completed_at.setdefault(wave, self._clock.now)
        return True


def settings(scenario: scenarios.Scenario) -> deployments.Deployment:
    """Returns the settings of the process that owns a modelled fleet."""
    unused = dict.fromkeys(
        (
            "process",
            "zone",
            "entry_address",
            "ready_address",
            "internal_address",
            "metrics_address",
            "store_address",
            "machines_address",
            "advice_address",
        ),
        "",
    )
    return deployments.Deployment(
        **unused,
        overload=deployments.OverloadControls(),
        cores=1.0,
        link_mbps=1000.0,
        orders="request",
        contracts=(),
        heartbeat_s=1.5,
        writes_per_s=600.0,
        reads_per_s=2000.0,
        machine_orders_per_s=64.0,
        bounds=deployments.Bounds(
            move_s=scenario.move_s, maintenance_s=scenario.upkeep_s
        ),
    )
