"""Logging: one line for each change of state, on standard error.

The library behind it is chosen by name. ``loguru`` is what the users ask for;
it takes 10 MB of resident memory, mostly for asyncio, which it imports. A
controller has 32 MB in all, so it writes its few lines by the standard
library's ``logging``, the nearest kin (figures in docs/CAPACITY.md).
"""

from collections.abc import Callable
import functools
import re
import sys

from vanillaswitch.internal import lines
from vanillaswitch.internal import registry

Write = Callable[[str, str], None]
"""Writes (level, line)."""

BACKENDS: registry.Registry[Callable[[str], Write]] = registry.Registry(
    "logging library"
)
"""Name to what makes a writer for one process's name."""

_LOGURU_FORMAT = (
    "{time:YYYY-MM-DDTHH:mm:ss.SSSZ} {level} {extra[process]} {message}"
)
_LOGGING_FORMAT = "%(asctime)s %(levelname)s %(name)s %(message)s"


@BACKENDS.register("loguru")
def _loguru(process: str) -> Write:
    import loguru

    loguru.logger.remove()
    loguru.logger.add(sys.stderr, format=_LOGURU_FORMAT, level="INFO")
    bound = loguru.logger.bind(process=process)

    def write(level: str, line: str) -> None:
        bound.log(level, "{}", line)

    return write


@BACKENDS.register("logging")
def _logging(process: str) -> Write:
    import logging

    logging.basicConfig(
        stream=sys.stderr, format=_LOGGING_FORMAT, level=logging.INFO
    )
    logger = logging.getLogger(process)

    def write(level: str, line: str) -> None:
        logger.log(logging.getLevelNamesMapping()[level], "%s", line)

    return write


@BACKENDS.register("json")
def _json(process: str) -> Write:
    global _lines
    _lines = lines.Lines(sys.stdout.fileno(), process)
    writer = _lines

    def write(level: str, line: str) -> None:
        writer.write("message", {"level": level, "message": line})

    return write


@BACKENDS.register("silent")
def _silent(process: str) -> Write:
    del process

    def write(level: str, line: str) -> None:
        del level, line

    return write


def _to_stderr(level: str, line: str) -> None:
    print(level, line, file=sys.stderr)


_write: Write = _to_stderr
_lines: lines.Lines | None = None


def configure(process: str, backend: str) -> None:
    """Chooses where this process's lines go.

    Args:
        process: the process's name, shown in each line.
        backend: name in ``BACKENDS``.

    Raises:
        errors.UnknownVariantError: there is no such backend.
    """
    global _write
    _write = BACKENDS.get(backend)(process)


def info(template: str, *arguments: object) -> None:
    """Logs a change of state; ``template`` as for ``str.format``."""
    _write("INFO", template.format(*arguments))


def warning(template: str, *arguments: object) -> None:
    """Logs a change to a worse state."""
    _write("WARNING", template.format(*arguments))


def error(template: str, *arguments: object) -> None:
    """Logs a failure of this program, not of what is around it."""
    _write("ERROR", template.format(*arguments))


def event(record: object) -> None:
    """Logs a typed event, a frozen data class, as one line of JSON.

    Its kind is the class's name. Only the backend "json" writes events; the
    others are those of processes whose lines are free text.
    """
    if _lines is not None:
        # Not copied: most lines of a turn are left out again at once.
        _lines.write(_kind(type(record).__name__), vars(record))


def flush() -> None:
    """Writes the events that were gathered."""
    if _lines is not None:
        _lines.flush()


@functools.cache
def _kind(name: str) -> str:
    """Turns "JobEnded" into "job-ended"."""
    return re.sub(r"(?<!^)(?=[A-Z])", "-", name).lower()
