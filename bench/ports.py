"""Free TCP ports on loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the ports that the system gives to outgoing connections: one of those
# may be taken between the look and the use.
RANGE = range(20_000, 32_000)

# A port that was given may not be listened on yet when the next one is asked for.
_given: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return so many ports that nobody listens on, none of them given before.

    Raises:
        OSError: There are not so many.
    """
    source = random.SystemRandom()
    found: list[int] = []
    for port in source.sample(RANGE, len(RANGE)):
        if len(found) == count:
            break
        if port not in _given and is_free(port):
            found.append(port)
    if len(found) < count:
        raise OSError(f"{len(found)} free ports in place of {count}")
    _given.update(found)
    return found


def is_free(port: int) -> bool:
    """Return whether a port can be listened on."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
