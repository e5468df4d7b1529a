"""Responses, read from a socket by geventhttpclient's parser."""

import dataclasses
from typing import Any

from geventhttpclient import response as parsers

RECEIVE_BYTES = 65536
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
FIRST_FINAL_STATUS = 200


class ResponseError(Exception):
    """Bytes that are not one HTTP response."""


@dataclasses.dataclass(frozen=True, slots=True)
class Response:
    """One response.

    Attributes:
        status: The HTTP status.
        headers: Values by lower-case name; of repeated fields the last.
        body: The whole body.
        keeps_alive: Whether the connection may be used again.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    keeps_alive: bool


class ResponseParser(parsers.HTTPResponseParser):
    """Collects exactly one final response.

    The library's own response class also stores header objects and handles
    sockets, at three times the cost.

    Attributes:
        complete: Whether the final response has ended.
    """

    def __init__(self):
        super().__init__()
        self.complete = False
        self._body = bytearray()
        self._headers: dict[str, str] = {}
        self._name = ""
        self._value: str | None = None

    def read_response(self) -> Response:
        """Return the response once it is complete."""
        self._store_header()
        return Response(
            self.get_code(),
            self._headers,
            bytes(self._body),
            self.should_keep_alive(),
        )

    def _store_header(self) -> None:
        if self._value is not None:
            self._headers[self._name.lower()] = self._value
        self._name = ""
        self._value = None

    # The library calls these, and parts of a name or value may come apart.

    def _on_message_begin(self) -> None:
        if self.complete:
            raise ResponseError("more than one response")

    def _on_status(self, _text: str) -> None:
        pass

    def _on_header_field(self, text: str) -> None:
        if self._value is not None:
            self._store_header()
        self._name += text

    def _on_header_value(self, text: str) -> None:
        self._value = (self._value or "") + text

    def _on_headers_complete(self) -> None:
        pass

    def _on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > MAX_RESPONSE_BYTES:
            raise ResponseError(f"more than {MAX_RESPONSE_BYTES} bytes")

    def _on_message_complete(self) -> None:
        self.complete = self.get_code() >= FIRST_FINAL_STATUS


def receive_response(sock: Any) -> Response | None:
    """Read one response from a socket.

    A response that ends with its connection is not taken, as it cannot be
    told from a truncated one.

    Returns:
        The response, or None if the connection was closed before its end.

    Raises:
        OSError: The connection failed.
        ResponseError: What arrived is not one HTTP response.
    """
    parser = ResponseParser()
    while not parser.complete:
        data = sock.recv(RECEIVE_BYTES)
        if not data:
            return None
        try:
            parser.feed(data)
        except parsers.HTTPParseError as error:
            raise ResponseError(str(error)) from error
    return parser.read_response()
