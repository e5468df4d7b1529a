"""A stand-in of the users' platform's store: rows, transactions, feeds."""

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

MAX_ROWS = 500


class Trouble(enum.Enum):
    """How the store fails."""

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    RESET = "reset"
    GARBAGE = "garbage"


@dataclasses.dataclass
class Faults:
    """What goes wrong.

    Attributes:
        trouble: How calls fail.
        slow_s: Added to each call, in seconds.
        lost_replies: So many writes take effect and are not answered.
    """

    trouble: Trouble = Trouble.NONE
    slow_s: float = 0.0
    lost_replies: int = 0


@dataclasses.dataclass(frozen=True)
class _Row:
    table: str
    part: str
    key: str
    value: str
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
    """The rows, and a WSGI application that serves them.

    Attributes:
        version: Of the newest transaction.
        faults: What goes wrong.
        calls: Calls by path.
    """

    def __init__(
        self, rewrite: Callable[[str, str, bytes], bytes] | None = None
    ):
        """Make an empty store.

        Args:
            rewrite: Changes the values that daemons write, by table and key.
        """
        self._rewrite = rewrite or (lambda table, key, value: value)
        self.version = 0
        self.faults = Faults()
        self.calls: dict[str, int] = {}
        self._rows: dict[tuple[str, str, str], _Row] = {}
        self._history: list[_Row] = []
        self._oldest = 0
        self._changed = event.Event()

    def put(self, table: str, key: str, value: bytes) -> int:
        """Write a row as the platform itself does; return its version."""
        self.version += 1
        text = base64.b64encode(value).decode()
        self._keep(_Row(table, "", key, text, self.version))
        self._announce()
        return self.version

    def drop(self, table: str, key: str) -> None:
        """Remove a row as the platform itself does."""
        self.version += 1
        self._keep(_Row(table, "", key, "", self.version, is_removed=True))
        self._announce()

    def get(self, table: str, key: str) -> bytes | None:
        """Return a row's value, or None."""
        row = self._rows.get((table, "", key))
        return base64.b64decode(row.value) if row else None

    def forget_history(self) -> None:
        """Keep no change that has been made so far."""
        self._history.clear()
        self._oldest = self.version

    def serve(
        self, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        """Answer one call, or fail as the faults say."""
        path = environ["PATH_INFO"]
        self.calls[path] = self.calls.get(path, 0) + 1
        gevent.sleep(self.faults.slow_s)
        trouble = self.faults.trouble
        if trouble is Trouble.SILENT:
            gevent.sleep(60)
        if trouble in (Trouble.RESET, Trouble.SILENT):
            return wsgi.drop(environ)
        if trouble is Trouble.BUSY:
            return _reply(start_response, 503, {})
        if trouble is Trouble.GARBAGE:
            start_response("200 OK", [("Content-Length", "3")])
            return [b"\xff{]"]
        return self._serve_sound(path, environ, start_response)

    def _serve_sound(
        self, path: str, environ: dict[str, Any], start_response: Callable
    ) -> Iterable[bytes]:
        if path == "/rows-tx":
            body = json.loads(environ["wsgi.input"].read())
            status, reply = self._transact(body)
            if self.faults.lost_replies:
                self.faults.lost_replies -= 1
                return wsgi.drop(environ)
            return _reply(start_response, status, reply)
        query = dict(urllib.parse.parse_qsl(environ.get("QUERY_STRING", "")))
        if path == "/rows-get":
            return _reply(start_response, 200, self._read(query))
        if path == "/rows-feed":
            return _reply(start_response, *self._feed(query))
        return _reply(start_response, 404, {})

    def _transact(self, body: dict[str, Any]) -> tuple[int, dict[str, Any]]:
        for expected in body["ExpectRev"]:
            row = self._rows.get(_get_place(expected))
            if (row.version if row else 0) != expected["Ver"]:
                rows = [row.encode()] if row else []
                return 412, self._stamp({"rows": rows})
        self.version += 1
        for entry in body["SetKeys"]:
            place = _get_place(entry)
            table, _, key = place
            written = base64.b64decode(entry["Value"])
            value = self._rewrite(table, key, written)
            text = base64.b64encode(value).decode()
            self._keep(_Row(*place, text, self.version))
        for entry in body["Delete"]:
            place = _get_place(entry)
            self._keep(_Row(*place, "", self.version, is_removed=True))
        self._announce()
        return 200, self._stamp({})

    def _read(self, query: dict[str, str]) -> dict[str, Any]:
        first = query.get("From", "")
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
        found = [row.encode() for row in rows[:limit]]
        return self._stamp({"rows": found, "HasMore": len(rows) > limit})

    def _feed(self, query: dict[str, str]) -> tuple[int, dict[str, Any]]:
        after = int(query["After"])
        end = time.monotonic() + int(query.get("WaitMs", 0)) / 1000
        while True:
            if after < self._oldest:
                return 410, {}
            rows = [
                row.encode()
                for row in self._history
                if row.table == query["Table"] and row.version > after
            ]
            left_s = end - time.monotonic()
            if rows or left_s <= 0:
                return 200, self._stamp({"rows": rows, "HasMore": False})
            self._changed.wait(left_s)

    def _keep(self, row: _Row) -> None:
        place = (row.table, row.part, row.key)
        if row.is_removed:
            self._rows.pop(place, None)
        else:
            self._rows[place] = row
        self._history.append(row)

    def _announce(self) -> None:
        self._changed.set()
        self._changed.clear()

    def _stamp(self, reply: dict[str, Any]) -> dict[str, Any]:
        now_ms = int(time.monotonic() * 1000)
        return reply | {"Ver": self.version, "NowMs": now_ms}


def _get_place(entry: dict[str, Any]) -> tuple[str, str, str]:
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
