"""The HTTP server: its listening socket, the limits, and the graceful shutdown.

TCP_NODELAY is set on each accepted socket. gevent writes the header and the
body of a response separately, so Nagle's algorithm together with delayed ACKs
would delay each response by about 40 ms.
"""

from collections.abc import Callable
from collections.abc import Iterable
import logging
import time
from typing import Any
from typing import Protocol

import gevent
from gevent import pywsgi
from gevent import socket

from pollenladder.gateway import exceptions
from pollenladder.gateway import handlers
from pollenladder.gateway import held_bytes
from pollenladder.gateway import limits
from pollenladder.gateway import request_readers

LOGGER = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
# Connections over the limit get a 503 response; while this many of them are
# being rejected, further ones are closed without a response.
MAX_CONCURRENT_REJECTIONS = 32
DRAIN_POLL_INTERVAL_S = 0.02
# Time for which idle connections may still send a request during a drain.
DRAIN_IDLE_GRACE_S = 0.5


Application = Callable[[dict[str, Any], Callable], Iterable[bytes]]


class Gauge(Protocol):
    """A metric whose value is set."""

    def set(self, value: float) -> None:
        """Set the value."""


class Counter(Protocol):
    """A metric that only grows."""

    def inc(self) -> None:
        """Add 1."""


class Meters(Protocol):
    """The metrics that a server updates.

    Attributes:
        http_connections: Number of open connections.
        connections_refused: Number of connections rejected over the limit.
    """

    http_connections: Gauge
    connections_refused: Counter


class _Listener(pywsgi.WSGIServer):
    """The listening socket and its connections.

    Attributes:
        bounds: The limits.
        held_bytes: What is held for unanswered requests.
        draining: Whether no new connections are accepted.
        open_connections: Number of open connections, without rejected ones.
        handlers: Handlers of the open connections.
        idle_handlers: Handlers of connections that wait for a request.
    """

    handler_class = handlers.Handler

    def __init__(
        self,
        address: tuple[str, int],
        wsgi: Application,
        bounds: limits.Limits,
        meters: Meters | None,
    ):
        super().__init__(
            address,
            wsgi,
            backlog=LISTEN_BACKLOG,
            log=None,
            error_log=LOGGER,
            environ={"SERVER_NAME": address[0]},
        )
        self.bounds = bounds
        self.held_bytes = held_bytes.HeldBytes(bounds)
        self.draining = False
        self.open_connections = 0
        self._ongoing_rejections = 0
        self.handlers: set[handlers.Handler] = set()
        self.idle_handlers: set[handlers.Handler] = set()
        self._meters = meters
        self._overload_response = _make_overload_response(bounds.retry_after_s)

    def init_socket(self) -> None:
        """Open the listening socket, from which connections inherit buffers."""
        super().init_socket()
        for option, size in (
            (socket.SO_RCVBUF, self.bounds.receive_buffer_bytes),
            (socket.SO_SNDBUF, self.bounds.send_buffer_bytes),
        ):
            self.socket.setsockopt(socket.SOL_SOCKET, option, size)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        if self.open_connections >= self.bounds.max_connections:
            self._close_unused()
        if self.open_connections >= self.bounds.max_open_connections:
            self._reject_connection(sock)
            return
        self.open_connections += 1
        self._count_connections()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        finally:
            self.open_connections -= 1
            self._count_connections()

    def _count_connections(self) -> None:
        if self._meters is not None:
            self._meters.http_connections.set(self.open_connections)

    def _close_unused(self) -> None:
        """Close the connection that can be spared best, if there is any.

        Connections that have not brought any request come first, then those that have
        waited for the next one for longest.
        """
        unused = [
            handler.rfile
            for handler in self.handlers
            if not handler.rfile.held.is_whole and not handler.rfile.is_closing
        ]
        if unused:
            min(unused, key=lambda r: (r.has_served, r.began_at)).refuse()

    def _reject_connection(self, sock: socket.socket) -> None:
        """Send a 503 response, or none if too many are already being sent."""
        if self._meters is not None:
            self._meters.connections_refused.inc()
        if self._ongoing_rejections >= MAX_CONCURRENT_REJECTIONS:
            return
        self._ongoing_rejections += 1
        try:
            sock.sendall(self._overload_response)
            handlers.linger(sock, self.bounds.linger_s)
        except OSError:
            return
        finally:
            self._ongoing_rejections -= 1

    def accept_pending(self) -> None:
        """Accept all connections in the backlog of the listening socket."""
        while accepted := self.do_read():
            self.do_handle(*accepted)


class Server:
    """The HTTP server of a daemon."""

    def __init__(self, listener: _Listener):
        self._listener = listener

    @property
    def port(self) -> int:
        """The port that the server listens on."""
        return self._listener.server_port

    @property
    def connections(self) -> int:
        """The number of open connections."""
        return self._listener.open_connections

    def stop_accepting(self) -> None:
        """Close the listening socket.

        Connections that the kernel has already accepted are served. From now
        on, each connection is closed after its next response.
        """
        if self._listener.draining:
            return
        self._listener.draining = True
        self._listener.accept_pending()
        self._listener.close()

    def drain(self, timeout_s: float) -> bool:
        """Stop accepting connections and wait for the open ones to end.

        Requests in progress are completed. Idle connections are closed after
        a grace period.

        Args:
            timeout_s: Maximum time to wait, in seconds.

        Returns:
            Whether all connections have ended.
        """
        self.stop_accepting()
        now_s = time.monotonic()
        close_idle_at_s = now_s + min(DRAIN_IDLE_GRACE_S, timeout_s / 2)
        deadline_s = now_s + timeout_s
        while self._listener.open_connections and time.monotonic() < deadline_s:
            if time.monotonic() >= close_idle_at_s:
                self._close_idle()
            gevent.sleep(DRAIN_POLL_INTERVAL_S)
        return not self._listener.open_connections

    def _close_idle(self) -> None:
        """Shut down reading on idle connections.

        Requests that have already arrived are still served.
        """
        for handler in list(self._listener.idle_handlers):
            handler.is_read_shut_down = True
            request_readers.shut_down_reading(handler.socket)


def listen(
    address: str,
    port: int,
    wsgi: Application,
    meters: Meters | None,
    bounds: limits.Limits,
) -> Server:
    """Start a server for a WSGI application.

    Args:
        address: The IP address to listen on.
        port: The port to listen on; 0 selects a free port, which
            `Server.port` returns.
        wsgi: The application.
        meters: The metrics that count connections; None to count none.
        bounds: Limits on connections and on the time they may take.

    Raises:
        OSError: The server can't listen on this address and port.
    """
    listener = _Listener((address, port), wsgi, bounds, meters)
    listener.start()
    return Server(listener)


def _make_overload_response(retry_after_s: float) -> bytes:
    """Return the complete 503 response to a connection over the limit."""
    error = exceptions.RequestError(
        503, "overload", "connection", "too many connections", retry_after_s
    )
    return handlers.make_raw_response(error)
