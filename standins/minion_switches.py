"""What a stand-in minion can be made to do wrong."""

import dataclasses

import gevent.event


@dataclasses.dataclass(frozen=True)
class Switches:
    """How the minion behaves until it is switched again.

    Those named ``..._next`` count down by one with each request.

    Attributes:
        slow_ms: added to the work of each request.
        late_next: so many requests are answered ``late_ms`` late.
        silent_next: so many requests are never answered.
        cut_next: so many answers break off in the middle.
        reset_next: so many connections are reset instead of answered.
        close_next: so many connections are closed after an answer that
            promised to keep them.
        doubled_next: so many answers are sent twice.
        unlucky_run: whether requests that go silent or are reset do run.
        leaving: every request is declared "not run" with status 503.
        rebooting: every request is reset, as on a machine that is off.
        refuse: new connections are refused.
        hold: requests run, and are answered once this is switched off.
    """

    slow_ms: float = 0.0
    late_next: int = 0
    late_ms: float = 0.0
    silent_next: int = 0
    cut_next: int = 0
    reset_next: int = 0
    close_next: int = 0
    doubled_next: int = 0
    unlucky_run: bool = True
    leaving: bool = False
    rebooting: bool = False
    refuse: bool = False
    hold: bool = False


class SwitchBoard:
    """Holds the switches and counts them down."""

    def __init__(self) -> None:
        self._switches = Switches()
        self._released = gevent.event.Event()
        self._released.set()

    @property
    def now(self) -> Switches:
        """The switches as they are."""
        return self._switches

    def set(self, **changes: object) -> None:
        """Changes some switches.

        Raises:
            TypeError: there is no such switch.
        """
        self._switches = dataclasses.replace(
            self._switches,
            **changes,  # type: ignore[arg-type]
        )
        if self._switches.hold:
            self._released.clear()
        else:
            self._released.set()

    def wait_released(self) -> None:
        """Waits while answers are held."""
        self._released.wait()

    def take(self, name: str) -> bool:
        """Returns whether a counting switch is on, and counts it down."""
        left = getattr(self._switches, name)
        if left > 0:
            self.set(**{name: left - 1})
        return bool(left > 0)
