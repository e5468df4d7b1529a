"""An HTTP server: connections, their bounds, and the drain.

Each accepted socket sets TCP_NODELAY: gevent writes header and body apart, and
Nagle's algorithm against delayed ACKs would hold each answer some 40 ms.
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

BACKLOG = 1024
LINGER_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65_536
# Beyond this, connections over the bound are closed without an answer.
MAX_TURNING_AWAY = 256
POLL_S = 0.02
# Where an application finds the connection, to notice its end; None once we
# have ended reading ourselves, as it then looks ended whatever the caller does.
SOCKET_VARIABLE = "pollenladder.socket"
# How long an idle connection may still bring a request during a drain.
QUIET_S = 0.5


Application = Callable[[dict[str, Any], Callable], Iterable[bytes]]


class Gauge(Protocol):
    """A figure that is set."""

    def set(self, value: float) -> None:
        """Set it."""


class Counter(Protocol):
    """A figure that grows."""

    def inc(self) -> None:
        """Add one."""


class Meters(Protocol):
    """Where a server counts its connections.

    Attributes:
        http_connections: Connections open.
        connections_refused: Connections beyond the bound.
    """

    http_connections: Gauge
    connections_refused: Counter


def _make_error(status: int, code: str, field: str, detail: str) -> tuple:
    """Return what `pywsgi` sends before there is a WSGI request."""
    error = exceptions.RequestError(status, code, field, detail)
    body = replies.make_error_reply(error).body
    head = (
        f"HTTP/1.1 {replies.STATUS_LINES[status]}\r\n"
        f"Content-Type: {replies.JSON_TYPE}\r\n"
        f"Content-Length: {len(body)}\r\n"
        "Connection: close\r\n\r\n"
    )
    return str(status), head.encode() + body


def _make_overload(retry_after_s: float) -> bytes:
    """Return the whole answer to a connection beyond the bound."""
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
    """Drain what a client still sends, so that it can read the answer."""
    left = LINGER_BYTES
    try:
        with gevent.Timeout(linger_s, False):
            sock.shutdown(socket.SHUT_WR)
            while left > 0 and (data := sock.recv(RECEIVE_BYTES)):
                left -= len(data)
    except OSError:
        return


def _end_reading(sock: socket.socket) -> None:
    """Shut a socket for reading, but for what has come already.

    The shutdown of gevent's own socket would also wake its reader with an
    error, and a request that has just come would be lost.
    """
    twin = stdlib_socket.fromfd(sock.fileno(), sock.family, sock.type)
    with twin, contextlib.suppress(OSError):
        twin.shutdown(socket.SHUT_RD)


class _Input(pywsgi.Input):
    """A body that is left unread once the application has answered."""

    __slots__ = ()

    def is_unread(self) -> bool:
        """Return whether more of the body is to come, or may be."""
        if self._chunked_input_error:
            return True
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        """Leave the rest; the connection is closed."""


class _HeadersLateError(ValueError):
    """The header fields did not come in time."""


class _Handler(pywsgi.WSGIHandler):
    """One connection.

    Attributes:
        has_end: Whether we read no more than what has come.
    """

    has_end = False

    def handle(self) -> None:
        self.socket.settimeout(self.server.bounds.send_s)
        super().handle()

    def read_requestline(self) -> str:
        """Wait for a request; a connection that stays idle is closed."""
        self.server.idle.add(self)
        line = ""
        try:
            with gevent.Timeout(self.server.bounds.idle_s, False):
                line = super().read_requestline()
        finally:
            self.server.idle.discard(self)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        with gevent.Timeout(self.server.bounds.headers_s, _HeadersLateError):
            whole = super().read_request(raw_requestline)
        self._check_length()
        return whole

    def _check_length(self) -> None:
        """Reject lengths that a proxy before us might read otherwise."""
        lengths = self.headers.get_all("content-length", ())
        if len(lengths) > 1 or any(not n.isdecimal() for n in lengths):
            raise ValueError("ambiguous Content-Length")

    def handle_one_request(self) -> Any:
        result = super().handle_one_request()
        if isinstance(result, tuple) and result[0] == "414":
            return _make_error(414, "too_long", "path", "too long")
        return result

    def get_environ(self) -> dict[str, Any]:
        environ = super().get_environ()
        plain = self.wsgi_input
        self.wsgi_input = _Input(
            plain.rfile, plain.content_length, plain.socket, plain.chunked_input
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_VARIABLE] = None if self.has_end else self.socket
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
        """Close; the application answers for its own errors."""
        self.close_connection = True
        if not isinstance(v, OSError):
            LOGGER.error("connection", exc_info=(t, v, tb))

    def _handle_client_error(self, ex: Exception) -> tuple:
        LOGGER.info("bad request from %s: %s", self.client_address[0], ex)
        if isinstance(ex, _HeadersLateError):
            return _make_error(408, "timeout", "headers", "not whole in time")
        return _make_error(400, "bad_request", "request", "not HTTP")

    def log_request(self) -> None:
        if LOGGER.isEnabledFor(logging.DEBUG):
            LOGGER.debug("%s", self.format_request())


class _Listener(pywsgi.WSGIServer):
    """The listening socket and its connections."""

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
            backlog=BACKLOG,
            log=None,
            error_log=LOGGER,
            environ={"SERVER_NAME": address[0]},
        )
        self.bounds = bounds
        self.draining = False
        self.open = 0
        self._turning_away = 0
        self.idle: set[_Handler] = set()
        self._meters = meters
        self._overload = _make_overload(bounds.retry_after_s)

    def handle(self, sock: socket.socket, address: tuple) -> None:
        if self.open >= self.bounds.max_connections:
            self._turn_away(sock)
            return
        self.open += 1
        self._meters.http_connections.set(self.open)
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        finally:
            self.open -= 1
            self._meters.http_connections.set(self.open)

    def _turn_away(self, sock: socket.socket) -> None:
        self._meters.connections_refused.inc()
        if self._turning_away >= MAX_TURNING_AWAY:
            return
        self._turning_away += 1
        try:
            sock.sendall(self._overload)
            _linger(sock, self.bounds.linger_s)
        except OSError:
            return
        finally:
            self._turning_away -= 1

    def accept_waiting(self) -> None:
        """Accept whatever the kernel has queued."""
        while accepted := self.do_read():
            self.do_handle(*accepted)


class Server:
    """The HTTP server of a daemon."""

    def __init__(self, listener: _Listener):
        self._listener = listener

    @property
    def port(self) -> int:
        """The port it listens on."""
        return self._listener.server_port

    @property
    def connections(self) -> int:
        """Connections open."""
        return self._listener.open

    def stop_accepting(self) -> None:
        """Close the listening socket.

        Connections that the kernel has accepted already are served. Every
        answer from now on closes its connection.
        """
        if self._listener.draining:
            return
        self._listener.draining = True
        self._listener.accept_waiting()
        self._listener.close()

    def drain(self, timeout_s: float) -> bool:
        """Stop accepting and answer what is in flight.

        Args:
            timeout_s: Longest wait, in seconds.

        Returns:
            Whether every connection has ended.
        """
        self.stop_accepting()
        now_s = time.monotonic()
        quiet_s = now_s + min(QUIET_S, timeout_s / 2)
        end_s = now_s + timeout_s
        while self._listener.open and time.monotonic() < end_s:
            if time.monotonic() >= quiet_s:
                self._close_idle()
            gevent.sleep(POLL_S)
        return not self._listener.open

    def _close_idle(self) -> None:
        """Read no more from idle connections; what has come is served."""
        for handler in list(self._listener.idle):
            handler.has_end = True
            _end_reading(handler.socket)


def listen(
    address: str,
    port: int,
    wsgi: Application,
    meters: Meters,
    bounds: limits.Limits,
) -> Server:
    """Listen for the callers of a WSGI application.

    Args:
        address: An IP number.
        port: 0 takes a free one; see `Server.port`.
        wsgi: The application.
        meters: Where connections are counted.
        bounds: What callers may make it hold or wait for.

    Raises:
        OSError: The port can't be had.
    """
    listener = _Listener((address, port), wsgi, bounds, meters)
    listener.start()
    return Server(listener)
