"""The client of the platform's store: rows, conditional writes, feeds."""

import base64
from collections.abc import Callable
import dataclasses
import json
import time
import urllib.parse

import msgspec

from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from pollenladder.platform import exceptions
from pollenladder.platform import messages

CALL_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
IDLE_LIMIT_S = 30.0
MAX_CONNECTIONS = 8
ROWS_PER_PAGE = 500

_ROWS = msgspec.json.Decoder(messages.Rows)


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Attributes:
        key: Its key.
        value: Its bytes; empty if it was removed.
        version: Of its last change.
        is_removed: Whether a feed tells that it is gone.
    """

    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows as of one version of the store.

    Attributes:
        version: From which a feed goes on.
        rows: The rows.
    """

    version: int
    rows: tuple[Row, ...]


class Store:
    """The store, as one daemon uses it.

    Attributes:
        calls: Calls made, by kind.
    """

    def __init__(
        self,
        address: tuple[str, int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.calls = {"read": 0, "write": 0, "feed": 0}
        self._address = address
        self._pool = connections.Connections(
            address, MAX_CONNECTIONS, CONNECT_TIMEOUT_S, IDLE_LIMIT_S, clock
        )

    def read_table(self, table: str) -> Snapshot:
        """Read a whole table.

        Raises:
            exceptions.StoreError: There is no usable answer.
        """
        self.calls["read"] += 1
        rows: list[Row] = []
        first = ""
        version = 0
        while True:
            query = {"Table": table, "part": "", "Limit": ROWS_PER_PAGE}
            if first:
                query["From"] = first
            page = self._read("/rows-get", query, CALL_TIMEOUT_S)
            # Changes between two pages are told again by a feed from the first.
            version = version or page.ver
            rows += [_decode_row(row) for row in page.rows]
            if not page.has_more:
                return Snapshot(version, tuple(rows))
            first = page.rows[-1].key + "\0"

    def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Snapshot:
        """Return the rows changed after a version, once there are any.

        Raises:
            exceptions.HistoryLostError: Read the whole table again.
            exceptions.StoreError: There is no usable answer.
        """
        self.calls["feed"] += 1
        query = {"Table": table, "After": after, "WaitMs": int(wait_s * 1000)}
        page = self._read("/rows-feed", query, wait_s + CALL_TIMEOUT_S)
        return Snapshot(page.ver, tuple(_decode_row(r) for r in page.rows))

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row, whatever is there; it may be repeated.

        Raises:
            exceptions.StoreError: There is no usable answer.
        """
        row = {"Table": table, "part": "", "Key": key}
        row["Value"] = base64.b64encode(value).decode()
        self._write({"ExpectRev": [], "SetKeys": [row], "Delete": []})

    def delete(self, table: str, key: str) -> None:
        """Drop a row; it may be repeated.

        Raises:
            exceptions.StoreError: There is no usable answer.
        """
        row = {"Table": table, "part": "", "Key": key}
        self._write({"ExpectRev": [], "SetKeys": [], "Delete": [row]})

    def _write(self, transaction: dict) -> None:
        self.calls["write"] += 1
        body = json.dumps(transaction).encode()
        self._call("POST", "/rows-tx", body, CALL_TIMEOUT_S)

    def _read(
        self, path: str, query: dict[str, object], timeout_s: float
    ) -> messages.Rows:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        body = self._call("GET", target, b"", timeout_s)
        try:
            return _ROWS.decode(body)
        except msgspec.MsgspecError as error:
            raise exceptions.StoreError(f"{path}: {error}") from error

    def _call(
        self, method: str, target: str, body: bytes, timeout_s: float
    ) -> bytes:
        head = exchanges.build_head(self._address, method, target)
        request = exchanges.build_request(head, body)
        try:
            response = exchanges.exchange(self._pool, request, timeout_s)
        except http_exceptions.ExchangeError as error:
            raise exceptions.StoreError(f"{target}: {error}") from error
        return _check(target, response)


def _check(target: str, response: responses.Response) -> bytes:
    if response.status == 200:
        return response.body
    text = f"{target}: {response.status}"
    if response.status == 410:
        raise exceptions.HistoryLostError(text)
    if response.status in (429, 503):
        raise exceptions.StoreRefusedError(text)
    raise exceptions.StoreError(text)


def _decode_row(row: messages.Row) -> Row:
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # Whoever reads it says that it is of no use.
        value = b""
    return Row(row.key, value, row.ver, row.removed)
