"""HTTP servers of the stand-ins, on gevent's WSGI server.

The handler reads requests as the library does, but it skips the WSGI
environment and sends each reply in one write, which halves its cost.
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

EPOLL_LOOP = "libev-cext"
RECEIVE_BYTES = 65536
encode = json.JSONEncoder(separators=(",", ":")).encode
PHRASES = {status.value: status.phrase for status in http.HTTPStatus}


@dataclasses.dataclass(slots=True, eq=False)
class Connection:
    """One accepted connection.

    Attributes:
        sock: The socket.
        silent: Whether it reads on but answers nothing any more.
    """

    sock: socket.socket
    silent: bool = False

    def swallow(self) -> None:
        """Read and ignore all that arrives until the peer closes."""
        try:
            while self.sock.recv(RECEIVE_BYTES):
                pass
        except OSError:
            return

    def shut_down(self) -> None:
        """End the connection in both directions."""
        try:
            self.sock.shutdown(socket.SHUT_RDWR)
        except OSError:
            return


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """One request.

    Attributes:
        method: The method, in capitals.
        path: The decoded path, without the query.
        query: The query, not decoded.
        headers: Values by lower-case name.
        body: The whole body.
        connection: Where it arrived.
    """

    method: str
    path: str
    query: str
    headers: dict[str, str]
    body: bytes
    connection: Connection

    def get_parameter(self, name: str, default: str = "") -> str:
        """Return a parameter of the query."""
        return (self.list_parameters(name) or (default,))[0]

    def list_parameters(self, name: str) -> tuple[str, ...]:
        """Return all values of a parameter of the query."""
        values = urllib.parse.parse_qs(self.query, keep_blank_values=True)
        return tuple(values.get(name, ()))


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """One reply.

    Attributes:
        status: The HTTP status.
        body: Bytes to send as they are, or any JSON value.
        headers: Further header fields.
    """

    status: int
    body: Any
    headers: tuple[tuple[str, str], ...] = ()


# Answers a request; None closes the connection without an answer.
Application = Callable[[Request], Reply | None]


class Headers(dict):
    """Header fields by lower-case name, as the library's handler asks."""

    status = ""

    def get(self, name: str, default: Any = None) -> Any:
        """Return the value of a field in any case."""
        return super().get(name.lower(), default)


def read_headers(rfile: Any) -> Headers:
    """Read header lines up to the empty one."""
    headers = Headers()
    while line := rfile.readline(pywsgi.MAX_REQUEST_LINE):
        if line in (b"\r\n", b"\n"):
            return headers
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip()
    headers.status = "incomplete"
    return headers


def render(reply: Reply, close: bool) -> bytes:
    """Return the bytes of a reply."""
    body = reply.body
    if not isinstance(body, bytes):
        body = encode(body).encode()
    lines = [f"HTTP/1.1 {reply.status} {PHRASES[reply.status]}"]
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
        """Prepare the body's reader; the environment stays empty."""
        chunked = "transfer-encoding" in self.headers
        self.wsgi_input = pywsgi.Input(
            self.rfile, self.content_length, chunked_input=chunked
        )
        return {}

    def run_application(self) -> None:
        """Answer one request, or close the connection."""
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
        """Write no access log."""


class Server(pywsgi.WSGIServer):
    """One listening port.

    Attributes:
        connections: The open connections.
        refused_connections: Connections closed before reading.
    """

    def __init__(
        self,
        address: tuple[str, int],
        application: Application,
        may_accept: Callable[[int], bool] = lambda _open: True,
    ):
        """Prepare the server; `start` makes it listen.

        Args:
            address: An IP number and a port; port 0 takes a free one.
            application: Answers each request.
            may_accept: Says, of the number of open connections, whether one
                more may be served.
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
        """Serve one connection until it ends."""
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
        """Make all open connections silent for good."""
        for connection in self.connections:
            connection.silent = True

    def drop_connections(self, kept: Connection | None = None) -> None:
        """End all open connections but one."""
        for connection in tuple(self.connections):
            if connection is not kept:
                connection.shut_down()


def pin_event_loop() -> None:
    """Choose libev with epoll, and check that it is in use.

    Raises:
        RuntimeError: Another event loop or back end is in use.
    """
    gevent.config.loop = EPOLL_LOOP
    loop = gevent.get_hub().loop
    if type(loop).__module__ != "gevent.libev.corecext":
        raise RuntimeError(f"event loop {type(loop)} instead of {EPOLL_LOOP}")
    if loop.backend != "epoll":
        raise RuntimeError(f"event loop on {loop.backend} instead of epoll")


def announce_and_wait(ready: dict[str, Any]) -> None:
    """Print one JSON line, then wait for SIGTERM or SIGINT."""
    ended = event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    print(json.dumps({"ready": True} | ready), flush=True)
    ended.wait()
