"""Settings of one process: who it is, where it listens, whom it asks."""

import dataclasses
import json
import pathlib

import cattrs

from vanillaswitch import errors


@dataclasses.dataclass(frozen=True)
class Settings:
    """One process's settings; every address is "ip:port".

    Attributes:
        process: unique name of the process.
        data_centre: where it runs, a name in the configuration.
        platform: address of the platform's HTTP interface.
        peer_listen: where it listens for its peers.
        listen: callers' port of an entry, operators' port of a controller
            (histograms, counters, readiness).
        seeds: peer addresses to begin with; the rest is learnt.
        lease_s: term of a controller's session lease.
        stop_grace_s: longest time that a planned stop waits for requests.
    """

    process: str
    data_centre: str
    platform: str
    peer_listen: str
    listen: str
    seeds: tuple[str, ...] = ()
    lease_s: float = 3.0
    stop_grace_s: float = 30.0


def load(path: pathlib.Path) -> Settings:
    """Reads and checks a settings file.

    Raises:
        errors.SettingsError: the file can't be read, or a field is wrong.
    """
    converter = cattrs.Converter(forbid_extra_keys=True)
    try:
        mapping = json.loads(path.read_text())
        return converter.structure(mapping, Settings)
    except (OSError, ValueError) as error:
        raise errors.SettingsError(f"{path}: {error}") from error
    except cattrs.BaseValidationError as error:
        told = "; ".join(cattrs.transform_error(error))
        raise errors.SettingsError(f"{path}: {told}") from error
