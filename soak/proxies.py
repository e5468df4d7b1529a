"""Loopback TCP proxy that delays, drops or resets connections."""

import dataclasses
import enum
import struct

import gevent
from gevent import server
from gevent import socket

HOST = "127.0.0.1"
RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Value of SO_LINGER: enabled with a timeout of 0 s. Closing a socket then sends a
# reset.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class Mode(enum.Enum):
    """What the proxy does with data.

    Attributes:
        PASS: Forwards the data.
        DELAY: Forwards the data after `Impairment.delay_s`.
        SILENT: Drops the data in both directions.
        ONE_WAY: Drops the data to the target and forwards its answers.
    """

    PASS = "pass"
    DELAY = "delay"
    SILENT = "silent"
    ONE_WAY = "one_way"


@dataclasses.dataclass
class Impairment:
    """How the proxy impairs its connections.

    Attributes:
        mode: What the proxy does with data.
        delay_s: Seconds by which each received chunk is delayed, in each
            direction.
    """

    mode: Mode = Mode.PASS
    delay_s: float = 0.0


class Proxy:
    """A proxy for connections to one target.

    Attributes:
        impairment: The current impairment.
    """

    def __init__(self, target_port: int):
        self.impairment = Impairment()
        self._target = (HOST, target_port)
        self._sockets: set[socket.socket] = set()
        self._listen(0)

    @property
    def port(self) -> int:
        """The port on which the proxy listens."""
        return self._server.server_port

    def reset_all(self) -> None:
        """Reset all open connections."""
        while self._sockets:
            reset(self._sockets.pop())

    def crash(self, for_s: float) -> None:
        """Close all connections in order, and refuse new ones for some time."""
        if self._server.started:
            self._refuse(for_s)
            while self._sockets:
                self._sockets.pop().close()

    def partition(self, for_s: float) -> None:
        """Reset all connections, and refuse new ones for some time."""
        if self._server.started:
            self._refuse(for_s)
            self.reset_all()

    def _refuse(self, for_s: float) -> None:
        port = self.port
        self._server.stop(timeout=0)
        gevent.spawn_later(for_s, self._listen, port)

    def _listen(self, port: int) -> None:
        self._server = server.StreamServer((HOST, port), self._serve)
        self._server.start()

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self.reset_all()

    def _serve(self, client: socket.socket, address: tuple) -> None:
        try:
            upstream = socket.create_connection(self._target, CONNECT_TIMEOUT_S)
        except OSError:
            # The target is down. `StreamServer` closes the client's connection
            # when this method returns.
            return
        upstream.settimeout(None)
        pair = {client, upstream}
        self._sockets |= pair
        to_target = gevent.spawn(self._copy, client, upstream, True)
        from_target = gevent.spawn(self._copy, upstream, client, False)
        gevent.joinall([to_target, from_target], count=1)
        self._sockets -= pair
        client.close()
        upstream.close()
        gevent.killall([to_target, from_target])

    def _copy(
        self,
        source: socket.socket,
        destination: socket.socket,
        is_to_target: bool,
    ) -> None:
        try:
            while data := source.recv(RECEIVE_BYTES):
                if self.impairment.delay_s:
                    gevent.sleep(self.impairment.delay_s)
                if not self._drops_data(is_to_target):
                    destination.sendall(data)
        except OSError:
            # One side has closed; `_serve` closes the other one.
            return

    def _drops_data(self, is_to_target: bool) -> bool:
        mode = self.impairment.mode
        return mode is Mode.SILENT or (mode is Mode.ONE_WAY and is_to_target)


def reset(sock: socket.socket) -> None:
    """Close a socket with a reset, unless it is closed."""
    if not sock.closed:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        sock.close()
