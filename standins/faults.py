"""Switches that make a stand-in fail, shared by all stand-ins."""

from collections.abc import Callable
from typing import TypeVar

from vanillaswitch.internal import clock as clock_module
from vanillaswitch.protocol import platform

T = TypeVar("T")


class Faults:
    """Mutable switches of one stand-in, or of several that share them.

    A write is a commit of the table, or a drain, reboot, resume, start or
    stop. The counters below count down, one for each write they hit.

    Attributes:
        down: every call is refused without effect.
        slow_s: every call takes this many seconds of the clock longer.
        lose_answers: next writes that take effect and whose answer is lost.
        drop_calls: next writes that are lost before they take effect.
        delay_effect: next writes that are answered as unknown and take
            effect only at ``release_delayed``.
    """

    def __init__(self, clock: clock_module.Clock | None = None):
        """Makes switches that are all off.

        Args:
            clock: sleeps for ``slow_s``; the machine's when not given.
        """
        self.down = False
        self.slow_s = 0.0
        self.lose_answers = 0
        self.drop_calls = 0
        self.delay_effect = 0
        self._clock = clock or clock_module.SystemClock()
        self._delayed: list[Callable[[], object]] = []

    @property
    def delayed(self) -> int:
        """How many writes wait for ``release_delayed``."""
        return len(self._delayed)

    def release_delayed(self) -> None:
        """Lets the delayed writes take effect, in the order they came."""
        waiting, self._delayed = self._delayed, []
        for effect in waiting:
            effect()

    def refusal(self) -> platform.Unavailable | None:
        """Waits ``slow_s``; returns the refusal when the stand-in is down."""
        if self.slow_s and not self.down:
            self._clock.sleep(self.slow_s)
        if self.down:
            return platform.Unavailable("the platform is down")
        return None

    def read(self, effect: Callable[[], T]) -> T | platform.Unavailable:
        """Runs a call that changes nothing, or that may be lost safely."""
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        return effect()

    def write(
        self, effect: Callable[[], T]
    ) -> T | platform.Unavailable | platform.OutcomeUnknown:
        """Runs a write, as far as the switches let it."""
        refusal = self.refusal()
        if refusal is not None:
            return refusal
        if self.drop_calls > 0:
            self.drop_calls -= 1
            return platform.OutcomeUnknown("the call was lost")
        if self.delay_effect > 0:
            self.delay_effect -= 1
            self._delayed.append(effect)
            return platform.OutcomeUnknown("no answer in time")
        outcome = effect()
        if self.lose_answers > 0:
            self.lose_answers -= 1
            return platform.OutcomeUnknown("the answer was lost")
        return outcome
