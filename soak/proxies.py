"""A loopback proxy that delays, resets, silences or cuts connections one way."""

import dataclasses
import enum
import struct

import gevent
from gevent import server
from gevent import socket

HOST = "127.0.0.1"
RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Closing with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does to bytes and to new connections."""

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


@dataclasses.dataclass
class Trouble:
    """How a proxy misbehaves.

    Attributes:
        mode: What it does.
        delay_s: Added to each piece of data in each direction.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0


class Proxy:
    """Connections to one target.

    Attributes:
        trouble: How it misbehaves now.
    """

    def __init__(self, target_port: int):
        self.trouble = Trouble()
        self._target = (HOST, target_port)
        self._open: set[socket.socket] = set()
        self._server = server.StreamServer((HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """Where it listens."""
        return self._server.server_port

    def reset_all(self) -> None:
        """Reset all connections of now."""
        for sock in list(self._open):
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()

    def close(self) -> None:
        """Listen no more, and end all connections."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _serve(self, near: socket.socket, address: tuple) -> None:
        try:
            far = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            # The target is down, which is what the caller is to see.
            return
        far.settimeout(None)
        pair = {near, far}
        self._open |= pair
        there = gevent.spawn(self._copy, near, far, True)
        back = gevent.spawn(self._copy, far, near, False)
        gevent.joinall([there, back], count=1)
        self._open -= pair
        near.close()
        far.close()
        gevent.killall([there, back])

    def _copy(
        self, source: socket.socket, sink: socket.socket, is_there: bool
    ) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.trouble.delay_s:
                    gevent.sleep(self.trouble.delay_s)
                if not self._drops(is_there):
                    sink.sendall(data)
        except OSError:
            # Either end has gone; the other one is closed by the caller.
            return

    def _drops(self, is_there: bool) -> bool:
        mode = self.trouble.mode
        return mode is Mode.SILENT or (mode is Mode.ONE_WAY and is_there)
