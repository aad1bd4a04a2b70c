"""The canonical bytes of a configuration, and the digest that names them.

Equal configurations have equal bytes: every field is written, keys are
sorted, and there is no white space.
"""

import functools
import hashlib
import json

import cattrs
from cattrs.preconf import json as json_preconf

from vanillaswitch.state import config as config_lib


@functools.cache
def _converter() -> cattrs.Converter:
    return json_preconf.make_converter(forbid_extra_keys=False)


def dump(config: config_lib.Config) -> bytes:
    """Returns the canonical JSON of a configuration in UTF-8."""
    text = json.dumps(
        _converter().unstructure(config),
        ensure_ascii=False,
        allow_nan=False,
        sort_keys=True,
        separators=(",", ":"),
    )
    return text.encode()


def load(body: bytes) -> config_lib.Config | None:
    """Returns the configuration of canonical bytes.

    It was checked before it was accepted, so it is not checked again. Unknown
    fields are passed over: a newer version of the program may have written
    them during a rolling upgrade.

    Returns:
        None when this version of the program can't read it.
    """
    try:
        return _converter().structure(json.loads(body), config_lib.Config)
    except (cattrs.BaseValidationError, ValueError, AttributeError, TypeError):
        return None


def digest(body: bytes) -> str:
    """Returns the SHA-256 of a body in hexadecimal digits."""
    return hashlib.sha256(body).hexdigest()
