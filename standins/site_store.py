"""Simulated platform store with rows, transactions and change feeds."""

import base64
from collections.abc import Callable
from collections.abc import Iterable
import dataclasses
import enum
import json
import time
from typing import Any
import urllib.parse

import gevent
from gevent import event

from standins import wsgi

# A response has at most this many rows, and values of at most this length.
MAX_ROWS = 500
MAX_PAGE_CHARS = 1_000_000
MAX_KEY_BYTES = 200


class FailureMode(enum.Enum):
    """The ways in which store calls fail.

    Attributes:
        NONE: Calls succeed.
        BUSY: Calls are answered with status 503.
        SILENT: Calls are not answered for 60 s, then the connection is closed.
        RESET: The connection is closed without an answer.
        GARBAGE: Calls are answered with a body that is not valid JSON.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    GARBAGE = "garbage"


@dataclasses.dataclass
class Faults:
    """Active faults of the store.

    Attributes:
        trouble: How calls fail.
        slow_s: Seconds by which each call is delayed.
        lost_replies: Number of transactions that are processed but not
            answered.
    """

    trouble: FailureMode = FailureMode.NONE
    slow_s: float = 0.0
    lost_replies: int = 0


@dataclasses.dataclass(frozen=True)
class _Row:
    table: str
    part: str
    key: str
    value: Any
    version: int
    is_removed: bool = False

    def encode(self) -> dict[str, Any]:
        row = {
            "Table": self.table,
            "part": self.part,
            "Key": self.key,
            "Ver": self.version,
        }
        if self.is_removed:
            return row | {"Removed": True}
        return row | {"Value": self.value}


class SiteStore:
    """Rows in memory and a WSGI application that serves them.

    Attributes:
        version: The version of the latest transaction.
        faults: The active faults.
        calls: Number of calls by path.
    """

    def __init__(
        self, rewrite: Callable[[str, str, bytes], bytes] | None = None
    ):
        """Create an empty store.

        Args:
            rewrite: Called with the table, the key and the value of each row
                that a daemon writes; returns the value to store.
        """
        self._rewrite = rewrite or (lambda table, key, value: value)
        self.version = 0
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._history: list[_Row] = []
        self._oldest_feed_version = 0
        self._changed = event.Event()

    def put(self, table: str, key: str, value: bytes, part: str = "") -> int:
        """Write a row on behalf of the platform and return its version."""
        text = base64.b64encode(value).decode()
        return self.put_text(table, key, text, part)

    def put_text(self, table: str, key: str, text: Any, part: str = "") -> int:
        """Write a row whose value may be any JSON value, not only base64."""
        self.version += 1
        self._record_change(_Row(table, part, key, text, self.version))
        self._wake_feeds()
        return self.version

    def remove_row(self, table: str, key: str, part: str = "") -> None:
        """Remove a row on behalf of the platform."""
        self.version += 1
        self._record_change(
            _Row(table, part, key, "", self.version, is_removed=True)
        )
        self._wake_feeds()

    def get(self, table: str, key: str) -> bytes | None:
        """Return the value of a row, or None."""
        row = self._rows.get((table, "", key))
        return base64.b64decode(row.value) if row else None

    def discard_history(self) -> None:
        """Discard all past changes; feeds that start before now get 410."""
        self._history.clear()
        self._oldest_feed_version = self.version

    def serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one call, or fail it according to the active faults."""
        path = environ["PATH_INFO"]
        self.calls[path] = self.calls.get(path, 0) + 1
        gevent.sleep(self.faults.slow_s)
        trouble = self.faults.trouble
        if trouble is FailureMode.SILENT:
            gevent.sleep(60)
        if trouble in (FailureMode.RESET, FailureMode.SILENT):
            return wsgi.drop_connection(environ)
        if trouble is FailureMode.BUSY:
            return _reply(start_response, 503, {})
        if trouble is FailureMode.GARBAGE:
            start_response("200 OK", [("Content-Length", "3")])
            return [b"\xff{]"]
        return self._route(path, environ, start_response)

    def _route(
        self, path: str, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        if path == "/rows-tx":
            body = json.loads(environ["wsgi.input"].read())
            status, reply = self._transact(body)
            if self.faults.lost_replies:
                self.faults.lost_replies -= 1
                return wsgi.drop_connection(environ)
            return _reply(start_response, status, reply)
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/rows-get":
            return _reply(start_response, *self._list_rows(query))
        if path == "/rows-feed":
            return _reply(start_response, *self._wait_for_changes(query))
        return _reply(start_response, 404, {})

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for expected in body["ExpectRev"]:
            row = self._rows.get(_get_row_id(expected))
            if (row.version if row else 0) != expected["Ver"]:
                rows = [row.encode()] if row else []
                return 412, self._add_version_and_clock({"rows": rows})
        self.version += 1
        for entry in body["SetKeys"]:
            row_id = _get_row_id(entry)
            table, _, key = row_id
            written = base64.b64decode(entry["Value"])
            value = self._rewrite(table, key, written)
            text = base64.b64encode(value).decode()
            self._record_change(_Row(*row_id, text, self.version))
        for entry in body["Delete"]:
            row_id = _get_row_id(entry)
            self._record_change(
                _Row(*row_id, "", self.version, is_removed=True)
            )
        self._wake_feeds()
        return 200, self._add_version_and_clock({})

    def _list_rows(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        first = query.get("From", "")
        if len(first.encode()) > MAX_KEY_BYTES:
            return 400, {}
        limit = min(int(query.get("Limit", MAX_ROWS)), MAX_ROWS)
        rows = sorted(
            (
                row
                for (table, part, key), row in self._rows.items()
                if table == query["Table"]
                and part == query.get("part", "")
                and key >= first
            ),
            key=lambda row: row.key.encode(),
        )
        return 200, self._build_page(rows, limit)

    def _wait_for_changes(
        self, query: dict[str, str]
    ) -> tuple[int, dict[str, Any]]:
        after = int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if after < self._oldest_feed_version:
                return 410, {}
            rows = [
                row
                for row in self._history
                if row.table == query["Table"] and row.version > after
            ]
            remaining_s = end - time.monotonic()
            if rows or remaining_s <= 0:
                return 200, self._build_page(rows, MAX_ROWS)
            self._changed.wait(remaining_s)

    def _build_page(self, rows: list[_Row], limit: int) -> dict[str, Any]:
        page: list[dict[str, Any]] = []
        size = 0
        for row in rows[:limit]:
            size += len(str(row.value))
            if page and size > MAX_PAGE_CHARS:
                break
            page.append(row.encode())
        return self._add_version_and_clock(
            {"rows": page, "HasMore": len(page) < len(rows)}
        )

    def _record_change(self, row: _Row) -> None:
        row_id = (row.table, row.part, row.key)
        if row.is_removed:
            self._rows.pop(row_id, None)
        else:
            self._rows[row_id] = row
        self._history.append(row)

    def _wake_feeds(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _add_version_and_clock(self, reply: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return reply | {"Ver": self.version, "NowMs": now_ms}


def _get_row_id(entry: dict[str, Any]) -> tuple[str, str, str]:
    return entry["Table"], entry.get("part", ""), entry["Key"]


def _reply(
    start_response: Callable, status: int, reply: dict[str, Any]
) -> list[bytes]:
    body = json.dumps(reply).encode()
    headers = [
        ("Content-Type", "application/json"),
        ("Content-Length", str(len(body))),
    ]
    start_response(f"{status} Stand-in", headers)
    return [body]
