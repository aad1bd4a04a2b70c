"""Planned replacements of entries, one by one and all at once."""

import json
import shutil

import pytest

from standins import callers as callers_lib
from standins import measure_rolling
from standins import site as site_lib
from standins import verdicts
from tests.common import deployments


@pytest.fixture(scope="module")
def site(tmp_path_factory):
    with site_lib.run(tmp_path_factory.mktemp("site"), work_ms=1.0) as made:
        yield made


def test_a_rolling_restart_cuts_off_no_request(site):
    """A maintenance evening: all eight entries are replaced under load.

    Clerks ask for quotes on kept connections and charge without pause, and
    go on to the next entry when one refuses. Each entry is told to stop with
    requests in flight. None may be cut, doubled or left without an answer.
    """
    plan = measure_rolling.Plan(clerks=8, answers=50, kept=False)
    report = measure_rolling.run(plan, site)
    assert (report.cut, report.unanswered, report.untrue) == (0, 0, ())
    assert report.exit_codes == (0,) * plan.entries


def test_all_entries_are_replaced_while_the_table_is_down(site, tmp_path):
    """The platform replaces every entry at once, in an outage of the table.

    Nobody is left who knows the configuration. The new entries say that they
    did not run what they are asked, and start when the table is back, with
    the configuration that was accepted last and no older one.
    """
    folder = tmp_path / "changed"
    shutil.copytree(site_lib.EXAMPLE / "config", folder)
    change = {"policies": {"retry_ratio": 0.05}}
    (folder / "90-change.json").write_text(json.dumps(change))
    with site.entries(3) as old, callers_lib.run(seed=2) as callers:
        site.apply(folder, "--from", "1")
        deployments.wait_until(lambda: _numbers(old) == {2})
        site.table(down=True)
        assert [process.stop() for process in old] == [0, 0, 0]
        new = site.start_entries(3, ready=False)
        for process in new:
            told = callers.quote(deployments.listen(process))
            assert told.code == "not-ready"
            assert told.result is verdicts.Result.NOT_RUN
        site.table(down=False)
        site.running.wait_ready()
        assert _numbers(new) == {2}
        for process in new:
            told = callers.quote(deployments.listen(process))
            assert told.result is verdicts.Result.ANSWERED


def _numbers(processes):
    return {process.page("counters")["config.number"] for process in processes}
