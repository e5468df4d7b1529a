"""HTTP interface of the simulated platform, as specified in the design page."""

import dataclasses
import hashlib
import json
from typing import Any

import gevent
import pydantic

from pollenladder.core import clocks
from standins import platform_messages
from standins import platform_table
from standins import platform_vms
from standins import servers

TABLE_PREFIX = "/v1/table/"
OBJECT_PREFIX = "/v1/objects/"
MAX_LISTED_ROWS = 1000
# The cache of VM lists is cleared when it holds this many answers.
MAX_CACHED_VM_ANSWERS = 64
JSON_TYPE = (("Content-Type", "application/json"),)


@dataclasses.dataclass(slots=True)
class Faults:
    """Active faults; `platform_messages.FaultsMessage` has their effects."""

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    vm_lag_s: float = 0.0
    silent: bool = False


@dataclasses.dataclass(slots=True)
class Counters:
    """Counts of served requests and of replies dropped by a fault."""

    reads: int = 0
    writes: int = 0
    vms_reads: int = 0
    lost: int = 0


class BadRequestError(Exception):
    """Raised for an invalid request, with the name of the invalid field."""


def reply_json(status: int, body: dict) -> servers.Reply:
    """Build a JSON reply."""
    return servers.Reply(status, body, JSON_TYPE)


def reply_with_etag(
    request: servers.Request, etag: str, body: Any
) -> servers.Reply:
    """Build a reply with an entity tag, or 304 if `If-None-Match` equals it."""
    if request.headers.get("If-None-Match") == etag:
        return servers.Reply(304, b"", (("ETag", etag),))
    return servers.Reply(200, body, (*JSON_TYPE, ("ETag", etag)))


def parse_body(
    message_type: type[platform_messages.Message], body: bytes
) -> platform_messages.Message:
    """Parse and validate a request body.

    Raises:
        BadRequestError: A field is invalid.
    """
    try:
        return message_type.model_validate_json(body)
    except pydantic.ValidationError as error:
        field = ".".join(str(part) for part in error.errors()[0]["loc"])
        raise BadRequestError(field or "body") from error


def compute_etag(value: bytes) -> str:
    """Return the entity tag of the bytes of an object."""
    return f'"{hashlib.sha256(value).hexdigest()[:32]}"'


