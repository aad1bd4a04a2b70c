"""A platform in memory whose calls are counted as if they went by HTTP.

Each argument and answer is encoded to the JSON that the wire carries, and
each answer is decoded again, so that a caller pays for parsing as a process
does. The time of encoding, which is the platform's, is told apart.
"""

from collections.abc import Callable
import functools
import time
from typing import Any

from standins import fleet as fleet_lib
from vanillaswitch.protocol import platform
from vanillaswitch.transport import platform_wire

HEADERS_BYTES = 250
"""Bytes of the heads of one HTTP request and its answer, about."""


class Counted:
    """Counts what goes to and from one platform.

    Attributes:
        bytes: of calls, answers and their heads so far.
        calls: how many calls so far, by name.
        platform_s: processor time that was the platform's.
    """

    def __init__(self, inner: fleet_lib.MemoryPlatform):
        self.bytes = 0
        self.calls: dict[str, int] = {}
        self.platform_s = 0.0
        outside = inner.interface
        part = functools.partial(_Part, self)
        table: Any = part(outside.table)
        instances: Any = part(outside.instances)
        workers: Any = part(outside.workers)
        self.interface = platform.Platform(
            table, outside.objects, instances, workers
        )

    def call(
        self, name: str, act: Callable[..., Any], arguments: tuple[Any, ...]
    ) -> Any:
        """Does one call and returns its answer as decoded."""
        began = time.process_time()
        outcome = _wrapped(act(*arguments))
        body = platform_wire.encode_outcome(outcome)
        asked = platform_wire.encode_call({"arguments": arguments})
        self.platform_s += time.process_time() - began
        self.bytes += len(body) + len(asked) + HEADERS_BYTES
        self.calls[name] = self.calls.get(name, 0) + 1
        return _unwrapped(platform_wire.decode_outcome(body))


class _Part:
    def __init__(self, counted: Counted, inner: object):
        self._counted = counted
        self._inner = inner

    def __getattr__(self, name: str) -> Callable[..., Any]:
        method = getattr(self._inner, name)
        return lambda *arguments: self._counted.call(name, method, arguments)


def _wrapped(answer: Any) -> Any:
    if not isinstance(answer, tuple):
        return answer
    if answer and isinstance(answer[0], platform.TaskReport):
        return platform_wire.Reports(answer)
    return platform_wire.Statuses(answer)


def _unwrapped(outcome: Any) -> Any:
    if isinstance(outcome, platform_wire.Statuses):
        return outcome.instances
    if isinstance(outcome, platform_wire.Reports):
        return outcome.tasks
    return outcome
