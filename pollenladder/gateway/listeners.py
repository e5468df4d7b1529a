"""The HTTP server: connections, their limits, and the graceful shutdown.

TCP_NODELAY is set on each accepted socket. gevent writes the header and the
body of a response separately, so Nagle's algorithm together with delayed ACKs
would delay each response by about 40 ms.
"""

from collections.abc import Callable
from collections.abc import Iterable
import contextlib
import logging
import socket as stdlib_socket
import time
from typing import Any
from typing import Protocol

import gevent
from gevent import pywsgi
from gevent import socket

from pollenladder.gateway import exceptions
from pollenladder.gateway import limits
from pollenladder.gateway import replies

LOGGER = logging.getLogger(__name__)

LISTEN_BACKLOG = 1024
# Limit on the unread input that is discarded before a connection is closed.
MAX_LINGER_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65_536
# Connections over the limit get a 503 response; while this many of them are
# being rejected, further ones are closed without a response.
MAX_CONCURRENT_REJECTIONS = 256
DRAIN_POLL_INTERVAL_S = 0.02
# The WSGI environment variable with the socket of the connection, from which an
# application can tell that the caller has disconnected. It is None once the
# server has shut down reading, because such a socket always looks disconnected.
SOCKET_VARIABLE = "pollenladder.socket"
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


