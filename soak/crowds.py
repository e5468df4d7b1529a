"""Clients that send requests without end."""

import contextlib

import gevent
from gevent import socket

from standins import site as sites

SIZE = 20
CONNECT_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 0.5
RETRY_S = 0.5
PART = b"X-Field: " + b"v" * 16_000 + b"\r\n"


def send_endless_heads(port: int) -> None:
    """Send heads to a port from many clients, until the greenlet is killed."""
    clients = [gevent.spawn(_send_again_and_again, port) for _ in range(SIZE)]
    try:
        gevent.joinall(clients)
    finally:
        gevent.killall(clients)


def _send_again_and_again(port: int) -> None:
    """Send heads without end, and connect again whenever a connection ends."""
    address = (sites.HOST, port)
    while True:
        with contextlib.suppress(OSError):
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            with sock:
                sock.settimeout(SEND_TIMEOUT_S)
                sock.sendall(b"POST /lookups/1 HTTP/1.1\r\n")
                while True:
                    sock.sendall(PART)
        gevent.sleep(RETRY_S)
