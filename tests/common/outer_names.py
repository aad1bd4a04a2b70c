"""Names that leave the process, collected from the code.

Clients, operators, instances, peers and the rows of the store know these names.
Many are not written out but taken from an identifier: the type and the fields
of a peer message, the kind and the keys of a log event, the label of a counter,
the columns of a row.

``python -m tests.common.outer_names`` writes the list anew. Each line that
goes is a name that an older version of the program or a user still uses.
"""

import ast
from collections.abc import Iterator
import dataclasses
import enum
import importlib
import inspect
import pathlib
import pkgutil
import re
import types
import typing

import click

import vanillaswitch
from vanillaswitch import platform as platform_adapter
from vanillaswitch.cli import main
from vanillaswitch.coordination.configuration import config_sync
from vanillaswitch.coordination.fleet import events
from vanillaswitch.coordination.fleet import status_summaries
from vanillaswitch.coordination.fleet.ownership import fenced_writer
from vanillaswitch.coordination.maintenance import budgets
from vanillaswitch.coordination.maintenance import wave_plan
from vanillaswitch.internal import histograms
from vanillaswitch.internal import logs
from vanillaswitch.protocol import fleet
from vanillaswitch.protocol import jobs
from vanillaswitch.protocol import peers
from vanillaswitch.protocol import platform
from vanillaswitch.protocol import unusable
from vanillaswitch.state import config
from vanillaswitch.state import rows
from vanillaswitch.state import settings
from vanillaswitch.transport import platform_wire

LIST = pathlib.Path(__file__).parent.parent / "golden" / "outer-names.txt"

_NAME = re.compile(r"[A-Za-z_/\-.][\w/\-.:{}]{0,60}")


def collect() -> list[str]:
    """Returns all names, each as "kind name", sorted."""
    return sorted({f"{kind} {name}" for kind, name in _all()})


def listed() -> list[str]:
    """Returns the names that stand in the list."""
    return LIST.read_text(encoding="utf-8").splitlines()


def _all() -> Iterator[tuple[str, str]]:
    for kind in typing.get_args(peers.Message):
        yield "peer-message", kind.__name__
        yield from _fields("peer-message", kind)
    for kind in _data_classes(events):
        yield "counter", kind.__name__
        yield "log-event", logs._kind(kind.__name__)
        yield from _fields(logs._kind(kind.__name__), kind)
    for kind in (fenced_writer.OwnerRow, jobs.Job):
        yield from _fields("row", kind)
    for kind in _data_classes(rows):
        yield from _fields("row", kind)
    yield from _fields("setting", settings.Settings)
    yield from _fields("configuration", config.Config)
    yield from _fields("counter config", config_sync.Counters)
    yield from _fields("histogram", histograms.Summary)
    for kind in _data_classes(status_summaries):
        yield from _fields("command-output", kind)
    for kind in (
        fleet.Machine,
        unusable.Unusable,
        budgets.BudgetStatus,
        wave_plan.WavePlan,
    ):
        yield from _fields("command-output", kind)
    for kind in (fleet.Accepted, fleet.Refused, fleet.Busy, fleet.NoAnswer):
        yield "machine-outcome", kind.__name__.lower()
    for kind in typing.get_args(platform_wire.Outcome):
        yield "platform-outcome", platform_wire._tag(kind)
        yield from _fields("platform", kind)
    for kind in (
        *_data_classes(platform_wire),
        platform.Transaction,
        platform.TaskSpec,
    ):
        yield from _fields("platform", kind)
    for module in _modules(platform_adapter):
        for kind in _data_classes(module):
            yield from _fields("platform-adapter", kind)
    yield from _commands(main.main, "vanillaswitch")
    yield from _texts()


def _modules(package: types.ModuleType) -> Iterator[types.ModuleType]:
    for found in pkgutil.iter_modules(package.__path__):
        yield importlib.import_module(f"{package.__name__}.{found.name}")


def _data_classes(module: types.ModuleType) -> Iterator[type]:
    for kind in vars(module).values():
        if not inspect.isclass(kind) or kind.__module__ != module.__name__:
            continue
        if dataclasses.is_dataclass(kind):
            yield kind


def _fields(group: str, kind: type) -> Iterator[tuple[str, str]]:
    """Yields the fields of a data class, those of its fields' types too."""
    for name, hint in typing.get_type_hints(kind).items():
        if name not in {field.name for field in dataclasses.fields(kind)}:
            continue
        yield group, name
        for inner in _classes_in(hint):
            if issubclass(inner, enum.Enum):
                for member in inner:
                    yield f"{group} {name} value", str(member.value)
            elif dataclasses.is_dataclass(inner) and inner is not kind:
                yield from _fields(f"{group}.{name}", inner)


def _classes_in(hint: typing.Any) -> Iterator[type]:
    if inspect.isclass(hint) and not typing.get_args(hint):
        yield hint
    for argument in typing.get_args(hint):
        yield from _classes_in(argument)


def _commands(command: click.Command, path: str) -> Iterator[tuple[str, str]]:
    yield "command", path
    for parameter in command.params:
        for option in (*parameter.opts, *parameter.secondary_opts):
            yield f"parameter of {path}", option
    if isinstance(command, click.Group):
        context = click.Context(command)
        for name in command.list_commands(context):
            found = command.get_command(context, name)
            assert found is not None
            yield from _commands(found, f"{path} {name}")


def _texts() -> Iterator[tuple[str, str]]:
    """Yields the constants that look like names: keys, values, paths."""
    root = pathlib.Path(vanillaswitch.__file__).parent
    for path in sorted(root.rglob("*.py")):
        tree = ast.parse(path.read_text(encoding="utf-8"))
        skipped = {
            id(part)
            for node in ast.walk(tree)
            for inner in _inner(node)
            for part in ast.walk(inner)
        }
        for node in ast.walk(tree):
            if not isinstance(node, ast.Constant) or id(node) in skipped:
                continue
            if isinstance(node.value, str) and _NAME.fullmatch(node.value):
                yield "text", node.value


def _inner(node: ast.AST) -> Iterator[ast.AST]:
    """Yields what holds texts that no other process sees.

    These are docstrings, types that are named before their definition, and
    names of type variables.
    """
    if isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant):
        yield node.value
    elif isinstance(node, ast.arg | ast.AnnAssign) and node.annotation:
        yield node.annotation
    elif isinstance(node, ast.FunctionDef) and node.returns:
        yield node.returns
    elif isinstance(node, ast.Call) and ast.unparse(node.func) == "TypeVar":
        yield node


if __name__ == "__main__":
    LIST.write_text("\n".join(collect()) + "\n", encoding="utf-8")
