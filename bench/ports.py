"""Free TCP ports on loopback."""

import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports: the system may use one of those for an outgoing
# connection between the check and the use.
RANGE = range(20_000, 32_000)

# Ports already returned. A later call must not return them again, even if no
# process listens on them yet.
_given: set[int] = set()


def find_free_ports(count: int) -> list[int]:
    """Return a number of free ports, none of them returned before.

    Raises:
        OSError: There are too few free ports.
    """
    source = random.SystemRandom()
    found: list[int] = []
    for port in source.sample(RANGE, len(RANGE)):
        if len(found) == count:
            break
        if port not in _given and is_free(port):
            found.append(port)
    if len(found) < count:
        raise OSError(f"{len(found)} free ports found, {count} needed")
    _given.update(found)
    return found


def is_free(port: int) -> bool:
    """Return whether a process could listen on a port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
