"""The fleet view: the minions that may get new work."""

import gevent
import hypothesis
from hypothesis import strategies as st

from tests.common import clocks
from tests.common import request_path_harness
from vanillaswitch.coordination.entry import fleet_refresher
from vanillaswitch.coordination.entry import fleet_view
from vanillaswitch.internal import clock as clock_lib
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.state import keys
from vanillaswitch.state import rows

_CONFIG = request_path_harness.make_config()
_NOTICES = st.lists(
    st.builds(
        peers.DrainNotice,
        st.sampled_from(("berthing", "pilotage")),
        st.integers(1, 9),
        st.sets(st.sampled_from(("m0", "m1"))).map(sorted).map(tuple),
    ),
    unique_by=lambda notice: notice.version,
)


def _names(view: fleet_view.FleetView, now: float = 0.0) -> list[str]:
    minions = view.available_minions("berthing", _CONFIG, now)
    return [minion.instance for minion in minions]


def _view() -> fleet_view.FleetView:
    view = fleet_view.FleetView()
    view.update_instances(
        request_path_harness.make_listings("m0", "m1", "m2"), 0
    )
    return view


@hypothesis.given(_NOTICES, st.randoms(use_true_random=False))
def test_drains_in_any_order_and_duplicated_give_the_same_view(notices, rng):
    in_order, shuffled = _view(), _view()
    for notice in sorted(notices, key=lambda notice: notice.version):
        in_order.update_drain(notice)
    twice = notices * 2
    rng.shuffle(twice)
    for notice in twice:
        shuffled.update_drain(notice)
    assert _names(shuffled) == _names(in_order)
    assert set(shuffled.drains) == set(in_order.drains)
    assert shuffled.drain_version == max(
        (n.version for n in notices), default=0
    )


def test_only_live_minions_of_the_service_get_work():
    view = fleet_view.FleetView()
    assert not view.is_loaded
    leaving = request_path_harness.make_listings(
        "m1", state=platform.ListedState.LEAVING
    )
    view.update_instances(
        (*request_path_harness.make_listings("m0"), *leaving), 0
    )
    assert _names(view) == ["m0"]
    assert view.available_minions("pilotage", _CONFIG, 0) == ()
    assert view.available_minions("berthing", _CONFIG, 0)[0].slots == 8
    changed = request_path_harness.make_config(slots_per_minion=3)
    assert view.available_minions("berthing", changed, 0)[0].slots == 3


def test_a_minion_that_declined_work_is_excluded_unless_all_did():
    view = _view()
    view.back_off_from("m0", 0)
    assert _names(view) == ["m1", "m2"]
    assert _names(view, fleet_view.DECLINE_BACKOFF_S) == ["m0", "m1", "m2"]
    view.back_off_from("m1", 0)
    view.back_off_from("m2", 0)
    assert _names(view) == ["m0", "m1", "m2"]


def test_an_instance_list_that_was_requested_earlier_is_ignored():
    view = _view()
    view.update_instances(request_path_harness.make_listings("m0"), 2)
    view.update_instances(request_path_harness.make_listings("m0", "m1"), 1)
    assert _names(view) == ["m0"]


class FakePlatform:
    """A list of instances and a table with budget rows only."""

    def __init__(self):
        self.down: platform.Unavailable | None = None
        self.budgets: tuple[platform.Row, ...] = ()

    def list(self):
        """Reads the list."""
        return self.down or platform.Listings(
            request_path_harness.make_listings("m0", "m1")
        )

    def scan(self, prefix):
        """Reads the budgets."""
        assert prefix == keys.BUDGETS
        return self.down or platform.Rows(self.budgets)

    def drain(self, version: int, *names: str) -> None:
        """Writes the budget row."""
        value = rows.dump(rows.Budget(dict.fromkeys(names, "op")))
        row = platform.Row(keys.budget("berthing"), version, value, "t")
        self.budgets = (row,)


def _task(clock: clock_lib.Clock, fake: FakePlatform):
    view = fleet_view.FleetView()
    task = fleet_refresher.FleetRefresher(view, fake, fake, clock, lambda: 1.0)
    return view, task


def test_the_last_view_and_its_age_are_kept_during_an_outage():
    clock, fake = clocks.ManualClock(), FakePlatform()
    view, task = _task(clock, fake)
    fake.drain(3, "m1")
    assert task.poll()
    fake.down = platform.Unavailable("down")
    clock.advance(1)
    assert not task.poll()
    assert _names(view) == ["m0"]
    assert view.age_s(clock.monotonic()) == 1
    fake.down = None
    fake.drain(4)
    assert task.poll()
    assert _names(view) == ["m0", "m1"]


def test_after_a_pause_one_refresh_makes_the_view_current_even_in_an_outage():
    clock, fake = clocks.ManualClock(), FakePlatform()
    view, task = _task(clock, fake)
    assert task.poll()
    assert view.check_for_pause(clock.monotonic())
    fake.down = platform.Unavailable("down")
    clock.advance(fleet_view.PAUSE_THRESHOLD_S + 1)
    assert not view.check_for_pause(clock.monotonic())
    assert view.update_drain(peers.DrainNotice("berthing", 9, ("m0",)))
    assert task.refresh_after_pause(1.0)
    assert view.check_for_pause(clock.monotonic())
    assert _names(view) == ["m1"]


def test_a_running_task_reads_the_platform():
    view, task = _task(clock_lib.SystemClock(), FakePlatform())
    with task.run_refresher():
        while view.age_s(0) is None:
            gevent.sleep(0)
    assert _names(view) == ["m0", "m1"]


def test_a_refresh_that_was_under_way_during_a_pause_does_not_count():
    view = _view()
    view.check_for_pause(0)
    before = view.pause_count
    view.check_for_pause(60)
    view.finish_refresh(before, 0, is_complete=True)
    assert not view.is_current
    view.finish_refresh(view.pause_count, 60, is_complete=True)
    assert view.is_current
