"""HTTP server for the simulated platform and endpoints, based on gevent.

The handler uses the request parser of gevent's WSGI server, but it builds no
WSGI environment and sends each reply in one write, which halves the cost of a
request.
"""

from collections.abc import Callable
import dataclasses
import http
import json
import signal
from typing import Any
import urllib.parse

import gevent
from gevent import event
from gevent import pywsgi
from gevent import socket

EVENT_LOOP = "libev-cext"
RECEIVE_BYTES = 65536
encode_json = json.JSONEncoder(separators=(",", ":")).encode
REASON_PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """An accepted connection.

    Attributes:
        sock: The socket.
        silent: Whether requests are read but no longer answered.
    """

    sock: socket.socket
    silent: bool = False

    def discard_input(self) -> None:
        """Read and discard data until the peer closes the connection."""
        try:
            while self.sock.recv(RECEIVE_BYTES):
                pass
        except OSError:
            return

    def shut_down(self) -> None:
        """Shut the socket down in both directions."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """An HTTP request.

    Attributes:
        method: The method in upper case.
        path: The decoded path, without the query.
        query: The query, not decoded.
        headers: Header values by lower-case name.
        body: The whole body.
        connection: The connection on which the request arrived.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    connection: Connection

    def get_parameter(self, name: str, default: str = "") -> str:
        """Return the first value of a query parameter, or the default."""
        return (self.list_parameters(name) or (default,))[0]

    def list_parameters(self, name: str) -> tuple[str, ...]:
        """Return all values of a query parameter."""
        values = urllib.parse.parse_qs(self.query, keep_blank_values=True)
        return tuple(values.get(name, ()))


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """An HTTP reply.

    Attributes:
        status: The HTTP status.
        body: Bytes that are sent unchanged, or a JSON value.
        headers: Additional header fields.
    """

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()


# Answers a request; returning None closes the connection without an answer.
Application = Callable[[Request], Reply | None]


class Headers(dict):
    """Header fields by lower-case name, as the gevent handler expects."""

    status = ""

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a field, whose name may be in any case."""
        return super().get(name.lower(), default)


def read_headers(rfile: Any) -> Headers:
    """Read header lines up to the empty line.

    The status of the result is "incomplete" if the input ends before that
    line.
    """
    headers = Headers()
    while line := rfile.readline(pywsgi.MAX_REQUEST_LINE):
        if line in (b"\r\n", b"\n"):
            return headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    headers.status = "incomplete"
    return headers


def render(reply: Reply, close: bool) -> bytes:
    """Serialise a reply, with `Connection: close` if `close` is set."""
    body = reply.body
    if not isinstance(body, bytes):
        body = encode_json(body).encode()
    lines = [f"HTTP/1.1 {reply.status} {REASON_PHRASES[reply.status]}"]
    lines += [f"{name}: {value}" for name, value in reply.headers]
    if close:
        lines.append("Connection: close")
    lines.append(f"Content-Length: {len(body)}\r\n\r\n")
    return "\r\n".join(lines).encode("latin-1") + body


class Handler(pywsgi.WSGIHandler):
    """Handles the requests of one connection."""

    connection: Connection

    def MessageClass(self, rfile, _seekable):  # noqa: N802
        """Read the header fields."""
        return read_headers(rfile)

    def get_environ(self) -> dict:
        """Set up the reader of the body and return an empty environment."""
        chunked = "transfer-encoding" in self.headers
        self.wsgi_input = pywsgi.Input(
            self.rfile, self.content_length, chunked_input=chunked
        )
        return {}

    def run_application(self) -> None:
        """Answer one request, or close the connection without an answer."""
        path, _, query = self.path.partition("?")
        request = Request(
            self.command,
            urllib.parse.unquote(path),
            query,
            self.headers,
            self.wsgi_input.read(),
            self.connection,
        )
        reply = self.application(request)
        if reply is None:
            self.close_connection = True
            return
        self.code = reply.status
        self._sendall(render(reply, self.close_connection))

    def log_request(self) -> None:
        """Suppress the access log."""


class Server(pywsgi.WSGIServer):
    """An HTTP server on one port.

    Attributes:
        connections: The open connections.
        refused_connections: Number of connections closed before a request
            was read.
    """

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        may_accept: Callable[[int], bool] = lambda _open: True,
    ):
        """Prepare the server; `start` makes it listen.

        Args:
            address: An IP address and a port; port 0 selects a free port.
            application: Answers each request.
            may_accept: Called with the number of open connections; returns
                whether another connection is accepted.
        """
        super().__init__(
            address,
            application,
            backlog=1024,
            log=None,
            error_log=None,
            environ={"SERVER_NAME": address[0]},
        )
        self.connections: set[Connection] = set()
        self.refused_connections = 0
        self._may_accept = may_accept

    def handle(self, sock: socket.socket, address: tuple[str, int]) -> None:
        """Serve one connection until it is closed."""
        if not self._may_accept(len(self.connections)):
            self.refused_connections += 1
            return
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(sock)
        self.connections.add(connection)
        handler = Handler(sock, address, self)
        handler.connection = connection
        try:
            handler.handle()
        finally:
            self.connections.discard(connection)

    def silence_connections(self) -> None:
        """Stop answering requests on all open connections, permanently."""
        for connection in self.connections:
            connection.silent = True

    def drop_connections(self, kept: Connection | None = None) -> None:
        """Close all open connections except `kept`."""
        for connection in tuple(self.connections):
            if connection is not kept:
                connection.shut_down()


def pin_event_loop() -> None:
    """Select the libev event loop and check that it uses epoll.

    Raises:
        RuntimeError: Another event loop or backend is in use.
    """
    gevent.config.loop = EVENT_LOOP
    loop = gevent.get_hub().loop
    if type(loop).__module__ != "gevent.libev.corecext":
        raise RuntimeError(f"event loop {type(loop)} instead of {EVENT_LOOP}")
    if loop.backend != "epoll":
        raise RuntimeError(f"event loop on {loop.backend} instead of epoll")


def announce_and_wait(ready: dict[str, Any]) -> None:
    """Print `ready` as one JSON line, then wait for SIGTERM or SIGINT."""
    ended = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    print(json.dumps({"ready": True} | ready), flush=True)
    ended.wait()
