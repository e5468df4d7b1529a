"""One request and one response, with the time and the sending bounded.

A request is written once. Which error is raised tells whether any of its bytes
may have reached the peer.
"""

from collections.abc import Callable

import gevent

from pollenladder.http import connections
from pollenladder.http import exceptions
from pollenladder.http import responses

MakeParser = Callable[[], responses.ResponseParser]


def build_head(address: tuple[str, int], method: str, target: str) -> bytes:
    """Return the head of a request up to the value of its Content-Length.

    Args:
        address: The peer's IP number and port.
        method: The method, in capitals.
        target: The path and query, percent-encoded where needed.
    """
    host, port = address
    lines = (
        f"{method} {target} HTTP/1.1",
        f"Host: {host}:{port}",
        "Content-Type: application/json",
        "Content-Length: ",
    )
    return "\r\n".join(lines).encode("ascii")


def build_request(head: bytes, body: bytes, fields: bytes = b"") -> bytes:
    """Return the bytes of a request.

    Args:
        head: From `build_head`.
        body: The body.
        fields: Further header lines, each with its line end.
    """
    return b"%s%d\r\n%s\r\n%s" % (head, len(body), fields, body)


class Exchange:
    """The progress of one exchange.

    Attributes:
        written: Whether any byte may have left.
        response: The response, once there is one.
    """

    __slots__ = ("_make_parser", "response", "written")

    def __init__(self, make_parser: MakeParser):
        self.written = False
        self._make_parser = make_parser
        self.response: responses.Response | None = None

    def run(self, connection: connections.Connection, request: bytes) -> None:
        """Write the request once and read the response."""
        sock = connection.sock
        # A first `send` that raises has written nothing.
        sent = sock.send(request)
        self.written = True
        if sent < len(request):
            sock.sendall(request[sent:])
        self.response = responses.receive_response(sock, self._make_parser)


def exchange(
    pool: connections.Connections,
    request: bytes,
    timeout_s: float,
    make_parser: MakeParser = responses.ResponseParser,
) -> responses.Response:
    """Send a request once and return the response.

    If the calling greenlet is killed meanwhile, or a timeout of its own strikes,
    the request may have arrived.

    Args:
        pool: Connections to the peer.
        request: The bytes to send.
        timeout_s: For the whole of it, in seconds.
        make_parser: `HeaderParser` if the headers are wanted.

    Raises:
        NotSentError: No byte was written.
        NoResponseError: The request may have arrived.
    """
    state = Exchange(make_parser)
    timer = gevent.Timeout.start_new(timeout_s)
    try:
        _run(pool, request, state)
    except gevent.Timeout as timeout:
        if timeout is not timer:
            raise
        # Whatever made this connection silent may have hit the others too.
        pool.close_idle()
        raise _make_error(state, exceptions.Cause.TIMEOUT, "timeout") from None
    except OSError as error:
        raise _make_error(state, exceptions.Cause.CLOSED, str(error)) from error
    except responses.ResponseError as error:
        raise _make_error(
            state, exceptions.Cause.GARBAGE, str(error)
        ) from error
    finally:
        timer.close()
    if state.response is None:
        raise _make_error(state, exceptions.Cause.CLOSED, "end of stream")
    return state.response


def _run(
    pool: connections.Connections,
    request: bytes,
    state: Exchange,
) -> None:
    connection = pool.acquire()
    try:
        state.run(connection, request)
    finally:
        response = state.response
        if response is not None and response.keeps_alive:
            pool.put_back(connection)
        else:
            pool.discard(connection)


def _make_error(
    state: Exchange, cause: exceptions.Cause, detail: str
) -> exceptions.ExchangeError:
    if not state.written:
        return exceptions.NotSentError(detail)
    return exceptions.NoResponseError(cause, detail)
