"""Decides whether a call of a client may be served, by its API key.

Load pattern: operators take keys away while some machines can't reach the
store, and a machine may be suspended between two calls. A key that was taken
away must stop working on every machine within a fixed time. So a machine may
accept a key only while its copy of the configuration is known to be recent. The
age counts from when the read that confirmed the copy was sent: the store's
answer contains every change that was acknowledged before that moment.
"""

from collections.abc import Sequence
import dataclasses
import enum

from vanillaswitch.protocol import fleet

MAX_CONFIG_AGE_SHARE = 0.7
"""Oldest configuration that may accept keys, as a share of the time after which
a removed key must not work. The rest covers answers of the store that lag
behind by a second while it makes changes, and clocks that differ in speed."""


class Denial(enum.StrEnum):
    """Why a call is not served.

    Attributes:
        NO_KEY: the call has no key.
        SEVERAL_KEYS: the call has more than one key.
        UNKNOWN_KEY: no account has the key.
        UNCONFIRMED: this machine can't tell whether the key is still valid.
    """

    NO_KEY = "no-key"
    SEVERAL_KEYS = "several-keys"
    UNKNOWN_KEY = "unknown-key"
    UNCONFIRMED = "keys-unconfirmed"


@dataclasses.dataclass(frozen=True)
class Caller:
    """The account in whose name a call is served.

    Attributes:
        account: its name; empty on a public queue.
    """

    account: str


def authenticate(
    config: fleet.FleetConfig,
    queue: fleet.Queue,
    keys: Sequence[str],
    config_age_s: float,
    revocation_s: float,
) -> Caller | Denial:
    """Decides in whose name a call to a queue is served.

    Args:
        config: the configuration in force on this machine.
        queue: the queue that is called.
        keys: the values of all key fields of the call, as Latin-1 text.
        config_age_s: seconds for which a newer configuration may exist.
        revocation_s: seconds after which a removed key must not work.
    """
    if queue.is_public:
        return Caller("")
    if len(keys) > 1:
        return Denial.SEVERAL_KEYS
    key = keys[0].strip() if keys else ""
    if not key:
        return Denial.NO_KEY
    if config_age_s > MAX_CONFIG_AGE_SHARE * revocation_s:
        return Denial.UNCONFIRMED
    account = config.accounts.find_by_key(key.encode("latin-1", "replace"))
    return Caller(account.name) if account else Denial.UNKNOWN_KEY
