"""Relays of the links between daemons, which can be cut silently."""

from collections.abc import Iterable
import dataclasses
import json
import time

import gevent
from gevent import server
from gevent import socket

from pollenladder.platform import rows

HOST = "127.0.0.1"
# Where the relays listen, on the ports of the daemons.
RELAY_HOST = "127.0.0.2"
RECEIVE_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Type byte of a short string in msgpack, without its length.
SHORT_STRING = 0xA0


@dataclasses.dataclass(eq=False)
class Link:
    """One connection between two daemons.

    Attributes:
        connector: The daemon that has opened it; "" until it has told its id.
        acceptor: The other daemon.
        sockets: The sockets towards both.
        has_dropped: Whether data was dropped, so that the stream is corrupt.
    """

    connector: str
    acceptor: str
    sockets: tuple[socket.socket, socket.socket]
    has_dropped: bool = False

    def close(self) -> None:
        """Shut both connections down."""
        for sock in self.sockets:
            try:
                sock.shutdown(socket.SHUT_RDWR)
            except OSError:
                # The other side has closed it.
                continue


class Links:
    """Relays to all daemons of a site.

    Attributes:
        cut: Pairs of daemons; the links between both drop all data.
        last_sent_s: When the last data from one daemon to another was passed on,
            monotonic, in seconds.
    """

    def __init__(self, daemon_ids: Iterable[str]):
        self.cut: set[frozenset[str]] = set()
        self.last_sent_s: dict[tuple[str, str], float] = {}
        self._daemon_ids = tuple(daemon_ids)
        self._servers: dict[str, server.StreamServer] = {}
        self._open: set[Link] = set()

    def redirect(self, table: str, key: str, value: bytes) -> bytes:
        """Replace the address in the row of a daemon by that of its relay.

        Daemons read the addresses of each other from the store.
        """
        if table != rows.DAEMONS_TABLE or key not in self._daemon_ids:
            return value
        row = json.loads(value)
        if key not in self._servers:
            self._servers[key] = self._serve(key, row["port"])
        return json.dumps(row | {"address": RELAY_HOST}).encode()

    def rejoin_all(self) -> None:
        """End all cuts, and close the links that have dropped data."""
        self.cut.clear()
        for link in list(self._open):
            if link.has_dropped:
                link.close()

    def close(self) -> None:
        """Stop listening and close all links."""
        for relay in self._servers.values():
            relay.stop(timeout=0)
        for link in list(self._open):
            link.close()

    def _serve(self, acceptor: str, port: int) -> server.StreamServer:
        def handle(near: socket.socket, address: object) -> None:
            del address
            try:
                far = socket.create_connection((HOST, port), CONNECT_TIMEOUT_S)
            except OSError:
                # The daemon is down; the server closes the near connection.
                return
            far.settimeout(None)
            self._relay(Link("", acceptor, (near, far)))

        relay = server.StreamServer((RELAY_HOST, port), handle)
        relay.start()
        return relay

    def _relay(self, link: Link) -> None:
        near, far = link.sockets
        self._open.add(link)
        copies = [
            gevent.spawn(self._copy, link, near, far, True),
            gevent.spawn(self._copy, link, far, near, False),
        ]
        gevent.joinall(copies, count=1)
        link.close()
        gevent.joinall(copies)
        self._open.discard(link)
        near.close()
        far.close()

    def _copy(
        self,
        link: Link,
        source: socket.socket,
        target: socket.socket,
        is_to_acceptor: bool,
    ) -> None:
        source.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            while chunk := source.recv(RECEIVE_BYTES):
                if is_to_acceptor and not link.connector:
                    link.connector = self._find_sender(chunk)
                if frozenset((link.connector, link.acceptor)) in self.cut:
                    link.has_dropped = True
                    continue
                target.sendall(chunk)
                ends = (link.connector, link.acceptor)
                self.last_sent_s[ends if is_to_acceptor else ends[::-1]] = (
                    time.monotonic()
                )
        except OSError:
            # One side has closed; `_relay` closes the other one.
            return

    def _find_sender(self, handshake: bytes) -> str:
        """Return the id of the daemon that sent a part of a handshake, or ""."""
        for daemon_id in self._daemon_ids:
            packed = bytes([SHORT_STRING + len(daemon_id)]) + daemon_id.encode()
            if packed in handshake:
                return daemon_id
        return ""
