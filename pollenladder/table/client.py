"""The client of the platform's table, object store and VM list.

Each request is sent at most once. Calls raise the errors of `table.exceptions`,
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
from pollenladder.table import conditional_reads
from pollenladder.table import entities
from pollenladder.table import exceptions
from pollenladder.table import messages

Message = TypeVar("Message", bound=pydantic.BaseModel)

OK = 200
BAD_REQUEST = 400
NOT_FOUND = 404
CONFLICT = 409
PRECONDITION_FAILED = 412
# Statuses for an invalid request, a body too large and a URI too long.
REFUSED_STATUSES = (BAD_REQUEST, 413, 414)
PAGE_ROWS = 500


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits on connections and times of a client.

    Attributes:
        connections: Maximum number of open connections.
        connect_timeout_s: Maximum time to open a connection, in seconds. It
            also limits the wait for a connection while all are in use.
        timeout_s: Time limit of a whole exchange, in seconds.
        idle_limit_s: Connections idle for longer, in seconds, are replaced.
    """

    connections: int = 4
    connect_timeout_s: float = 1.0
    timeout_s: float = 5.0
    idle_limit_s: float = 30.0


class PlatformClient:
    """Client of the platform with its own pool of connections."""

    def __init__(
        self,
        address: str,
        port: int,
        limits: Limits = Limits(),
        clock: clocks.Clock = clocks.read_monotonic_s,
    ):
        """Create the client without opening a connection.

        Args:
            address: The platform's IP address.
            port: The platform's port.
            limits: Limits on connections and times.
            clock: Returns the time in seconds.
        """
        self._address = (address, port)
        self._timeout_s = limits.timeout_s
        self._cache: conditional_reads.Cache = {}
        self._connections = connections.ConnectionPool(
            self._address,
            limits.connections,
            limits.connect_timeout_s,
            limits.idle_limit_s,
            clock,
        )

    def close(self) -> None:
        """Close all idle connections."""
        self._connections.close_idle()

    def get_row(self, key: str) -> entities.Row | None:
        """Return a row, or None if it does not exist.

        Raises:
            UnavailableError: The platform sent no usable response.
        """
        response = self._exchange("GET", f"/v1/table/{_quote(key)}")
        return _parse_row(response)

    def get_row_conditionally(self, key: str) -> entities.Row | None:
        """Return a row as `get_row` does, with a conditional request.

        An unchanged row is neither transferred nor parsed again. The last
        response is kept for the client's lifetime, so use this only for a few
        rows that are read often.

        Raises:
            UnavailableError: The platform sent no usable response.
        """
        return self._exchange_conditionally(
            f"/v1/table/{_quote(key)}", _parse_row
        )

    def list_rows(
        self, prefix: str, after: str = "", limit: int = PAGE_ROWS
    ) -> list[entities.Row]:
        """Return rows in key order.

        Args:
            prefix: Return only rows whose keys start with this.
            after: Return only rows with keys greater than this.
            limit: Maximum number of rows.

        Raises:
            UnavailableError: The platform sent no usable response.
        """
        query = {"prefix": prefix, "after": after, "limit": limit}
        target = f"/v1/table?{urllib.parse.urlencode(query)}"
        message = _parse_ok_body(
            self._exchange("GET", target), messages.RowsMessage
        )
        return [
            entities.Row(row.key, row.value, row.version)
            for row in message.rows
        ]

    def transact(
        self, checks: list[entities.Check], writes: list[entities.Write]
    ) -> dict[str, int]:
        """Apply all writes atomically if all checks hold, else none.

        Returns:
            The new version of each written row by key; 0 for a deleted row.

        Raises:
            ConflictError: A check failed.
            RequestRefusedError: The platform rejected the request as invalid.
            UnreachableError: The request was not sent and had no effect.
            NoReplyError: The request may have taken effect, or may do so
                later.
        """
        body = {
            "checks": [dataclasses.asdict(check) for check in checks],
            "writes": [_serialize_write(write) for write in writes],
        }
        data = json.dumps(body, allow_nan=False).encode()
        response = self._exchange("POST", "/v1/transactions", data)
        if response.status == CONFLICT:
            conflict = _parse_body(response, messages.ConflictMessage)
            raise exceptions.ConflictError(conflict.conflict, conflict.version)
        message = _parse_ok_body(response, messages.VersionsMessage)
        if message.versions.keys() != {write.key for write in writes}:
            raise exceptions.NoReplyError(
                "response lists versions of other rows than were written"
            )
        return message.versions

    def put_object(
        self, name: str, data: bytes, etag: str | None = None
    ) -> str:
        """Store an object and return its entity tag.

        Args:
            name: The name of the object.
            data: The bytes of the object.
            etag: If given, the object is only replaced if it still has this
                entity tag.

        Raises:
            EtagMismatchError: The object has another entity tag or is gone.
            RequestRefusedError: The platform rejected the request as invalid.
            UnreachableError: The request was not sent and had no effect.
            NoReplyError: The request may have taken effect, or may do so
                later.
        """
        response = self._exchange_object("PUT", name, data, etag)
        return _parse_ok_body(response, messages.EtagMessage).etag

    def get_object(self, name: str) -> entities.Object | None:
        """Return an object, or None if it does not exist.

        Raises:
            UnavailableError: The platform sent no usable response.
        """
        response = self._exchange_object("GET", name, b"", None)
        if response.status == NOT_FOUND:
            return None
        if response.status != OK or "etag" not in response.headers:
            raise exceptions.NoReplyError(f"status {response.status}")
        return entities.Object(response.body, response.headers["etag"])

    def delete_object(self, name: str, etag: str | None = None) -> bool:
        """Delete an object and return whether it existed.

        Args:
            name: The name of the object.
            etag: If given, the object is only deleted if it still has this
                entity tag.

        Raises:
            EtagMismatchError: The object has another entity tag or is gone.
            UnreachableError: The request was not sent and had no effect.
            NoReplyError: The request may have taken effect, or may do so
                later.
        """
        response = self._exchange_object("DELETE", name, b"", etag)
        if response.status == NOT_FOUND:
            return False
        _parse_ok_body(response, messages.EtagMessage)
        return True

    def list_vms(self, data_centres: Sequence[str] = ()) -> entities.VmList:
        """Return the VM list with a conditional request.

        The platform's list lags behind the actual VMs. An unchanged list is
        neither transferred nor parsed again.

        Args:
            data_centres: If given, the platform may omit endpoints in other
                data centres.

        Raises:
            UnavailableError: The platform sent no usable response.
        """
        target = "/v1/vms"
        if data_centres:
            query = [("data_centre", name) for name in data_centres]
            target += f"?{urllib.parse.urlencode(query)}"
        return self._exchange_conditionally(target, _parse_vms)

    def _exchange_conditionally(
        self, target: str, parse: Callable[[responses.Response], Any]
    ) -> Any:
        fields = conditional_reads.format_fields(self._cache, target)
        response = self._exchange("GET", target, b"", fields)
        return conditional_reads.read(self._cache, target, response, parse)

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
        head = exchanges.build_head(self._address, method, target)
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


