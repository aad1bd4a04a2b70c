"""The layout that CONTRIBUTING.md promises."""

import ast
import pathlib

import vanillaswitch

_ROOT = pathlib.Path(vanillaswitch.__file__).parent

_MAY_IMPORT = {
    "internal": {"internal", "errors"},
    "protocol": {"protocol", "internal", "errors"},
    "state": {"state", "protocol", "internal", "errors"},
    "coordination": {"coordination", "state", "protocol", "internal", "errors"},
    "transport": {"transport", "state", "protocol", "internal", "errors"},
    "platform": {
        "platform",
        "transport",
        "coordination",
        "state",
        "protocol",
        "internal",
        "errors",
    },
}


def _imports(path: pathlib.Path) -> set[str]:
    """Returns the layers of this project that a module imports."""
    layers = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            parts = node.module.split(".")
            if parts[0] != "vanillaswitch":
                continue
            names = [alias.name for alias in node.names]
            layers.update(parts[1:2] or names)
    return layers


def test_imports_point_downwards_only():
    wrong = [
        f"{path.relative_to(_ROOT)}: {', '.join(sorted(extra))}"
        for layer, allowed in _MAY_IMPORT.items()
        for path in sorted((_ROOT / layer).rglob("*.py"))
        if (extra := _imports(path) - allowed)
    ]
    assert not wrong


def test_modules_are_imported_and_not_names():
    wrong = []
    for path in sorted(_ROOT.rglob("*.py")):
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.ImportFrom) or not node.module:
                continue
            if not node.module.startswith("vanillaswitch"):
                continue
            for alias in node.names:
                target = _ROOT.joinpath(*node.module.split(".")[1:], alias.name)
                if not (target.is_dir() or target.with_suffix(".py").exists()):
                    wrong.append(f"{path.name}: {alias.name}")
    assert not wrong


_FLEET = _ROOT / "coordination" / "fleet"
_DECISIONS = (
    "admission/admission_control.py",
    "admission/backlog.py",
    "queue/*.py",
    "machines/capacity_planner.py",
    "machines/evacuation.py",
    "machines/machine_releases.py",
    "machines/pool_allocation.py",
    "machines/waves.py",
    "instances/advice_calls.py",
    "instances/completions.py",
    "instances/disruption_budget.py",
    "instances/incarnations.py",
    "instances/lease_times.py",
    "instances/order_outcomes.py",
    "instances/restarts.py",
    "instances/run_recovery.py",
    "instances/scheduler.py",
    "instances/status_reports.py",
    "instances/stop_orders.py",
    "instances/term_state.py",
    "job_requests/job_rows.py",
    "ownership/owner_monitor.py",
)
_OUTSIDE = ("gevent", "time", "random", "socket", "transport", "clock")


def test_decisions_know_no_clock_no_socket_and_no_task():
    """A decision that sleeps or asks can't be replayed in virtual time."""
    wrong = []
    for pattern in _DECISIONS:
        paths = sorted(_FLEET.glob(pattern))
        assert paths, f"nothing matches {pattern}"
        wrong.extend(
            f"{path.relative_to(_ROOT)}: {name}"
            for path in paths
            for name in _imported_names(path)
            if name in _OUTSIDE
        )
    assert not wrong


def _imported_names(path: pathlib.Path) -> set[str]:
    """Returns top packages and last names of what a module imports."""
    names: set[str] = set()
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.Import):
            names.update(alias.name.partition(".")[0] for alias in node.names)
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.partition(".")[0])
            names.update(alias.name for alias in node.names)
            names.update(node.module.split("."))
    return names
