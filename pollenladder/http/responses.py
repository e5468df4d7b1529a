"""Reading of HTTP responses from a socket with geventhttpclient's parser."""

from collections.abc import Callable
import dataclasses
from typing import Any

from geventhttpclient import response as parsers

RECEIVE_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# What may come beside the body: header fields, chunk sizes and interim responses.
MAX_OVERHEAD_BYTES = 1024 * 1024
# Responses with a lower status (1xx) are interim: another response follows.
FIRST_FINAL_STATUS = 200

# Parser callback that does nothing and returns None. A built-in method is used
# because it avoids the cost of a Python call.
ignore_text = {}.get


class ResponseError(Exception):
    """The received bytes are not exactly one valid HTTP response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """An HTTP response.

    Attributes:
        status: The HTTP status.
        headers: Header values by lower-case name, with the last value of a
            repeated field; empty if the parser ignores headers.
        body: The complete body.
        keeps_alive: Whether the connection may be reused.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    keeps_alive: bool


class ResponseParser(parsers.HTTPResponseParser):
    """Collects the status and the body of exactly one final response.

    The library's own response class costs three times as much, because it also
    stores header objects and handles sockets.

    Attributes:
        complete: Whether the final response is complete.
    """

    def __init__(self):
        super().__init__()
        self.complete = False
        self._body = bytearray()

    def read_response(self) -> Response:
        """Return the response; call this once it is complete."""
        body = bytes(self._body)
        keeps_alive = self.should_keep_alive()
        return Response(self.get_code(), self.get_headers(), body, keeps_alive)

    def get_headers(self) -> dict[str, str]:
        """Return an empty dict, because this class ignores headers."""
        return {}

    # Callbacks of the library, which treats results other than None and 0 as
    # errors.
    _on_status = staticmethod(ignore_text)
    _on_header_field = staticmethod(ignore_text)
    _on_header_value = staticmethod(ignore_text)

    def _on_message_begin(self) -> None:
        if self.complete:
            raise ResponseError("more than one response to a request")

    def _on_headers_complete(self) -> None:
        pass

    def _on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise ResponseError(
                f"response body exceeds {MAX_RESPONSE_BYTES} bytes"
            )

    def _on_message_complete(self) -> None:
        self.complete = self.get_code() >= FIRST_FINAL_STATUS


class HeaderParser(ResponseParser):
    """Collects the headers as well.

    The library may pass a name or a value in several parts.
    """

    def __init__(self):
        super().__init__()
        self._headers: dict[str, str] = {}
        self._name = ""
        self._value: str | None = None

    def get_headers(self) -> dict[str, str]:
        """Return the header values by lower-case name."""
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

    A response whose end is marked only by the end of the connection is not
    accepted, because it can't be distinguished from a truncated one.

    Args:
        sock: A gevent socket.
        make_parser: Returns a parser: `ResponseParser`, or `HeaderParser` if
            the headers are needed.

    Returns:
        The response, or None if the connection was closed before the end of
        the response.

    Raises:
        OSError: The connection failed.
        ResponseError: The bytes received are not one HTTP response.
    """
    parser = make_parser()
    received = 0
    while not parser.complete:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return None
        received += len(data)
        if received > MAX_RESPONSE_BYTES + MAX_OVERHEAD_BYTES:
            raise ResponseError(f"response exceeds {received} bytes")
        try:
            parser.feed(data)
        except parsers.HTTPParseError as error:
            raise ResponseError(str(error)) from error
    return parser.read_response()
