"""A test harness: one controller that runs a wave, stepped by the test."""

import dataclasses
import random

from standins import fleet as fleet_lib
from tests.common import clocks
from vanillaswitch.coordination.control import controller as controller_lib
from vanillaswitch.coordination.maintenance import fleet_state
from vanillaswitch.coordination.maintenance import wave_duty  # noqa: F401
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.protocol import platform
from vanillaswitch.state import config as config_lib
from vanillaswitch.state import keys
from vanillaswitch.state import rows
from vanillaswitch.state import settings as settings_lib

WAVE = "new-kernel"
_DUTY = f"wave/{WAVE}"


class WaveHarness:
    """A wave over the minions of one service."""

    def __init__(
        self,
        standin: fleet_lib.MemoryPlatform,
        clock: clocks.ManualClock,
        config: config_lib.Config,
        service: str,
    ):
        wave = config_lib.Wave((service,), config_lib.WaveTarget.MINIONS)
        self.config = dataclasses.replace(config, waves={WAVE: wave})
        self._platform = standin
        self._clock = clock
        self._controller = controller_lib.Controller(
            settings_lib.Settings("controller-1", "dc", "", "", ""),
            standin.interface,
            clock,
            random.Random(1),
            lambda: self.config,
            lambda _message: None,
        )

    @property
    def state(self) -> str:
        """The state in the wave's row."""
        [row] = self._platform.table.read([keys.wave(WAVE)]).rows
        return row.value["state"]

    def write_instance_rows(self) -> None:
        """Writes a row for each instance of the platform's list."""
        for one in self._platform.instances.list().instances:
            row = rows.Instance(
                one.service, one.kind, one.service, one.data_centre, one.rack
            )
            self._put(keys.instance(one.instance), row)

    def wait_for_duty(self) -> None:
        """Runs the controller until it holds the wave's duty."""
        while _DUTY not in self._controller.fences:
            self._tick()

    def start(self) -> None:
        """Starts the wave in the way of the operators' command."""
        fleet = fleet_state.read_with_statuses(self._platform.interface)
        plan = wave_plan.plan_wave(fleet, self.config, self.config.waves[WAVE])
        row = wave_state.Wave(
            wave_state.WaveState.RUNNING,
            "run-1",
            plan.rounds,
            self._clock.wall(),
            plan.expected_s,
        )
        self._put(keys.wave(WAVE), row)

    def step(self) -> None:
        """Runs one step of the wave, then ticks the controller."""
        self._controller.step(_DUTY)
        self._tick()

    def _put(self, key: str, row: object) -> None:
        put = platform.Put(key, platform.ABSENT, rows.dump(row))
        self._platform.table.commit(platform.Transaction(key, (put,)))

    def _tick(self) -> None:
        self._controller.tick()
        self._clock.advance(controller_lib.STEP_PAUSE_S)
