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
