"""The configuration in force in this process."""

import gevent
import gevent.event

from vanillaswitch.state import config as config_lib


class ConfigView:
    """Holds the newest configuration seen; it never goes back to an older one.

    Attributes are read by any task; only ``offer`` changes them, without
    letting another task run in between.
    """

    def __init__(self) -> None:
        self._number = 0
        self._digest = ""
        self._config: config_lib.Config | None = None
        self._changed = gevent.event.Event()

    @property
    def number(self) -> int:
        """The number in force; 0 for none."""
        return self._number

    @property
    def digest(self) -> str:
        """SHA-256 of the canonical body in force; empty for none."""
        return self._digest

    @property
    def config(self) -> config_lib.Config | None:
        """The configuration in force; None before the first."""
        return self._config

    def offer(
        self, number: int, digest: str, config: config_lib.Config
    ) -> bool:
        """Takes a configuration if its number is higher than that in force.

        Answers of the table and messages of peers may come late and out of
        order; a lower number is an older configuration, whoever sends it.

        Returns:
            Whether it is now in force.
        """
        if number <= self._number:
            return False
        self._number = number
        self._digest = digest
        self._config = config
        changed, self._changed = self._changed, gevent.event.Event()
        changed.set()
        return True

    def wait_beyond(self, number: int, timeout_s: float | None = None) -> bool:
        """Blocks the calling task until a higher number is in force.

        Args:
            number: what the caller has seen; 0 waits for the first one.
            timeout_s: longest wait; None for ever.

        Returns:
            Whether a higher number is in force.
        """
        with gevent.Timeout(timeout_s, False):
            while self._number <= number:
                self._changed.wait()
        return self._number > number
