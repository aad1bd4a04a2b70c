"""The callers' session of each deployment."""

import dataclasses

from tests.common import sessions


@dataclasses.dataclass(frozen=True)
class Cast:
    """Who asks for what in a session.

    Attributes:
        idempotent: a quote or a booking.
        once: a charge or an order.
        other: the body of another such request.
    """

    example: str
    caller: str
    services: tuple[str, ...]
    idempotent: sessions.Ask
    once: sessions.Ask
    other: str

    def keyed(self, key: str) -> sessions.Ask:
        """Returns the charge or order under a key."""
        return dataclasses.replace(self.once, key=key)


MARE_DUES = Cast(
    "mare-dues",
    "clerk-recife",
    ("pilotage",),
    sessions.Ask("POST", "/pilotage/quotes", '{"vessel": "Aurora"}'),
    sessions.Ask("POST", "/pilotage/charges", '{"cents": 125000}'),
    '{"cents": 990000}',
)
LARKSPUR = Cast(
    "larkspur",
    "desk-tacoma",
    ("fitting-desk", "fabric-store"),
    sessions.Ask("PUT", "/fitting-desk/bookings/7", '{"bride": "Vell"}'),
    sessions.Ask("POST", "/fabric-store/orders", '{"veils": 1}'),
    '{"veils": 2}',
)


def record(cast: Cast) -> str:
    """Plays a session and returns its record."""
    opened = sessions.opened(cast.example, cast.caller, cast.services)
    with opened as session:
        _answered(session, cast)
        _refused(session, cast)
        _connections(session, cast)
        _outage(session, cast)
        _leaving(session, cast)
        return session.record.text()


def _answered(session: sessions.Session, cast: Cast) -> None:
    title = session.record.title
    title("An idempotent request is answered")
    session.ask(cast.idempotent)
    title("A request that runs once is answered")
    session.ask(cast.keyed("key-1"))
    title("Asked again at another entry: the same answer, no second run")
    session.ask(cast.keyed("key-1"), "entry-2")


def _refused(session: sessions.Session, cast: Cast) -> None:
    title = session.record.title
    title("The key with another body")
    reused = dataclasses.replace(cast.keyed("key-1"), body=cast.other)
    session.ask(reused)
    title("No deadline")
    session.ask(cast.idempotent, timeout=False)
    title("No such service")
    session.ask(sessions.Ask("GET", "/lighthouse/quotes"))


def _connections(session: sessions.Session, cast: Cast) -> None:
    title = session.record.title
    title("A connection goes silent under an idempotent request")
    _meet_fault(session, cast.idempotent, silent_next=1, unlucky_run=False)
    title("The answer to a request that runs once is cut")
    _meet_fault(session, cast.keyed("key-2"), cut_next=1)
    title("Asked again at both entries: unknown, and no second run")
    session.ask(cast.keyed("key-2"))
    session.ask(cast.keyed("key-2"), "entry-2")


def _outage(session: sessions.Session, cast: Cast) -> None:
    title = session.record.title
    title("The table is down: what runs once is refused")
    session.standin.table.faults.down = True
    session.ask(cast.keyed("key-3"))
    title("The table is down: idempotent requests go on")
    session.ask(cast.idempotent)
    title("The table is back")
    session.standin.table.faults.down = False
    session.ask(cast.keyed("key-3"))


def _leaving(session: sessions.Session, cast: Cast) -> None:
    title = session.record.title
    title("A minion leaves and declares that it did not run the request")
    _meet_fault(session, cast.keyed("key-4"), leaving=True)
    title("An entry shuts down: not run, and the connection is closed")
    session.entries["entry-2"].stop()
    session.ask(cast.keyed("key-5"), "entry-2")


def _meet_fault(
    session: sessions.Session, ask: sessions.Ask, **switches: object
) -> None:
    """Asks while the minion that the first entry prefers does wrong."""
    service = ask.target.split("/")[1]
    minion = session.minions[f"{service}-minion-1"]
    received = minion.received
    minion.switch(**switches)
    session.ask(ask)
    assert minion.received > received, f"{service}: the fault was not met"
