"""Hands one message to several peers, from a command that is none of them."""

from collections.abc import Iterable

import gevent

from vanillaswitch.protocol import codec
from vanillaswitch.protocol import peers
from vanillaswitch.transport import sockets

TIMEOUT_S = 1.0


def send(addresses: Iterable[str], message: peers.Message) -> int:
    """Sends a message to each address at once, and waits for no reply.

    Args:
        addresses: "ip:port" of peer ports; dead ones cost ``TIMEOUT_S`` in
            all.
        message: has to be harmless when it comes twice or not at all.

    Returns:
        How many took all its bytes.
    """
    encoded = codec.Encoder().encode(message)
    if isinstance(encoded, codec.TooLarge):
        return 0
    tasks = [gevent.spawn(_send, address, encoded) for address in addresses]
    gevent.joinall(tasks, timeout=TIMEOUT_S)
    gevent.killall(tasks)
    return sum(task.value is True for task in tasks)


def _send(address: str, data: bytes) -> bool:
    try:
        sock = sockets.connect(address, TIMEOUT_S)
    except (OSError, ValueError, OverflowError):
        return False
    try:
        sock.sendall(data)
        return True
    except OSError:
        return False
    finally:
        sock.close()