def _serialize_write(write: entities.Write) -> dict[str, Any]:
    return {"key": write.key, "value": write.value}


def _parse_ok_body(
    response: responses.Response, message_type: type[Message]
) -> Message:
    """Return the message in the body of a 200 response.

    Raises:
        RequestRefusedError: The platform rejected the request as invalid.
        NoReplyError: The response has another status or an invalid body.
    """
    if response.status in REFUSED_STATUSES:
        detail = response.body[:200].decode("utf-8", "replace")
        raise exceptions.RequestRefusedError(detail)
    if response.status != OK:
        raise exceptions.NoReplyError(f"status {response.status}")
    return _parse_body(response, message_type)


def _parse_row(response: responses.Response) -> entities.Row | None:
    if response.status == NOT_FOUND:
        return None
    message = _parse_ok_body(response, messages.RowMessage)
    return entities.Row(message.key, message.value, message.version)


def _parse_vms(response: responses.Response) -> entities.VmList:
    message = _parse_ok_body(response, messages.VmsMessage)
    vms = tuple(convert_vm(vm) for vm in message.vms)
    return entities.VmList(message.version, vms)


def _parse_body(
    response: responses.Response, message_type: type[Message]
) -> Message:
    try:
        return message_type.model_validate_json(response.body)
    except pydantic.ValidationError as error:
        raise exceptions.NoReplyError(
            f"status {response.status}, invalid body"
        ) from error


def convert_vm(message: messages.VmMessage) -> core_entities.Vm:
    """Convert a row of the VM list to the daemon's entity."""
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
