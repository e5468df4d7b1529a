"""The client of the platform's table, object store and VM list.

No request is ever sent twice. Calls raise the errors of `platform.exceptions`,
which tell whether a write took effect.
"""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import json
from typing import Any
from typing import TypeVar
import urllib.parse

import pydantic

from pollenladder.core import clocks
from pollenladder.core import entities as core_entities
from pollenladder.http import connections
from pollenladder.http import exceptions as http_exceptions
from pollenladder.http import exchanges
from pollenladder.http import responses
from pollenladder.table import entities
from pollenladder.table import exceptions
from pollenladder.table import messages
from pollenladder.table import rereads

Message = TypeVar("Message", bound=pydantic.BaseModel)

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
REFUSED = (BAD_REQUEST, 413, 414)
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True)
class Limits:
    """Connections and times of a client.

    Attributes:
        connections: Open at once.
        connect_timeout_s: For opening a connection, or waiting for a free
            place, in seconds.
        timeout_s: For the whole of an exchange, in seconds.
        idle_limit_s: Connections idle for longer are opened anew.
    """

    connections: int = 4
    connect_timeout_s: float = 1.0
    timeout_s: float = 5.0
    idle_limit_s: float = 30.0


class PlatformClient:
    """Requests to the platform, over connections of its own."""

    def __init__(
        self,
        address: str,
        port: int,
        limits: Limits = Limits(),
        clock: clocks.Clock = clocks.read_monotonic_s,
    ):
        """Prepare the client; nothing is opened yet.

        Args:
            address: The platform's IP number.
            port: Its port.
            limits: Connections and times.
            clock: The time, in seconds.
        """
        self._place = (address, port)
        self._timeout_s = limits.timeout_s
        self._seen: rereads.Table = {}
        self._connections = connections.Connections(
            self._place,
            limits.connections,
            limits.connect_timeout_s,
            limits.idle_limit_s,
            clock,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close_idle()

    def get_row(self, key: str) -> entities.Row | None:
        """Return a row, or None if there is none.

        Raises:
            UnavailableError: No usable answer.
        """
        response = self._exchange("GET", f"/v1/table/{_quote(key)}")
        return _read_row(response)

    def reread_row(self, key: str) -> entities.Row | None:
        """Return a row as `get_row` does; cheap while it has not changed.

        The last answer is kept, so this is for a few rows that are read often.

        Raises:
            UnavailableError: No usable answer.
        """
        return self._reread(f"/v1/table/{_quote(key)}", _read_row)

    def list_rows(
        self, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> list[entities.Row]:
        """Return rows in key order.

        Args:
            prefix: What the keys begin with.
            after: Only keys above this one.
            limit: At most so many rows.

        Raises:
            UnavailableError: No usable answer.
        """
        query = {"prefix": prefix, "after": after, "limit": limit}
        target = f"/v1/table?{urllib.parse.urlencode(query)}"
        message = _read(self._exchange("GET", target), messages.RowsMessage)
        return [
            entities.Row(row.key, row.value, row.version)
            for row in message.rows
        ]

    def transact(
        self, checks: list[entities.Check], writes: list[entities.Write]
    ) -> dict[str, int]:
        """Apply all writes if all checks hold, else none.

        Returns:
            The new version of each written row; 0 for a deleted one.

        Raises:
            ConflictError: A check failed.
            RequestRefusedError: The platform calls the request wrong.
            UnreachableError: It had no effect.
            NoReplyError: It may have taken effect, or may yet do so.
        """
        body = {
            "checks": [dataclasses.asdict(check) for check in checks],
            "writes": [_describe_write(write) for write in writes],
        }
        data = json.dumps(body, allow_nan=False).encode()
        response = self._exchange("POST", "/v1/transactions", data)
        if response.status == CONFLICT:
            conflict = _read_status(response, messages.ConflictMessage)
            raise exceptions.ConflictError(conflict.conflict, conflict.version)
        message = _read(response, messages.VersionsMessage)
        if message.versions.keys() != {write.key for write in writes}:
            raise exceptions.NoReplyError("versions of other rows")
        return message.versions

    def put_object(
        self, name: str, data: bytes, etag: str | None = None
    ) -> str:
        """Store an object and return its entity tag.

        Args:
            name: The object.
            data: Its bytes.
            etag: If given, the entity tag it must have had.

        Raises:
            EtagMismatchError: It is another one.
            RequestRefusedError: The platform calls the request wrong.
            UnreachableError: It had no effect.
            NoReplyError: It may have taken effect, or may yet do so.
        """
        response = self._exchange_object("PUT", name, data, etag)
        return _read(response, messages.EtagMessage).etag

    def get_object(self, name: str) -> entities.Object | None:
        """Return an object, or None if there is none.

        Raises:
            UnavailableError: No usable answer.
        """
        response = self._exchange_object("GET", name, b"", None)
        if response.status == NOT_FOUND:
            return None
        if response.status != OK or "etag" not in response.headers:
            raise exceptions.NoReplyError(f"status {response.status}")
        return entities.Object(response.body, response.headers["etag"])

    def delete_object(self, name: str, etag: str | None = None) -> bool:
        """Delete an object; return whether it was there.

        Raises:
            EtagMismatchError: It is not the one with the entity tag.
            UnreachableError: It had no effect.
            NoReplyError: It may have taken effect, or may yet do so.
        """
        response = self._exchange_object("DELETE", name, b"", etag)
        if response.status == NOT_FOUND:
            return False
        _read(response, messages.EtagMessage)
        return True

    def list_vms(self, data_centres: Sequence[str] = ()) -> entities.VmList:
        """Return the VM list, which lags; cheap while it has not changed.

        Args:
            data_centres: If given, endpoints of others may be left out.

        Raises:
            UnavailableError: No usable answer.
        """
        target = "/v1/vms"
        if data_centres:
            query = [("data_centre", name) for name in data_centres]
            target += f"?{urllib.parse.urlencode(query)}"
        return self._reread(target, _read_vms)

    def _reread(
        self, target: str, parse: Callable[[responses.Response], Any]
    ) -> Any:
        fields = rereads.format_fields(self._seen, target)
        response = self._exchange("GET", target, b"", fields)
        return rereads.read(self._seen, target, response, parse)

    def _exchange_object(
        self, method: str, name: str, data: bytes, etag: str | None
    ) -> responses.Response:
        fields = f"If-Match: {etag}\r\n".encode("latin-1") if etag else b""
        target = f"/v1/objects/{_quote(name)}"
        response = self._exchange(method, target, data, fields)
        if response.status == PRECONDITION_FAILED:
            raise exceptions.EtagMismatchError(name)
        return response

    def _exchange(
        self, method: str, target: str, body: bytes = b"", fields: bytes = b""
    ) -> responses.Response:
        head = exchanges.build_head(self._place, method, target)
        request = exchanges.build_request(head, body, fields)
        try:
            return exchanges.exchange(
                self._connections,
                request,
                self._timeout_s,
                responses.HeaderParser,
            )
        except http_exceptions.NotSentError as error:
            raise exceptions.UnreachableError(str(error)) from error
        except http_exceptions.NoResponseError as error:
            raise exceptions.NoReplyError(str(error)) from error


def _quote(text: str) -> str:
    return urllib.parse.quote(text, safe="/")


def _describe_write(write: entities.Write) -> dict[str, Any]:
    return {"key": write.key, "value": write.value}


def _read(response: responses.Response, message_type: type[Message]) -> Message:
    """Return the message of a 200 response; any other is an error."""
    if response.status in REFUSED:
        detail = response.body[:200].decode("utf-8", "replace")
        raise exceptions.RequestRefusedError(detail)
    if response.status != OK:
        raise exceptions.NoReplyError(f"status {response.status}")
    return _read_status(response, message_type)


def _read_row(response: responses.Response) -> entities.Row | None:
    if response.status == NOT_FOUND:
        return None
    message = _read(response, messages.RowMessage)
    return entities.Row(message.key, message.value, message.version)


def _read_vms(response: responses.Response) -> entities.VmList:
    message = _read(response, messages.VmsMessage)
    vms = tuple(convert_vm(vm) for vm in message.vms)
    return entities.VmList(message.version, vms)


def _read_status(
    response: responses.Response, message_type: type[Message]
) -> Message:
    try:
        return message_type.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        raise exceptions.NoReplyError(
            f"status {response.status}, unreadable body"
        ) from error


def convert_vm(message: messages.VmMessage) -> core_entities.Vm:
    """Return a row of the VM list as the daemon holds it."""
    return core_entities.Vm(
        message.vm_id,
        core_entities.VmRole(message.role),
        message.data_centre,
        message.rack,
        str(message.address),
        message.port,
        message.http_port,
        core_entities.VmState(message.state),
        message.slots,
        message.connections,
    )
