"""Names of the duties that a configuration implies."""

from vanillaswitch.state import config as config_lib

WAVE = "wave"
POOL_GROUP = "pool-group"
PLACEMENT = "placement"
CLAIM_EXPIRY = "claim-expiry"
REPAIR = "repair"


def of_config(config: config_lib.Config) -> tuple[str, ...]:
    """Returns the name of each duty of a configuration, sorted."""
    names = [f"{WAVE}/{name}" for name in config.waves]
    names += [f"{POOL_GROUP}/{name}" for name in config.services]
    names += [f"{PLACEMENT}/{name}" for name in config.data_centres]
    names += [CLAIM_EXPIRY, REPAIR]
    return tuple(sorted(names))


def kind_of(name: str) -> str:
    """Returns the kind of a duty, under which its step is registered."""
    return name.partition("/")[0]


def subject_of(name: str) -> str:
    """Returns the wave, service or data centre that a duty is for.

    It is empty for kinds with only one duty.
    """
    return name.partition("/")[2]