def _make_raw_error(status: int, code: str, field: str, detail: str) -> tuple:
    """Return the status and bytes of an error outside of the application.

    `pywsgi` sends it for requests that it can't pass to the application.
    """
    error = exceptions.RequestError(status, code, field, detail)
    body = replies.make_error_reply(error).body
    head = (
        f"HTTP/1.1 {replies.STATUS_LINES[status]}\r\n"
        f"Content-Type: {replies.JSON_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return str(status), head.encode() + body


def _make_overload_response(retry_after_s: float) -> bytes:
    """Return the complete 503 response to a connection over the limit."""
    error = exceptions.RequestError(
        503, "overload", "connection", "too many connections", retry_after_s
    )
    reply = replies.make_error_reply(error)
    fields = "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
    head = (
        f"HTTP/1.1 {replies.STATUS_LINES[503]}\r\n"
        f"Content-Type: {replies.JSON_TYPE}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
        f"{fields}Connection: close\r\n\r\n"
    )
    return head.encode() + reply.body


def _linger(sock: socket.socket, linger_s: float) -> None:
    """Shut down sending and discard input for at most `linger_s` seconds.

    Closing a socket with unread input would reset the connection, and the
    client might lose the response that it has not read yet.
    """
    remaining_bytes = MAX_LINGER_BYTES
    try:
        with gevent.Timeout(linger_s, False):
            sock.shutdown(socket.SHUT_WR)
            while remaining_bytes > 0 and (data := sock.recv(RECEIVE_BYTES)):
                remaining_bytes -= len(data)
    except OSError:
        return


def _shut_down_reading(sock: socket.socket) -> None:
    """Shut down a socket for reading; data already received stays readable.

    The shutdown is done on a duplicate of the socket. A shutdown of gevent's
    own socket would also raise an error in the greenlet that reads from it,
    and a request that has just arrived would be lost.
    """
    duplicate = stdlib_socket.fromfd(sock.fileno(), sock.family, sock.type)
    with duplicate, contextlib.suppress(OSError):
        duplicate.shutdown(socket.SHUT_RD)


class _RequestInput(pywsgi.Input):
    """A request body whose rest is not read after the response is sent."""

    __slots__ = ()

    def is_unread(self) -> bool:
        """Return whether part of the body is unread, or may be."""
        if self._chunked_input_error:
            return True
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        """Do not read the rest of the body; the connection is closed."""


class _HeadersTimeoutError(ValueError):
    """The header fields were not complete in time."""


class _Handler(pywsgi.WSGIHandler):
    """Serve the requests of one connection.

    Attributes:
        is_read_shut_down: Whether the server has shut down reading, so that
            only data already received is still read.
    """

    is_read_shut_down = False

    def handle(self) -> None:
        self.socket.settimeout(self.server.bounds.send_s)
        super().handle()

    def read_requestline(self) -> str:
        """Wait for a request line; return an empty one after the idle timeout.

        An empty request line closes the connection.
        """
        self.server.idle_handlers.add(self)
        line = ""
        try:
            with gevent.Timeout(self.server.bounds.idle_s, False):
                line = super().read_requestline()
        finally:
            self.server.idle_handlers.discard(self)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        with gevent.Timeout(self.server.bounds.headers_s, _HeadersTimeoutError):
            is_complete = super().read_request(raw_requestline)
        self._check_content_length()
        return is_complete

    def _check_content_length(self) -> None:
        """Reject lengths that a proxy in front might interpret differently."""
        lengths = self.headers.get_all("content-length", ())
        if len(lengths) > 1 or any(not n.isdecimal() for n in lengths):
            raise ValueError("ambiguous Content-Length")

    def handle_one_request(self) -> Any:
        result = super().handle_one_request()
        if isinstance(result, tuple) and result[0] == "414":
            return _make_raw_error(414, "too_long", "path", "too long")
        return result

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        original_input = self.wsgi_input
        self.wsgi_input = _RequestInput(
            original_input.rfile,
            original_input.content_length,
            original_input.socket,
            original_input.chunked_input,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_VARIABLE] = (
            None if self.is_read_shut_down else self.socket
        )
        return environ

    def start_response(self, status: str, headers: list, exc_info=None) -> Any:
        if self.server.draining or self.wsgi_input.is_unread():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        super().handle_one_response()
        if self.wsgi_input.is_unread():
            self.close_connection = True
            _linger(self.socket, self.server.bounds.linger_s)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection and log errors other than network errors.

        The application itself replies to errors in its handlers.
        """
        self.close_connection = True
        if not isinstance(v, OSError):
            LOGGER.error("connection", exc_info=(t, v, tb))

    def _handle_client_error(self, ex: Exception) -> tuple:
        LOGGER.info("bad request from %s: %s", self.client_address[0], ex)
        if isinstance(ex, _HeadersTimeoutError):
            return _make_raw_error(
                408, "timeout", "headers", "not whole in time"
            )
        return _make_raw_error(400, "bad_request", "request", "not HTTP")

    def log_request(self) -> None:
        if LOGGER.isEnabledFor(logging.DEBUG):
            LOGGER.debug("%s", self.format_request())


class _Listener(pywsgi.WSGIServer):
    """The listening socket and its connections.

    Attributes:
        bounds: The limits.
        draining: Whether no new connections are accepted.
        open_connections: Number of open connections, without rejected ones.
        idle_handlers: Handlers of connections that wait for a request.
    """

    handler_class = _Handler

    def __init__(
        self,
        address: tuple[str, int],
        wsgi: Application,
        bounds: limits.Limits,
        meters: Meters,
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
        self.draining = False
        self.open_connections = 0
        self._ongoing_rejections = 0
        self.idle_handlers: set[_Handler] = set()
        self._meters = meters
        self._overload_response = _make_overload_response(bounds.retry_after_s)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        if self.open_connections >= self.bounds.max_connections:
            self._reject_connection(sock)
            return
        self.open_connections += 1
        self._meters.http_connections.set(self.open_connections)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        finally:
            self.open_connections -= 1
            self._meters.http_connections.set(self.open_connections)

    def _reject_connection(self, sock: socket.socket) -> None:
        """Send a 503 response, or none if too many are already being sent."""
        self._meters.connections_refused.inc()
        if self._ongoing_rejections >= MAX_CONCURRENT_REJECTIONS:
            return
        self._ongoing_rejections += 1
        try:
            sock.sendall(self._overload_response)
            _linger(sock, self.bounds.linger_s)
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
            _shut_down_reading(handler.socket)


def listen(
    address: str,
    port: int,
    wsgi: Application,
    meters: Meters,
    bounds: limits.Limits,
) -> Server:
    """Start a server for a WSGI application.

    Args:
        address: The IP address to listen on.
        port: The port to listen on; 0 selects a free port, which
            `Server.port` returns.
        wsgi: The application.
        meters: The metrics that count connections.
        bounds: Limits on connections and on the time they may take.

    Raises:
        OSError: The server can't listen on this address and port.
    """
    listener = _Listener((address, port), wsgi, bounds, meters)
    listener.start()
    return Server(listener)
