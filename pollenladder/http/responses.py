"""Responses, read from a socket by geventhttpclient's parser."""

from collections.abc import Callable
import dataclasses
from typing import Any

from geventhttpclient import response as parsers

RECEIVE_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_FINAL_STATUS = 200

# Takes a text and returns None; as a built-in it costs no Python frame.
ignore = {}.get


class ResponseError(Exception):
    """Bytes that are not one HTTP response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One response.

    Attributes:
        status: The HTTP status.
        headers: Values by lower-case name, of repeated fields the last;
            empty if they were not wanted.
        body: The whole body.
        keeps_alive: Whether the connection may be used again.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    keeps_alive: bool


class ResponseParser(parsers.HTTPResponseParser):
    """Collects the status and the body of exactly one final response.

    The library's own response class also stores header objects and handles
    sockets, at three times the cost.

    Attributes:
        complete: Whether the final response has ended.
    """

    def __init__(self):
        super().__init__()
        self.complete = False
        self._body = bytearray()

    def read_response(self) -> Response:
        """Return the response once it is complete."""
        body = bytes(self._body)
        keeps_alive = self.should_keep_alive()
        return Response(self.get_code(), self.get_headers(), body, keeps_alive)

    def get_headers(self) -> dict[str, str]:
        """Return the headers, which this class ignores."""
        return {}

    # The library calls these; any result but None and 0 is an error.
    _on_status = staticmethod(ignore)
    _on_header_field = staticmethod(ignore)
    _on_header_value = staticmethod(ignore)

    def _on_message_begin(self) -> None:
        if self.complete:
            raise ResponseError("more than one response")

    def _on_headers_complete(self) -> None:
        pass

    def _on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise ResponseError(f"more than {MAX_RESPONSE_BYTES} bytes")

    def _on_message_complete(self) -> None:
        self.complete = self.get_code() >= FIRST_FINAL_STATUS


class HeaderParser(ResponseParser):
    """Collects the headers as well; a part of one may come at a time."""

    def __init__(self):
        super().__init__()
        self._headers: dict[str, str] = {}
        self._name = ""
        self._value: str | None = None

    def get_headers(self) -> dict[str, str]:
        """Return the values by lower-case name."""
        self._store_header()
        return self._headers

    def _store_header(self) -> None:
        if self._value is not None:
            self._headers[self._name.lower()] = self._value
        self._name = ""
        self._value = None

    def _on_header_field(self, text: str) -> None:
        if self._value is not None:
            self._store_header()
        self._name += text

    def _on_header_value(self, text: str) -> None:
        self._value = (self._value or "") + text


def receive_response(
    sock: Any, make_parser: Callable[[], ResponseParser]
) -> Response | None:
    """Read one response from a socket.

    A response that ends with its connection is not taken, as it cannot be
    told from a truncated one.

    Args:
        sock: A gevent socket.
        make_parser: `ResponseParser`, or `HeaderParser` if the headers are
            wanted.

    Returns:
        The response, or None if the connection was closed before its end.

    Raises:
        OSError: The connection failed.
        ResponseError: What arrived is not one HTTP response.
    """
    parser = make_parser()
    while not parser.complete:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return None
        try:
            parser.feed(data)
        except parsers.HTTPParseError as error:
            raise ResponseError(str(error)) from error
    return parser.read_response()
