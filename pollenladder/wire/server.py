"""Links accepted from peers, and links made to them."""

from collections.abc import Callable
import dataclasses
import logging
from typing import Any

from gevent import server
from gevent import socket

from pollenladder.wire import codec
from pollenladder.wire import exceptions
from pollenladder.wire import handshake
from pollenladder.wire import links

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Settings:
    """What all links of this daemon share.

    Attributes:
        hello: What it says of itself.
        secret: Shared by all daemons.
        messages: The messages that it knows.
        on_message: Called with the link and each message.
        on_close: Called once a link, with the reason.
        limits: Bounds of each link.
        handshake_timeout_s: Longest handshake.
        connect_timeout_s: Longest wait for a connection.
        max_connections: Connections accepted at a time, greeted or not.
    """

    hello: handshake.Hello
    secret: bytes
    messages: codec.Codec
    on_message: Callable[[links.Link, Any], None]
    on_close: Callable[[links.Link, links.CloseReason], None]
    limits: links.Limits = links.Limits()
    handshake_timeout_s: float = 2.0
    connect_timeout_s: float = 2.0
    max_connections: int = 512


def _set_nodelay(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def connect(own: Settings, address: str, port: int) -> links.Link:
    """Connect to a peer and return the link, started.

    Raises:
        exceptions.UnreachableError: No connection was made.
        exceptions.HandshakeError: The peer did not authenticate itself.
    """
    target = (address, port)
    try:
        sock = socket.create_connection(target, own.connect_timeout_s)
    except OSError as error:
        raise exceptions.UnreachableError(f"{address}:{port}") from error
    try:
        _set_nodelay(sock)
        peer = handshake.connect(
            sock, own.hello, own.secret, own.handshake_timeout_s
        )
    except exceptions.HandshakeError:
        sock.close()
        raise
    link = links.Link(
        sock, peer, own.limits, own.messages, own.on_message, own.on_close
    )
    link.start()
    return link


class Server:
    """The listening socket and how many connections it serves."""

    def __init__(
        self,
        own: Settings,
        address: str,
        port: int,
        on_link: Callable[[links.Link], None],
    ):
        """Make a server; it listens after `start`.

        Args:
            own: What all links share.
            address: An IP number.
            port: 0 takes a free one; see `port` after `start`.
            on_link: Called with each link before it is read.
        """
        self._own = own
        self._on_link = on_link
        self._open = 0
        self._server = server.StreamServer((address, port), self._serve)

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self._server.server_port

    def start(self) -> None:
        """Begin to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Accept no more connections; links already made go on."""
        self._server.close()

    def _serve(self, sock: socket.socket, source: tuple[str, int]) -> None:
        """Serve one connection; its socket is closed on return."""
        if self._open >= self._own.max_connections:
            LOGGER.warning("too many connections; closed %s", source[0])
            return
        self._open += 1
        try:
            self._run_link(sock)
        except (OSError, exceptions.HandshakeError) as error:
            LOGGER.warning("handshake with %s: %s", source[0], error)
        finally:
            self._open -= 1

    def _run_link(self, sock: socket.socket) -> None:
        own = self._own
        _set_nodelay(sock)
        peer = handshake.accept(
            sock, own.hello, own.secret, own.handshake_timeout_s
        )
        link = links.Link(
            sock, peer, own.limits, own.messages, own.on_message, own.on_close
        )
        self._on_link(link)
        link.start()
        link.join()
