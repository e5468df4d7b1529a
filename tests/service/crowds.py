"""Crowds of clients that nobody controls, at the ports of one daemon."""

from collections.abc import Callable
from collections.abc import Iterator
import contextlib
import pathlib

import gevent
from gevent import socket

from standins import site as sites

CONNECT_TIMEOUT_S = 2.0
# A send that makes no progress for this long ends, and the client waits.
SEND_TIMEOUT_S = 0.5
SAMPLE_INTERVAL_S = 0.02
MB = 1024 * 1024
# States of connections in /proc/net/tcp.
LISTENING = "0A"

Send = Callable[[socket.socket], None]


class Crowd:
    """Clients that send something, and then keep their connections open.

    Attributes:
        sockets: The connections.
    """

    def __init__(self, port: int, size: int, send: Send):
        """Connect all clients and let them send.

        Args:
            port: The port to connect to.
            size: The number of clients.
            send: Sends on a connection until an error ends it.
        """
        self.sockets: list[socket.socket] = []
        self._port = port
        self._send = send
        self._greenlets = [gevent.spawn(self._run) for _ in range(size)]

    def wait(self, timeout_s: float) -> None:
        """Wait until all clients have sent what they can, or for a time."""
        gevent.joinall(self._greenlets, timeout_s)

    def close(self) -> None:
        """Close all connections."""
        gevent.killall(self._greenlets)
        for sock in self.sockets:
            sock.close()

    def _run(self) -> None:
        with contextlib.suppress(OSError):
            address = (sites.HOST, self._port)
            sock = socket.create_connection(address, CONNECT_TIMEOUT_S)
            self.sockets.append(sock)
            sock.settimeout(SEND_TIMEOUT_S)
            self._send(sock)


class Usage:
    """The peak of what a process and its connections hold.

    Attributes:
        memory_mb: The peak of the process's memory, and of the bytes that it has
            not read from its port, in MB.
        descriptors: The peak of its open descriptors.
    """

    def __init__(self, pid: int, port: int):
        self.memory_mb = 0.0
        self.descriptors = 0
        self._process = pathlib.Path("/proc") / str(pid)
        self._port = port
        self._greenlet = gevent.spawn(self._run)

    def stop(self) -> None:
        """Measure a last time, and no more."""
        self._greenlet.kill()
        self._measure()

    def _run(self) -> None:
        while True:
            self._measure()
            gevent.sleep(SAMPLE_INTERVAL_S)

    def _measure(self) -> None:
        with contextlib.suppress(FileNotFoundError):
            held_mb = self._read_memory_mb() + self._count_unread() / MB
            self.memory_mb = max(self.memory_mb, held_mb)
            descriptors = len(list((self._process / "fd").iterdir()))
            self.descriptors = max(self.descriptors, descriptors)

    def _read_memory_mb(self) -> float:
        for line in (self._process / "status").read_text().splitlines():
            if line.startswith("VmHWM:"):
                return int(line.split()[1]) / 1024
        return 0.0

    def _count_unread(self) -> int:
        """Return the number of bytes that were received and not read."""
        found = 0
        for fields in self._iterate_connections():
            _, port = fields[1].split(":")
            if int(port, 16) == self._port and fields[3] != LISTENING:
                found += int(fields[4].split(":")[1], 16)
        return found

    def _iterate_connections(self) -> Iterator[list[str]]:
        lines = pathlib.Path("/proc/net/tcp").read_text().splitlines()
        for line in lines[1:]:
            yield line.split()
