"""HTTP clients for the platform's table and for daemons."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
from typing import TypeVar

import gevent
import geventhttpclient
from geventhttpclient import response as http_response

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.management import configuration
from pollenladder.table import client
from pollenladder.table import entities
from pollenladder.table import exceptions

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
HTTP_NOT_FOUND = 404

Result = TypeVar("Result")


@dataclasses.dataclass(frozen=True)
class Response:
    """An HTTP response.

    Attributes:
        status: Status code.
        body: JSON value of the body, or None if the body isn't JSON.
    """

    status: int
    body: Any


class RequestError(Exception):
    """No response was received.

    Attributes:
        verdict: `NOT_RUN` if the connection was refused, else `MAY_HAVE_RUN`.
    """

    def __init__(self, detail: str, verdict: verdicts.Verdict):
        super().__init__(detail)
        self.verdict = verdict


# Arguments: address, method, path, token or None, JSON body or None.
Request = Callable[[configuration.Address, str, str, str | None, Any], Response]


def request(
    address: configuration.Address,
    method: str,
    path: str,
    token: str | None = None,
    body: Any = None,
) -> Response:
    """Send one request on a new connection, without retries.

    Args:
        address: Address of the server.
        method: HTTP method.
        path: Path of the URL.
        token: Bearer token, or None.
        body: JSON value to send, or None for an empty body.

    Raises:
        RequestError: No complete response was received in time.
    """
    connection = geventhttpclient.HTTPClient(
        address.host,
        address.port,
        connection_timeout=CONNECT_TIMEOUT_S,
        network_timeout=REQUEST_TIMEOUT_S,
    )
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    data = b"" if body is None else json.dumps(body).encode()
    try:
        with gevent.Timeout(CONNECT_TIMEOUT_S + REQUEST_TIMEOUT_S):
            answer = connection.request(method, path, data, headers)
            return Response(answer.status_code, _parse_body(answer.read()))
    except ConnectionRefusedError as error:
        detail = f"{address}: connection refused"
        raise RequestError(detail, verdicts.Verdict.NOT_RUN) from error
    except gevent.Timeout as error:
        detail = f"{address}: request timed out"
        raise RequestError(detail, verdicts.Verdict.MAY_HAVE_RUN) from error
    except (OSError, http_response.HTTPParseError) as error:
        detail = f"{address}: {error or type(error).__name__}"
        raise RequestError(detail, verdicts.Verdict.MAY_HAVE_RUN) from error
    finally:
        connection.close()


def open_table(address: configuration.Address) -> tables.Table:
    """Return the platform's table at an address.

    Reads raise `TableUnavailableError` if the platform does not reply.
    """
    platform = client.PlatformClient(
        address.host,
        address.port,
        client.Limits(
            connect_timeout_s=CONNECT_TIMEOUT_S, timeout_s=REQUEST_TIMEOUT_S
        ),
    )

    def read(key: str) -> tables.Row | None:
        row = _run_read(lambda: platform.get_row(key))
        return row and _convert_row(row)

    def scan(prefix: str, after: str, limit: int) -> list[tables.Row]:
        rows = _run_read(lambda: platform.list_rows(prefix, after, limit))
        return [_convert_row(row) for row in rows]

    def commit(transaction: tables.Transaction) -> tables.Reply:
        return _commit(platform, transaction)

    return tables.Table(read, scan, commit)


def _run_read(read: Callable[[], Result]) -> Result:
    try:
        return read()
    except exceptions.PlatformError as error:
        raise audit_exceptions.TableUnavailableError(str(error)) from error


def _convert_row(row: entities.Row) -> tables.Row:
    return tables.Row(row.key, row.value, row.version)


def _commit(
    platform: client.PlatformClient, transaction: tables.Transaction
) -> tables.Reply:
    checks = [entities.Check(*item) for item in transaction.checks.items()]
    writes = [entities.Write(*item) for item in transaction.writes.items()]
    try:
        return tables.Committed(platform.transact(checks, writes))
    except exceptions.ConflictError as error:
        return tables.Conflicted(error.key, error.version)
    except exceptions.PlatformError as error:
        return tables.Unanswered(error.verdict, str(error))


def _parse_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None