class Platform:
    """The state and the request handlers of the platform.

    Attributes:
        faults: The active faults.
        counters: Counts of served requests.
    """

    def __init__(self, clock: clocks.Clock):
        self.faults = Faults()
        self.counters = Counters()
        self._clock = clock
        self._table = platform_table.Table()
        self._objects: dict[str, bytes] = {}
        self._vms = [platform_vms.EMPTY]
        self._vm_answer_cache: dict[tuple, tuple[str, bytes]] = {}

    def answer(self, request: servers.Request) -> servers.Reply | None:
        """Answer a request to the platform.

        Returns:
            The reply, or None to close the connection without an answer.
        """
        if self.faults.down:
            return None
        if self.faults.slow_s:
            gevent.sleep(self.faults.slow_s)
        if self.faults.silent:
            request.connection.discard_input()
            return None
        try:
            return self._route(request)
        except BadRequestError as error:
            return reply_json(400, {"field": str(error)})

    def control(self, request: servers.Request) -> servers.Reply:
        """Answer a control request."""
        try:
            match request.method, request.path:
                case "GET", "/control/counters":
                    return reply_json(200, dataclasses.asdict(self.counters))
                case "POST", "/control/vms":
                    return self._change_vms(request.body)
                case "POST", "/control/faults":
                    return self._apply_faults(request.body)
        except BadRequestError as error:
            return reply_json(400, {"field": str(error)})
        return reply_json(404, {"error": "not found"})

    def change_vms(self, message: platform_messages.VmsMessage) -> None:
        """Add, replace and remove rows of the VM list."""
        since_s = float("-inf") if message.at_once else self._clock()
        rows = [vm.model_dump(mode="json") for vm in message.set]
        self._vms = platform_vms.change(
            self._vms, rows, message.remove, since_s
        )

    def _route(self, request: servers.Request) -> servers.Reply | None:
        path = request.path
        if path == "/v1/transactions" and request.method == "POST":
            return self._transact(request.body)
        if path.startswith(OBJECT_PREFIX):
            return self._answer_object(request, path[len(OBJECT_PREFIX) :])
        if request.method != "GET":
            return reply_json(404, {"error": "not found"})
        if path == "/v1/vms":
            return self._read_vms(request)
        if path == "/v1/table":
            return self._list_rows(request)
        if path.startswith(TABLE_PREFIX):
            return self._get_row(request, path[len(TABLE_PREFIX) :])
        return reply_json(404, {"error": "not found"})

    def _get_row(self, request: servers.Request, key: str) -> servers.Reply:
        self.counters.reads += 1
        row = self._table.get(key)
        if row is None:
            return reply_json(404, {"key": key})
        body = dataclasses.asdict(row)
        return reply_with_etag(request, f'"{row.version}"', body)

    def _list_rows(self, request: servers.Request) -> servers.Reply:
        self.counters.reads += 1
        try:
            limit = int(request.get_parameter("limit", str(MAX_LISTED_ROWS)))
        except ValueError as error:
            raise BadRequestError("limit") from error
        rows = self._table.list_rows(
            request.get_parameter("prefix"),
            request.get_parameter("after"),
            max(0, min(limit, MAX_LISTED_ROWS)),
        )
        body = {"rows": [dataclasses.asdict(row) for row in rows]}
        return reply_json(200, body)

    def _transact(self, body: bytes) -> servers.Reply | None:
        self.counters.writes += 1
        message = parse_body(platform_messages.TransactionMessage, body)
        outcome = self._table.transact(
            [platform_table.Check(c.key, c.version) for c in message.checks],
            [platform_table.Write(w.key, w.value) for w in message.writes],
        )
        if isinstance(outcome, platform_table.Conflict):
            conflict = {"conflict": outcome.key, "version": outcome.version}
            return reply_json(409, conflict)
        if self.faults.lose_replies:
            self.faults.lose_replies -= 1
            self.counters.lost += 1
            return None
        return reply_json(200, {"versions": outcome})

    def _answer_object(
        self, request: servers.Request, name: str
    ) -> servers.Reply:
        if request.method == "GET":
            self.counters.reads += 1
        else:
            self.counters.writes += 1
        stored = self._objects.get(name)
        etag = compute_etag(stored) if stored is not None else ""
        expected = request.headers.get("If-Match")
        if expected is not None and expected != etag:
            return reply_json(412, {"etag": etag})
        match request.method:
            case "PUT":
                self._objects[name] = request.body
                return reply_json(200, {"etag": compute_etag(request.body)})
            case "GET" if stored is not None:
                return servers.Reply(200, stored, (("ETag", etag),))
            case "DELETE" if stored is not None:
                del self._objects[name]
                return reply_json(200, {"etag": etag})
        return reply_json(404, {"name": name})

    def _read_vms(self, request: servers.Request) -> servers.Reply:
        self.counters.vms_reads += 1
        visible = platform_vms.find_visible(
            self._vms, self._clock(), self.faults.vm_lag_s
        )
        data_centres = request.list_parameters("data_centre")
        key = (visible.version, data_centres)
        if key not in self._vm_answer_cache:
            if len(self._vm_answer_cache) >= MAX_CACHED_VM_ANSWERS:
                self._vm_answer_cache.clear()
            rows = platform_vms.list_rows(visible, data_centres)
            body = {"version": visible.version, "vms": rows}
            etag = compute_etag(json.dumps(rows).encode())
            data = json.dumps(body, separators=(",", ":")).encode()
            self._vm_answer_cache[key] = etag, data
        return reply_with_etag(request, *self._vm_answer_cache[key])

    def _change_vms(self, body: bytes) -> servers.Reply:
        self.change_vms(parse_body(platform_messages.VmsMessage, body))
        return reply_json(200, {"version": self._vms[-1].version})

    def _apply_faults(self, body: bytes) -> servers.Reply:
        message = parse_body(platform_messages.FaultsMessage, body)
        for name, value in message.model_dump(exclude_none=True).items():
            setattr(self.faults, name, value)
        return reply_json(200, dataclasses.asdict(self.faults))
