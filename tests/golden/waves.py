"""The rows that a controller writes through one maintenance wave."""

import dataclasses

from standins import fleet as fleet_lib
from tests.common import clocks
from tests.common import records
from tests.common import sessions
from tests.common import wave_harness
from vanillaswitch.coordination.maintenance import wave_state
from vanillaswitch.state import keys

_STEPS = 200


def record(example: str, service: str) -> str:
    """Runs a wave to its end and returns the record of its rows."""
    clock = clocks.ManualClock()
    fleet = sessions.fleet_of(example, (service,), "123456")
    fleet = dataclasses.replace(fleet, reboot_s=1.0)
    outside = fleet_lib.MemoryPlatform(fleet, clock)
    record = records.Record(hidden=(keys.SESSIONS,))
    outside.table.commit = records.recorded(record, outside.table)
    outside.instances.add_listener(
        lambda name, phase: record.add(f"{name} is {phase}")
    )
    config = sessions.config_of(example, (service,), data_centres={})
    wave = wave_harness.WaveHarness(outside, clock, config, service)
    record.title("The instances are adopted")
    wave.write_instance_rows()
    record.title("The only controller takes the duties")
    wave.wait_for_duty()
    record.title("An operator starts the wave")
    wave.start()
    for number in range(1, _STEPS):
        if wave.state != wave_state.WaveState.RUNNING:
            break
        record.title(f"Step {number}")
        wave.step()
    record.add(f"the wave is {wave.state}")
    return record.text()
