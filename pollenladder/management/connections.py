"""HTTP to the platform's table and to the daemons, one request each."""

from collections.abc import Callable
import dataclasses
import json
from typing import Any
import urllib.parse

import gevent
import geventhttpclient
from geventhttpclient import response as http_response
import pydantic

from pollenladder.audit import exceptions as audit_exceptions
from pollenladder.audit import tables
from pollenladder.core import verdicts
from pollenladder.management import configuration

CONNECT_TIMEOUT_S = 2.0
REQUEST_TIMEOUT_S = 5.0
HTTP_OK = 200
HTTP_NOT_FOUND = 404
HTTP_CONFLICT = 409


@dataclasses.dataclass(frozen=True)
class Response:
    """A status code, and the JSON value of the body; None if it isn't JSON."""

    status: int
    body: Any


class RequestError(Exception):
    """No answer came.

    Attributes:
        verdict: `NOT_RUN` if no connection was made, else `MAY_HAVE_RUN`.
    """

    def __init__(self, detail: str, verdict: verdicts.Verdict):
        super().__init__(detail)
        self.verdict = verdict


# Address, method, path, token or None, JSON body or None.
Request = Callable[[configuration.Address, str, str, str | None, Any], Response]


def request(
    address: configuration.Address,
    method: str,
    path: str,
    token: str | None = None,
    body: Any = None,
) -> Response:
    """Send one request on a connection of its own, without retries.

    Raises:
        RequestError: No whole answer came in time.
    """
    client = geventhttpclient.HTTPClient(
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
            answer = client.request(method, path, data, headers)
            return Response(answer.status_code, _parse_body(answer.read()))
    except ConnectionRefusedError as error:
        detail = f"{address}: connection refused"
        raise RequestError(detail, verdicts.Verdict.NOT_RUN) from error
    except gevent.Timeout as error:
        detail = f"{address}: no answer in time"
        raise RequestError(detail, verdicts.Verdict.MAY_HAVE_RUN) from error
    except (OSError, http_response.HTTPParseError) as error:
        detail = f"{address}: {error or type(error).__name__}"
        raise RequestError(detail, verdicts.Verdict.MAY_HAVE_RUN) from error
    finally:
        client.close()


def open_table(
    address: configuration.Address, send: Request = request
) -> tables.Table:
    """Return the functions of the platform's table at an address."""

    def read(key: str) -> tables.Row | None:
        path = f"/v1/table/{urllib.parse.quote(key)}"
        answer = _read(send, address, path)
        if answer.status == HTTP_NOT_FOUND:
            return None
        return _parse(_Row, answer.body).build()

    def scan(prefix: str, after: str, limit: int) -> list[tables.Row]:
        query = urllib.parse.urlencode(
            {"prefix": prefix, "after": after, "limit": limit}
        )
        answer = _read(send, address, f"/v1/table?{query}")
        return [row.build() for row in _parse(_Rows, answer.body).rows]

    def commit(transaction: tables.Transaction) -> tables.Reply:
        body = _build_transaction(transaction)
        try:
            answer = send(address, "POST", "/v1/transactions", None, body)
        except RequestError as error:
            return tables.Unanswered(error.verdict, str(error))
        return _parse_reply(answer, transaction)

    return tables.Table(read, scan, commit)


class _Row(pydantic.BaseModel):
    key: str
    value: Any
    version: int

    def build(self) -> tables.Row:
        return tables.Row(self.key, self.value, self.version)


class _Rows(pydantic.BaseModel):
    rows: list[_Row]


class _Committed(pydantic.BaseModel):
    versions: dict[str, int]


class _Conflicted(pydantic.BaseModel):
    conflict: str
    version: int


def _read(send: Request, address, path: str) -> Response:
    try:
        answer = send(address, "GET", path, None, None)
    except RequestError as error:
        raise audit_exceptions.TableUnavailableError(str(error)) from error
    if answer.status not in (HTTP_OK, HTTP_NOT_FOUND):
        raise audit_exceptions.TableUnavailableError(
            f"{address}: status {answer.status}"
        )
    return answer


def _parse(model, body: Any):
    try:
        return model.model_validate(body)
    except pydantic.ValidationError as error:
        raise audit_exceptions.TableUnavailableError(
            f"the platform's answer has another form: {error}"
        ) from error


def _build_transaction(transaction: tables.Transaction) -> dict[str, Any]:
    checks = transaction.checks.items()
    writes = transaction.writes.items()
    return {
        "checks": [{"key": key, "version": version} for key, version in checks],
        "writes": [{"key": key, "value": value} for key, value in writes],
    }


def _parse_reply(
    answer: Response, transaction: tables.Transaction
) -> tables.Reply:
    try:
        if answer.status == HTTP_OK:
            body = _Committed.model_validate(answer.body)
            if body.versions.keys() == transaction.writes.keys():
                return tables.Committed(body.versions)
        if answer.status == HTTP_CONFLICT:
            conflict = _Conflicted.model_validate(answer.body)
            return tables.Conflicted(conflict.conflict, conflict.version)
    except pydantic.ValidationError:
        pass
    detail = f"status {answer.status} from the platform"
    return tables.Unanswered(verdicts.Verdict.MAY_HAVE_RUN, detail)


def _parse_body(data: bytes) -> Any:
    try:
        return json.loads(data)
    except ValueError:
        return None
