"""Filler tasks are slowed down for tasks that serve users."""

import hypothesis
from hypothesis import strategies as st

from tests.common import fleet_builders
from tests.common import properties
from vanillaswitch.coordination.fleet.queue import instance_state
from vanillaswitch.coordination.fleet.queue import pacing
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs

_SERVING = jobs.Step(count=1, long_running=True, target_ms=50.0)
_FILLER = jobs.Step(count=1, fills=True)


def _instance():
    instance = instance_state.Instance(fleet_builders.registration("i-1"), 0.0)
    runs = []
    for number, step in enumerate((_SERVING, _FILLER)):
        name = jobs.TaskName("ab" * 8, 0, number, 0)
        run = instance_state.Run(name, 1, step, fleet.Resources(0, 0), 0.0)
        run.confirmed = True
        instance.add_run(run)
        runs.append(run)
    return instance, *runs


def test_a_filler_is_slowed_down_when_a_tail_latency_nears_its_target():
    instance, serving, filler = _instance()
    serving.gauge = 49.0
    paces = pacing.plan_paces(instance, 1.0)
    assert paces == [pacing.PaceOrder(filler, 50)]
    assert not pacing.plan_paces(instance, 1.1)


def test_a_filler_without_serving_tasks_keeps_its_full_pace():
    instance, serving, _ = _instance()
    instance.remove_run(serving.key)
    assert not pacing.plan_paces(instance, 5.0)


def test_a_filler_is_sped_up_only_after_a_while_of_low_latency():
    instance, serving, filler = _instance()
    serving.gauge, filler.pace = 20.0, 50
    instance.low_latency_since = 10.0
    assert not pacing.plan_paces(instance, 11.0)
    assert pacing.plan_paces(instance, 11.7) == [pacing.PaceOrder(filler, 70)]


@properties.steady
@hypothesis.given(effect=st.floats(0.3, 4.0), own=st.floats(5.0, 35.0))
def test_no_tail_latency_stays_over_its_target_for_4_s(effect, own):
    """The tail latency grows with the pace of the filler."""
    instance, serving, filler = _instance()
    over_since = None
    for tick in range(200):
        now = tick * 0.1
        serving.gauge = own + effect * filler.pace
        if serving.gauge > _SERVING.target_ms:
            over_since = now if over_since is None else over_since
            assert now - over_since < 4.0
        else:
            over_since = None
        for pace in pacing.plan_paces(instance, now):
            pace.run.pace = pace.percent
