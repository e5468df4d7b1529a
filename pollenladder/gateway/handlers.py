"""The connections of HTTP clients: their requests, timeouts and errors."""

import logging
from typing import Any

import gevent
from gevent import pywsgi
from gevent import socket

from pollenladder.gateway import exceptions
from pollenladder.gateway import replies
from pollenladder.gateway import request_readers

LOGGER = logging.getLogger(__name__)

# Limit on the unread input that is discarded before a connection is closed.
MAX_LINGER_BYTES = 4 * 1024 * 1024
RECEIVE_BYTES = 65_536
# The text of an error contains what the client sent.
MAX_LOGGED_CHARS = 200
# The WSGI environment variable with the socket of the connection, from which an
# application can tell that the caller has disconnected. It is None once the
# server has shut down reading, because such a socket always looks disconnected.
SOCKET_VARIABLE = "pollenladder.socket"


def make_raw_response(error: exceptions.RequestError) -> bytes:
    """Return the complete response of an error outside of the application."""
    reply = replies.make_error_reply(error)
    fields = "".join(f"{name}: {value}\r\n" for name, value in reply.headers)
    head = (
        f"HTTP/1.1 {replies.STATUS_LINES[error.status]}\r\n"
        f"Content-Type: {replies.JSON_TYPE}\r\n"
        f"Content-Length: {len(reply.body)}\r\n"
        f"{fields}Connection: close\r\n\r\n"
    )
    return head.encode() + reply.body


def linger(sock: socket.socket, linger_s: float) -> None:
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


class RequestInput(pywsgi.Input):
    """A request body whose rest is not read after the response is sent."""

    __slots__ = ()

    def read(self, length: int | None = None) -> bytes:
        """Read the body, or at most some bytes of it.

        Raises:
            exceptions.RequestError: There is no room for the body, or it has too
                many bytes around its chunks.
        """
        if self.chunked_input and length is not None:
            self.rfile.begin_body(length)
        else:
            self.rfile.begin_body(self.content_length or 0)
        data = super().read(length)
        if not self.is_unread():
            self.rfile.end_request()
        return data

    def is_unread(self) -> bool:
        """Return whether part of the body is unread, or may be."""
        if self._chunked_input_error:
            return True
        if self.chunked_input:
            return self.chunk_length != 0
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        """Do not read the rest of the body; the connection is closed."""


class HeadersTimeoutError(ValueError):
    """The header fields were not complete in time."""


class Handler(pywsgi.WSGIHandler):
    """Serve the requests of one connection.

    Attributes:
        rfile: Reads the requests.
        is_read_shut_down: Whether the server has shut down reading, so that
            only data already received is still read.
    """

    rfile: request_readers.RequestReader
    is_read_shut_down = False

    def __init__(self, sock: socket.socket, address: tuple, server: Any):
        reader = request_readers.RequestReader(
            sock, server.held_bytes, server.bounds
        )
        super().__init__(sock, address, server, reader)

    def handle(self) -> None:
        """Serve the requests of the connection until it ends."""
        reader = self.rfile
        self.socket.settimeout(self.server.bounds.send_s)
        self.server.handlers.add(self)
        try:
            super().handle()
        finally:
            self.server.handlers.discard(self)
            reader.close()

    def read_requestline(self) -> str:
        """Wait for a request line; return an empty one after the idle timeout.

        An empty request line closes the connection.
        """
        self.rfile.begin_request()
        self.server.idle_handlers.add(self)
        line = ""
        try:
            with gevent.Timeout(self.server.bounds.idle_s, False):
                line = super().read_requestline()
        finally:
            self.server.idle_handlers.discard(self)
        return line

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header fields within the time for them."""
        with gevent.Timeout(self.server.bounds.headers_s, HeadersTimeoutError):
            is_complete = super().read_request(raw_requestline)
        self._check_content_length()
        return is_complete

    def _check_content_length(self) -> None:
        """Reject lengths that a proxy in front might interpret differently."""
        lengths = self.headers.get_all("content-length", ())
        if len(lengths) > 1 or any(not n.isdecimal() for n in lengths):
            raise ValueError("ambiguous Content-Length")

    def handle_one_request(self) -> Any:
        """Serve a request; return an error to send, or whether to go on."""
        try:
            result = super().handle_one_request()
        except exceptions.RequestError as error:
            # Raised by the request line, which the library reads unguarded.
            return _make_raw_error(error)
        if isinstance(result, tuple) and result[0] == "414":
            error = exceptions.RequestError(414, "too_long", "path", "too long")
            return _make_raw_error(error)
        return result

    def get_environ(self) -> dict[str, Any]:
        """Return the WSGI environment of the request."""
        environ = super().get_environ()
        original_input = self.wsgi_input
        self.wsgi_input = RequestInput(
            original_input.rfile,
            original_input.content_length,
            original_input.socket,
            original_input.chunked_input,
        )
        if not self.wsgi_input.is_unread():
            self.rfile.end_request()
        environ["wsgi.input"] = self.wsgi_input
        is_shut_down = self.is_read_shut_down or self.rfile.is_closing
        environ[SOCKET_VARIABLE] = None if is_shut_down else self.socket
        return environ

    def start_response(self, status: str, headers: list, exc_info=None) -> Any:
        """Begin the response, which may be the last one of the connection."""
        if self.server.draining or self.wsgi_input.is_unread():
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def handle_one_response(self) -> None:
        """Run the application; close the connection if a body is unread."""
        super().handle_one_response()
        self.rfile.has_served = True
        if self.wsgi_input.is_unread():
            self.close_connection = True
            linger(self.socket, self.server.bounds.linger_s)

    def handle_error(self, t: Any, v: Any, tb: Any) -> None:
        """Close the connection and log errors other than network errors.

        The application itself replies to errors in its handlers.
        """
        self.close_connection = True
        if not isinstance(v, OSError):
            LOGGER.error("connection", exc_info=(t, v, tb))

    def _handle_client_error(self, ex: Exception) -> tuple:
        text = str(ex)[:MAX_LOGGED_CHARS]
        LOGGER.info("bad request from %s: %s", self.client_address[0], text)
        if isinstance(ex, exceptions.RequestError):
            return _make_raw_error(ex)
        if isinstance(ex, HeadersTimeoutError):
            return _make_raw_error(
                exceptions.RequestError(
                    408, "timeout", "headers", "not whole in time"
                )
            )
        return _make_raw_error(
            exceptions.RequestError(400, "bad_request", "request", "not HTTP")
        )

    def log_request(self) -> None:
        """Log the request for debugging."""
        if LOGGER.isEnabledFor(logging.DEBUG):
            LOGGER.debug("%s", self.format_request())


def _make_raw_error(error: exceptions.RequestError) -> tuple[str, bytes]:
    """Return what the library sends for a request that it does not pass on."""
    return str(error.status), make_raw_response(error)
