"""The client of the platform's store.

It reads tables, writes and deletes rows, and follows the changes of a table.
"""

import base64
from collections.abc import Callable
import dataclasses
import json
import time
import urllib.parse

from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from pollenladder.platform import exceptions
from pollenladder.platform import messages
from pollenladder.platform import pages

REQUEST_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 0.5
# Connections that have been idle for longer are not used again.
IDLE_LIMIT_S = 30.0
MAX_CONNECTIONS = 8
ROWS_PER_PAGE = 500


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """A row of a table.

    Attributes:
        key: The row's key.
        value: The row's value; empty if the row was removed.
        version: The store's version of the row's last change.
        is_removed: Whether a feed reports that the row was removed.
    """

    key: str
    value: bytes
    version: int
    is_removed: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """Rows as of one version of the store.

    Attributes:
        version: The version to pass to `wait_for_changes` for later changes.
        rows: All rows of a table, or those that have changed.
    """

    version: int
    rows: tuple[Row, ...]


class Store:
    """The client through which one daemon uses the store.

    Attributes:
        calls: Calls made so far, by kind: "read", "write" or "feed".
    """

    def __init__(
        self,
        address: tuple[str, int],
        clock: Callable[[], float] = time.monotonic,
    ):
        self.calls = {"read": 0, "write": 0, "feed": 0}
        self._address = address
        self._pool = connections.ConnectionPool(
            address, MAX_CONNECTIONS, CONNECT_TIMEOUT_S, IDLE_LIMIT_S, clock
        )

    def read_table(self, table: str) -> Snapshot:
        """Read a whole table.

        Raises:
            exceptions.StoreError: The store gave no usable response.
        """
        self.calls["read"] += 1
        rows: list[Row] = []
        # Key of the last row that was read. The next page begins with it, as the
        # store need not accept a key that is longer by one character.
        last = ""
        version = 0
        while True:
            query = {"Table": table, "part": "", "Limit": ROWS_PER_PAGE}
            if last:
                query["From"] = last
            page = self._read("/rows-get", query, REQUEST_TIMEOUT_S)
            # Keep the version of the first page: a feed from there on repeats
            # the changes that were made between two pages.
            version = version or page.ver
            found = [row for row in _decode_rows(page) if row.key != last]
            rows += found
            if not page.has_more:
                return Snapshot(version, tuple(rows))
            keys = [row.key for row in found if row.key]
            if not keys:
                raise exceptions.StoreError(
                    "a page without new rows is not the last"
                )
            last = keys[-1]

    def read_row(self, table: str, key: str) -> Row | None:
        """Read one row, or None if there is none.

        Raises:
            exceptions.StoreError: The store gave no usable response.
        """
        self.calls["read"] += 1
        query = {"Table": table, "part": "", "From": key, "Limit": 1}
        page = self._read("/rows-get", query, REQUEST_TIMEOUT_S)
        for row in _decode_rows(page):
            if row.key == key:
                return row
        return None

    def wait_for_changes(
        self, table: str, after: int, wait_s: float
    ) -> Snapshot:
        """Return the rows changed after a version.

        The store answers as soon as there is a change, or after the wait.

        Args:
            table: The table.
            after: The version after which changes are returned.
            wait_s: The longest wait for a change, in seconds.

        Raises:
            exceptions.HistoryLostError: The store no longer has all changes
                since that version; the whole table must be read again.
            exceptions.StoreError: The store gave no usable response.
        """
        self.calls["feed"] += 1
        rows: list[Row] = []
        while True:
            wait_ms = int(wait_s * 1000)
            query = {"Table": table, "After": after, "WaitMs": wait_ms}
            page = self._read("/rows-feed", query, wait_s + REQUEST_TIMEOUT_S)
            rows += _decode_rows(page)
            last = max((row.ver for row in page.rows), default=after)
            if not page.has_more or last <= after:
                return Snapshot(page.ver, tuple(rows))
            # The version of the page may be past the changes that it lacks.
            after = last
            wait_s = 0.0

    def put(self, table: str, key: str, value: bytes) -> None:
        """Write a row unconditionally; the write is idempotent.

        Raises:
            exceptions.StoreError: The store gave no usable response.
        """
        row = {"Table": table, "part": "", "Key": key}
        row["Value"] = base64.b64encode(value).decode()
        self._write({"ExpectRev": [], "SetKeys": [row], "Delete": []})

    def replace(self, table: str, key: str, value: bytes, version: int) -> None:
        """Write a row if it still has the version that was read.

        Args:
            table: The table.
            key: The row's key.
            value: The new value.
            version: The row's version; 0 if the row did not exist.

        Raises:
            exceptions.RowChangedError: The row has changed since.
            exceptions.StoreError: The store gave no usable response.
        """
        address = {"Table": table, "part": "", "Key": key}
        text = base64.b64encode(value).decode()
        self._write(
            {
                "ExpectRev": [address | {"Ver": version}],
                "SetKeys": [address | {"Value": text}],
                "Delete": [],
            }
        )

    def delete(self, table: str, key: str) -> None:
        """Delete a row; the deletion is idempotent.

        Raises:
            exceptions.StoreError: The store gave no usable response.
        """
        row = {"Table": table, "part": "", "Key": key}
        self._write({"ExpectRev": [], "SetKeys": [], "Delete": [row]})

    def _write(self, transaction: dict) -> None:
        self.calls["write"] += 1
        body = json.dumps(transaction).encode()
        self._call("POST", "/rows-tx", body, REQUEST_TIMEOUT_S)

    def _read(
        self, path: str, query: dict[str, object], timeout_s: float
    ) -> messages.Rows:
        target = f"{path}?{urllib.parse.urlencode(query)}"
        body = self._call("GET", target, b"", timeout_s)
        try:
            return pages.decode_page(body)
        except exceptions.StoreError as error:
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
        return _get_body(target, response)


def _get_body(target: str, response: responses.Response) -> bytes:
    """Return the body of a successful response; raise an error otherwise."""
    if response.status == 200:
        return response.body
    text = f"{target}: {response.status}"
    # 412: a condition of a transaction does not hold.
    # 410: the feed no longer has the requested changes. 429 and 503: the store
    # is overloaded or limits the rate of this daemon's requests.
    if response.status == 412:
        raise exceptions.RowChangedError(text)
    if response.status == 410:
        raise exceptions.HistoryLostError(text)
    if response.status in (429, 503):
        raise exceptions.StoreRefusedError(text)
    raise exceptions.StoreError(text)


def _decode_rows(page: messages.Rows) -> list[Row]:
    """Decode the rows of a page that are used here.

    A feed reports the rows of all parts of a table. The rows used here have no
    part, and other writers may use the same keys in other parts.
    """
    return [_decode_row(row) for row in page.rows if not row.part]


def _decode_row(row: messages.Row) -> Row:
    try:
        value = base64.b64decode(row.value, validate=True)
    except ValueError:
        # An invalid value becomes empty instead of failing the whole table; the
        # reader of the row rejects the empty value.
        value = b""
    return Row(row.key, value, row.ver, row.removed)
