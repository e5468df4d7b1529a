"""Free TCP ports on loopback.

Each process claims whole blocks of ports, so that several processes on one machine
never choose the same port. A block belongs to the process that holds a socket bound to
its first port.
"""

from collections.abc import Iterator
import random
import socket

HOST = "127.0.0.1"
# Below the ephemeral ports: the system may use one of those for an outgoing
# connection between the check and the use.
RANGE = range(20_000, 32_000)
BLOCK_SIZE = 20

# The sockets that claim blocks, until the process ends.
_claims: list[socket.socket] = []
# Ports of claimed blocks that have not been returned yet.
_unused: list[int] = []


def find_free_ports(count: int) -> list[int]:
    """Return a number of free ports, none of them returned before.

    Raises:
        OSError: There are too few free ports.
    """
    found: list[int] = []
    blocks = _iterate_blocks()
    while len(found) < count:
        if not _unused:
            _claim_next(blocks)
        port = _unused.pop()
        if is_free(port):
            found.append(port)
    return found


def _iterate_blocks() -> Iterator[int]:
    """Yield the first port of each block, in random order."""
    first_ports = RANGE[::BLOCK_SIZE]
    yield from random.SystemRandom().sample(first_ports, len(first_ports))


def _claim_next(blocks: Iterator[int]) -> None:
    """Claim the next block that no process has claimed.

    Raises:
        OSError: All blocks are claimed.
    """
    for first in blocks:
        claim = socket.socket()
        try:
            claim.bind((HOST, first))
        except OSError:
            claim.close()
            continue
        _claims.append(claim)
        _unused.extend(range(first + 1, first + BLOCK_SIZE))
        return
    raise OSError("too few free ports")


def is_free(port: int) -> bool:
    """Return whether a process could listen on a port."""
    with socket.socket() as probe:
        probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            probe.bind((HOST, port))
        except OSError:
            return False
    return True
