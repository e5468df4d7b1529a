"""HTTP exchanges of one request and one response within a time limit.

A request is written at most once. The class of the raised error tells whether
any of its bytes may have reached the peer.
"""

from collections.abc import Callable

import gevent

from pollenladder.http import connections
from pollenladder.http import exceptions
from pollenladder.http import responses

MakeParser = Callable[[], responses.ResponseParser]


def build_head(address: tuple[str, int], method: str, target: str) -> bytes:
    """Return the start of a request, up to the value of Content-Length.

    Args:
        address: The peer's IP address and port.
        method: The HTTP method, in upper case.
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
        head: The start of the request from `build_head`.
        body: The body.
        fields: Additional header lines, each ending in CRLF.
    """
    return b"%s%d\r\n%s\r\n%s" % (head, len(body), fields, body)


class Exchange:
    """The state of one exchange.

    Attributes:
        written: Whether any byte of the request may have been sent.
        response: The response; None until it is complete.
    """

    __slots__ = ("_make_parser", "response", "written")

    def __init__(self, make_parser: MakeParser):
        self.written = False
        self._make_parser = make_parser
        self.response: responses.Response | None = None

    def run(self, connection: connections.Connection, request: bytes) -> None:
        """Write the request once and read the response."""
        sock = connection.sock
        # If the first `send` raises, nothing has been written.
        sent = sock.send(request)
        self.written = True
        if sent < len(request):
            sock.sendall(request[sent:])
        self.response = responses.receive_response(sock, self._make_parser)


def exchange(
    pool: connections.ConnectionPool,
    request: bytes,
    timeout_s: float,
    make_parser: MakeParser = responses.ResponseParser,
) -> responses.Response:
    """Send a request once and return the response.

    If the calling greenlet is killed during the call, or if one of its own
    timeouts expires, the request may have arrived.

    Args:
        pool: The connections to the peer.
        request: The bytes of the request.
        timeout_s: Time limit of the whole exchange, in seconds.
        make_parser: Returns a parser for the response: `HeaderParser` if the
            headers are needed.

    Raises:
        NotSentError: No byte of the request was written.
        NoResponseError: The request may have arrived at the peer.
    """
    state = Exchange(make_parser)
    timer = gevent.Timeout.start_new(timeout_s)
    try:
        _run_exchange(pool, request, state)
    except gevent.Timeout as timeout:
        if timeout is not timer:
            raise
        # The cause of the timeout may affect the idle connections too.
        pool.close_idle()
        raise _build_error(state, exceptions.Cause.TIMEOUT, "timeout") from None
    except ConnectionRefusedError as error:
        raise exceptions.RefusedError(
            str(error), pool.was_closed_by_peer
        ) from error
    except OSError as error:
        raise _build_error(state, exceptions.Cause.RESET, str(error)) from error
    except responses.ResponseError as error:
        raise _build_error(
            state, exceptions.Cause.GARBAGE, str(error)
        ) from error
    finally:
        timer.close()
    if state.response is None:
        raise _build_error(
            state,
            exceptions.Cause.CLOSED,
            "connection closed before the end of the response",
        )
    return state.response


def _run_exchange(
    pool: connections.ConnectionPool,
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


def _build_error(
    state: Exchange, cause: exceptions.Cause, detail: str
) -> exceptions.ExchangeError:
    if not state.written:
        return exceptions.NotSentError(detail)
    return exceptions.NoResponseError(cause, detail)
