"""Tests the next step of an instance for each row and status."""

import pytest

from tests.common import fleet_harness
from vanillaswitch.coordination.maintenance import instance_steps
from vanillaswitch.protocol import platform
from vanillaswitch.state import rows

Phase = platform.MaintenancePhase


def result_of_step(
    row_phase, phase, operation="op", in_flight=0, boots=1, undo=False
):
    row = rows.Instance(
        "p",
        fleet_harness.MINION,
        "s",
        "dc",
        "r",
        row_phase,
        "",
        "op",
        "w",
        boots=1,
    )
    status = platform.InstanceStatus("i", phase, operation, in_flight, boots)
    step = instance_steps.next_step("i", row, status, undo, "s", lambda: "new")
    if isinstance(step, instance_steps.Advance):
        return step.row.phase
    return (
        step.action if isinstance(step, instance_steps.PlatformCall) else None
    )


@pytest.mark.parametrize(
    ("expected", "step"),
    [
        ("drain", result_of_step(Phase.DRAINING, Phase.DRAINED, "older")),
        (None, result_of_step(Phase.DRAINING, Phase.DRAINED, in_flight=1)),
        (Phase.REBOOTING, result_of_step(Phase.DRAINING, Phase.DRAINED)),
        (
            Phase.DRAINED,
            result_of_step(Phase.DRAINING, Phase.DRAINING, undo=True),
        ),
        ("drain", result_of_step(Phase.DRAINING, Phase.SERVING, "", undo=True)),
        (None, result_of_step(Phase.REBOOTING, Phase.DRAINED)),
        (
            Phase.DRAINED,
            result_of_step(Phase.REBOOTING, Phase.DRAINED, boots=2),
        ),
        ("resume", result_of_step(Phase.DRAINED, Phase.DRAINED, "older")),
        (Phase.SERVING, result_of_step(Phase.DRAINED, Phase.SERVING)),
        (Phase.DRAINED, result_of_step(Phase.DRAINED, Phase.DRAINED)),
    ],
)
def test_a_row_advances_only_after_the_instance_has_done_the_operation(
    expected, step
):
    assert step == expected
