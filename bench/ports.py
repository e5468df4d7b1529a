"""Free TCP ports on loopback."""

import socket

HOST = "127.0.0.1"


def find_free_ports(count: int) -> list[int]:
    """Return so many different ports that nobody listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind((HOST, 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
