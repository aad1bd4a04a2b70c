"""What operators see of the measurements of one process."""

import click.testing

from vanillaswitch.cli import histograms
from vanillaswitch.transport import pages_http

SUMMARY = {"count": 3, "p50_us": 1500, "p99_us": 2500, "max_us": 2500}


def _run(pages, *arguments):
    shown = {f"/_/{name}": lambda p=page: (200, p) for name, page in pages}
    with pages_http.serve("127.0.0.1:0", shown) as address:
        return click.testing.CliRunner().invoke(
            histograms.command, [address, *arguments]
        )


def test_an_entry_shows_histograms_and_counters():
    pages = [("histograms", {"class/quote": SUMMARY}), ("counters", {"a": 7})]
    found = _run(pages, "--counters")
    assert found.exit_code == 0
    assert "class/quote" in found.output and "1.5" in found.output
    assert found.output.splitlines()[-1].split() == ["a", "7"]


def test_a_controller_which_has_no_histograms_shows_its_counters():
    found = _run([("counters", {"a": 7})], "--counters")
    assert found.exit_code == 0
    assert found.output.splitlines()[-1].split() == ["a", "7"]


def test_an_address_that_is_no_ip_and_port_is_wrong_usage():
    runner = click.testing.CliRunner()
    assert runner.invoke(histograms.command, ["nonsense"]).exit_code == 2
