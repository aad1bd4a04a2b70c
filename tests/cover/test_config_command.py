"""The operators' command for configurations."""

import contextlib
import json
import shutil

import click.testing
import pytest

from tests.common import config_platform
from tests.common import configs
from vanillaswitch.cli import config as cli
from vanillaswitch.cli import fleet
from vanillaswitch.cli import main

FOLDER = str(configs.EXAMPLES / "mare-dues" / "config")
ADDRESS = ("--platform", "127.0.0.1:1")


@pytest.fixture
def run():
    """Runs a subcommand; ``run.store`` is the platform behind it."""
    store = config_platform.ConfigPlatform()

    def invoke(*arguments):
        found = click.testing.CliRunner().invoke(
            cli.command,
            [str(a) for a in arguments],
            obj=lambda _: contextlib.nullcontext(store.platform()),
        )
        return found.exit_code, found.output

    invoke.store = store
    return invoke


@pytest.fixture
def changed(tmp_path):
    """A folder with one more file, which changes the number of minions."""
    folder = shutil.copytree(FOLDER, tmp_path / "config")
    service = {"services": {"berthing": {"minions": 7}}}
    (folder / "90-more.json").write_text(json.dumps(service))
    return folder


def test_a_session_of_two_operators(run, changed):
    first = run("apply", FOLDER, *ADDRESS, "--first")
    assert first == (0, "accepted as number 1, in force: number 1\n")
    line = "~ services.berthing.minions: 6 -> 7\n"
    seen = run("diff", changed, *ADDRESS)
    assert seen == (0, f"in force: number 1\n{line}")
    second = run("apply", changed, *ADDRESS, "--from", 1, "--author", "bia")
    assert second == (0, "accepted as number 2, in force: number 2\n")
    (changed / "90-more.json").write_text("{}")
    late = run("apply", changed, *ADDRESS, "--from", 1)
    assert late[0] == 1
    assert "touched: services.berthing.minions" in late[1]
    code, shown = run("show", *ADDRESS, "--json")
    told = json.loads(shown)
    assert (code, told["number"], told["author"]) == (0, 2, "bia")
    assert told["config"]["services"]["berthing"]["minions"] == 7


def test_mistakes_are_printed_with_file_and_field(run, changed):
    (changed / "90-more.json").write_text('{"pools": {"x": {"workers": -1}}}')
    code, text = run("check", changed)
    assert code == 1
    assert "90-more.json: pools.x.workers: must be 0 or more, is -1" in text
    code, told = run("check", changed, "--json")
    fields = [error["field"] for error in json.loads(told)["errors"]]
    assert (code, fields) == (1, ["pools.x.service", "pools.x.workers"])


@pytest.mark.parametrize(
    "arguments",
    [
        ("apply", FOLDER, *ADDRESS),
        ("apply", FOLDER, *ADDRESS, "--from", 1, "--first"),
        ("show", "--platform", "platform.example:80"),
        ("check", "/no/such/folder"),
    ],
)
def test_wrong_usage_has_its_own_exit_code(run, arguments):
    assert run(*arguments)[0] == 2


def test_an_operator_is_told_whether_an_outage_left_something_open(run):
    run.store.faults.down = True
    code, text = run("apply", FOLDER, *ADDRESS, "--first")
    assert (code, "nothing was applied" in text) == (3, True)
    assert run("show", *ADDRESS)[0] == 3


def test_the_command_hangs_under_the_root_and_checks_the_routing_policy(
    changed,
):
    (changed / "90-more.json").write_text('{"policies": {"routing": "x"}}')
    runner = click.testing.CliRunner()
    found = runner.invoke(main.main, ["config", "check", str(changed)])
    assert found.exit_code == 1
    assert "no routing policy called 'x'" in found.output


@pytest.mark.parametrize("policy", ["routing", "placement"])
def test_a_policy_that_no_registry_has_is_refused(run, tmp_path, policy):
    shutil.copytree(FOLDER, tmp_path, dirs_exist_ok=True)
    change = {"policies": {policy: "nonsense"}}
    (tmp_path / "90-change.json").write_text(json.dumps(change))
    code, output = run("check", tmp_path)
    assert code == 1
    assert f"90-change.json: policies.{policy}: " in output


def test_what_needs_a_configuration_says_that_none_is_in_force(run):
    found = click.testing.CliRunner().invoke(
        fleet.command,
        ["status", *ADDRESS],
        obj=lambda _: contextlib.nullcontext(run.store.platform()),
    )
    assert found.exit_code == 1
    assert "(in force)" in found.output and "config apply" in found.output
