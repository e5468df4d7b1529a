"""Accepting links from peers and opening links to peers."""

from collections.abc import Callable
import contextlib
import dataclasses
import logging
from typing import Any

from gevent import server
from gevent import socket

from pollenladder.logs import lines as logs
from pollenladder.wire import codec
from pollenladder.wire import exceptions
from pollenladder.wire import handshake
from pollenladder.wire import links

LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Settings:
    """Settings shared by all links of this daemon.

    Attributes:
        hello: This daemon's description of itself, sent to peers.
        secret: The secret shared by all daemons.
        messages: The codec of all supported message types.
        on_message: Called with the link and the message for each message
            received.
        on_close: Called once per link, with the link and the reason.
        limits: Limits of each link.
        handshake_timeout_s: Maximum duration of a handshake, in seconds.
        connect_timeout_s: Maximum time to open a connection, in seconds.
        max_connections: Maximum number of accepted connections open at once,
            including those still in their handshake.
        max_handshakes: Maximum number of accepted connections in their
            handshake; beyond it, the oldest one is closed.
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
    max_handshakes: int = 64


def _set_nodelay(sock: socket.socket) -> None:
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)


def connect(
    settings: Settings,
    address: str,
    port: int,
    connect_timeout_s: float | None = None,
) -> links.Link:
    """Open a connection to a peer and return the started link.

    Args:
        settings: The settings of the link.
        address: IP address of the peer.
        port: The peer's port for links.
        connect_timeout_s: Maximum time to open the connection, in seconds; None
            for the one in the settings.

    Raises:
        exceptions.ConnectTimeoutError: The peer's machine did not reply.
        exceptions.UnreachableError: No connection could be opened.
        exceptions.HandshakeError: The handshake failed; see
            `handshake.connect`.
    """
    target = (address, port)
    timeout_s = connect_timeout_s or settings.connect_timeout_s
    try:
        sock = socket.create_connection(target, timeout_s)
    except TimeoutError as error:
        raise exceptions.ConnectTimeoutError(f"{address}:{port}") from error
    except OSError as error:
        raise exceptions.UnreachableError(f"{address}:{port}") from error
    try:
        _set_nodelay(sock)
        peer = handshake.connect(
            sock, settings.hello, settings.secret, settings.handshake_timeout_s
        )
    except exceptions.HandshakeError:
        sock.close()
        raise
    link = links.Link(
        sock,
        peer,
        settings.limits,
        settings.messages,
        settings.on_message,
        settings.on_close,
    )
    link.start()
    return link


class Server:
    """Accepts connections from peers and creates a link for each."""

    def __init__(
        self,
        settings: Settings,
        address: str,
        port: int,
        on_link: Callable[[links.Link], None],
    ):
        """Create a server that listens once `start` is called.

        Args:
            settings: Settings shared by all links.
            address: The IP address to listen on.
            port: The port to listen on. With 0 the kernel chooses a free
                port, which the property `port` returns after `start`.
            on_link: Called with each new link before it starts to read.
        """
        self._settings = settings
        self._on_link = on_link
        self._open_connections = 0
        # Connections whose handshake is not complete, the oldest first.
        self._handshakes: dict[socket.socket, None] = {}
        self._server = server.StreamServer((address, port), self._serve)

    @property
    def port(self) -> int:
        """The port on which the server listens."""
        return self._server.server_port

    def start(self) -> None:
        """Start to accept connections."""
        self._server.start()

    def stop(self) -> None:
        """Stop accepting connections; established links stay open."""
        self._server.close()

    def _serve(self, sock: socket.socket, source: tuple[str, int]) -> None:
        """Serve one connection until it ends.

        `StreamServer` closes the socket when this method returns.
        """
        if self._open_connections >= self._settings.max_connections:
            LOGGER.warning(
                "rejecting connection from %s: max_connections reached",
                source[0],
            )
            return
        self._open_connections += 1
        try:
            self._run_link(sock)
        except (OSError, exceptions.HandshakeError) as error:
            LOGGER.warning("handshake with %s failed: %s", source[0], error)
        except Exception:
            logs.log_failure(LOGGER, "link_accept", source[0])
        finally:
            self._open_connections -= 1

    def _run_link(self, sock: socket.socket) -> None:
        settings = self._settings
        _set_nodelay(sock)
        peer = self._accept_handshake(sock)
        link = links.Link(
            sock,
            peer,
            settings.limits,
            settings.messages,
            settings.on_message,
            settings.on_close,
        )
        try:
            self._on_link(link)
            link.start()
        except Exception:
            link.close(links.CloseReason.FAILED)
            raise
        link.join()

    def _accept_handshake(self, sock: socket.socket) -> handshake.Hello:
        """Return the hello of an authenticated peer; see `handshake.accept`.

        A peer completes its handshake within milliseconds, so the oldest one that is
        not complete gives way.
        """
        settings = self._settings
        if len(self._handshakes) >= settings.max_handshakes:
            oldest = next(iter(self._handshakes))
            del self._handshakes[oldest]
            with contextlib.suppress(OSError):
                oldest.shutdown(socket.SHUT_RDWR)
        self._handshakes[sock] = None
        try:
            return handshake.accept(
                sock,
                settings.hello,
                settings.secret,
                settings.handshake_timeout_s,
            )
        finally:
            self._handshakes.pop(sock, None)
