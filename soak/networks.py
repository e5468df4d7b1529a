"""Simulated network between the hosts of several data centres.

Daemons open all their connections through it (see `soak.routing`). A cut stalls the
data of the connections that cross it, as the loss of all packets does: what was sent
arrives when the cut ends, and until then no side notices that the other one has
closed the connection.
"""

from collections.abc import Callable
import dataclasses
import enum

import gevent
from gevent import event
from gevent import server
from gevent import socket

from soak import proxies

CONNECT_TIMEOUT_S = 1.0
MAX_REQUEST_BYTES = 200
# Where the store is, apart from all data centres.
STORE_PLACE = "store"
# Sent to the connecting host once its connection has reached the target.
CONNECTED = b"+"


class Mode(enum.Enum):
    """What a cut does to connections between a data centre and the others.

    Attributes:
        SILENT: Data stalls in both directions.
        OUTGOING: Data from the data centre stalls.
        INCOMING: Data to the data centre stalls.
        RESET: Connections are reset, and new ones are refused.
    """

    SILENT = "silent"
    OUTGOING = "outgoing"
    INCOMING = "incoming"
    RESET = "reset"


@dataclasses.dataclass(frozen=True)
class Host:
    """A process that takes part in the network.

    Attributes:
        name: Its name.
        data_centre: Its data centre, or `STORE_PLACE`.
    """

    name: str
    data_centre: str


@dataclasses.dataclass(frozen=True, eq=False)
class Cut:
    """A cut of one data centre from all others.

    Attributes:
        data_centre: The data centre.
        mode: What happens to the connections that cross the cut.
        spares_store: Whether the data centre still reaches the store.
    """

    data_centre: str
    mode: Mode
    spares_store: bool = True

    def separates(self, first: Host, second: Host) -> bool:
        """Return whether the cut is between two hosts."""
        ends = {first.data_centre, second.data_centre}
        if self.spares_store and STORE_PLACE in ends:
            return False
        return len(ends) == 2 and self.data_centre in ends

    def stalls(self, source: Host, destination: Host) -> bool:
        """Return whether data from one host to another stalls."""
        if not self.separates(source, destination):
            return False
        if self.mode is Mode.OUTGOING:
            return source.data_centre == self.data_centre
        if self.mode is Mode.INCOMING:
            return destination.data_centre == self.data_centre
        return True


@dataclasses.dataclass(frozen=True, eq=False)
class _Connection:
    """An open connection: both hosts and the sockets towards them."""

    source: Host
    target: Host
    source_socket: socket.socket
    target_socket: socket.socket

    def reset(self) -> None:
        for sock in (self.source_socket, self.target_socket):
            proxies.reset(sock)


class Network:
    """Forwards connections between hosts, unless a cut separates them."""

    def __init__(self):
        self._hosts_by_port: dict[int, Host] = {}
        self._hosts_by_name: dict[str, Host] = {}
        self._cuts: set[Cut] = set()
        self._cuts_changed = event.Event()
        self._connections: set[_Connection] = set()
        self._server = server.StreamServer((proxies.HOST, 0), self._serve)
        self._server.start()

    @property
    def port(self) -> int:
        """The port to which daemons open their connections."""
        return self._server.server_port

    def add_host(self, host: Host, port: int) -> None:
        """Add a host that listens on a port."""
        self._hosts_by_port[port] = host
        self._hosts_by_name[host.name] = host

    def begin_cut(self, cut: Cut) -> None:
        """Begin a cut; several may be active."""
        self._cuts.add(cut)
        if cut.mode is Mode.RESET:
            self._reset(cut.separates)

    def end_cut(self, cut: Cut) -> None:
        """End a cut: stalled data arrives."""
        self._cuts.discard(cut)
        self._cuts_changed.set()
        self._cuts_changed.clear()

    def reset_pair(self, first: str, second: str) -> None:
        """Reset the connections between two hosts."""
        self._reset(lambda a, b: {a.name, b.name} == {first, second})

    def close(self) -> None:
        """Stop listening and reset all connections."""
        self._server.stop(timeout=0)
        self._reset(lambda first, second: True)

    def _reset(self, is_concerned: Callable[[Host, Host], bool]) -> None:
        for found in list(self._connections):
            if is_concerned(found.source, found.target):
                found.reset()

    def _serve(self, source_socket: socket.socket, address: tuple) -> None:
        try:
            found = self._connect(source_socket)
        except OSError:
            # The target is down, or the source has given up. `StreamServer` closes
            # the source's connection when this method returns.
            return
        self._forward(found)

    def _connect(self, source_socket: socket.socket) -> _Connection:
        name, port = _read_request(source_socket)
        source = self._hosts_by_name[name]
        target = self._hosts_by_port[port]
        if self._refuses(source, target):
            raise ConnectionRefusedError("refused by a cut")
        self._wait_until_passable(source, target)
        self._wait_until_passable(target, source)
        target_socket = socket.create_connection(
            (proxies.HOST, port), CONNECT_TIMEOUT_S
        )
        target_socket.settimeout(None)
        source_socket.sendall(CONNECTED)
        return _Connection(source, target, source_socket, target_socket)

    def _refuses(self, source: Host, target: Host) -> bool:
        return any(
            cut.mode is Mode.RESET and cut.separates(source, target)
            for cut in self._cuts
        )

    def _wait_until_passable(self, source: Host, destination: Host) -> None:
        while any(cut.stalls(source, destination) for cut in self._cuts):
            self._cuts_changed.wait()

    def _forward(self, found: _Connection) -> None:
        self._connections.add(found)
        sockets = (found.source_socket, found.target_socket)
        hosts = (found.source, found.target)
        directions = [
            gevent.spawn(self._copy, sockets, hosts),
            gevent.spawn(self._copy, sockets[::-1], hosts[::-1]),
        ]
        gevent.joinall(directions, count=1)
        self._connections.discard(found)
        for sock in sockets:
            sock.close()
        gevent.killall(directions)

    def _copy(
        self,
        sockets: tuple[socket.socket, socket.socket],
        hosts: tuple[Host, Host],
    ) -> None:
        """Copy data from one side to the other one until a side has closed.

        Returns only when the side that has not closed may learn of it.
        """
        source, destination = sockets
        while data := _receive(source):
            self._wait_until_passable(*hosts)
            try:
                destination.sendall(data)
            except OSError:
                self._wait_until_passable(*hosts[::-1])
                return
        self._wait_until_passable(*hosts)


def _receive(sock: socket.socket) -> bytes:
    """Return received data; none if the connection was closed or reset."""
    try:
        return sock.recv(proxies.RECEIVE_BYTES)
    except OSError:
        return b""


def _read_request(sock: socket.socket) -> tuple[str, int]:
    """Read the name of the connecting host and the port of its target."""
    line = b""
    while not line.endswith(b"\n") and len(line) < MAX_REQUEST_BYTES:
        data = sock.recv(1)
        if not data:
            raise ConnectionError("closed before the target was named")
        line += data
    name, port = line.decode().split()
    return name, int(port)
