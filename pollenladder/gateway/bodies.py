"""Read request bodies within limits on size, time and memory."""

from collections.abc import Iterator
import contextlib
from typing import Any

import gevent

from pollenladder.gateway import exceptions
from pollenladder.gateway import limits

JSON_MEDIA_TYPE = "application/json"


class InFlight:
    """Requests in progress, counted against the limits of the server.

    Attributes:
        bounds: The limits.
        waiting_requests: Number of requests that wait for a job's answer.
        body_bytes: Total size of the bodies being read or processed.
    """

    def __init__(self, bounds: limits.Limits):
        self.bounds = bounds
        self.waiting_requests = 0
        self.body_bytes = 0

    def _make_overload_error(self, detail: str) -> exceptions.RequestError:
        return exceptions.RequestError(
            503, "overload", "request", detail, self.bounds.retry_after_s
        )

    @contextlib.contextmanager
    def admit_body(self, size: int) -> Iterator[None]:
        """Count a body of `size` bytes while it is in use.

        Raises:
            exceptions.RequestError: 503, the limit on the bytes of all bodies
                together would be exceeded.
        """
        if self.body_bytes + size > self.bounds.max_held_bytes:
            raise self._make_overload_error("too many bodies at a time")
        self.body_bytes += size
        try:
            yield
        finally:
            self.body_bytes -= size

    @contextlib.contextmanager
    def admit_waiting_request(self) -> Iterator[None]:
        """Count a request while it waits for a job's answer.

        Raises:
            exceptions.RequestError: 503, the limit on waiting requests is
                reached.
        """
        if self.waiting_requests >= self.bounds.max_jobs:
            raise self._make_overload_error("too many jobs at a time")
        self.waiting_requests += 1
        try:
            yield
        finally:
            self.waiting_requests -= 1


def check_content_type(environ: dict[str, Any]) -> None:
    """Check that the `Content-Type` of a request is JSON.

    Raises:
        exceptions.RequestError: 415, the content type is another one.
    """
    media_type = environ.get("CONTENT_TYPE", "").split(";")[0]
    if media_type.strip().lower() != JSON_MEDIA_TYPE:
        raise exceptions.RequestError(
            415, "media_type", "Content-Type", f"must be {JSON_MEDIA_TYPE}"
        )


def get_size(environ: dict[str, Any], max_bytes: int) -> int:
    """Return the declared size of the body, in bytes.

    A chunked body declares no size; the upper bound `max_bytes` is returned
    for it.

    Raises:
        exceptions.RequestError: 413, the declared size exceeds `max_bytes`;
            400, the transfer encoding is not supported.
    """
    encoding = environ.get("HTTP_TRANSFER_ENCODING")
    if encoding is not None:
        if encoding.strip().lower() != "chunked":
            raise exceptions.RequestError(
                400, "encoding", "Transfer-Encoding", "only chunked"
            )
        return max_bytes
    size = int(environ.get("CONTENT_LENGTH") or 0)
    if size > max_bytes:
        raise exceptions.RequestError(
            413, "too_large", "body", f"at most {max_bytes} bytes"
        )
    return size


def read_body(
    environ: dict[str, Any], max_bytes: int, timeout_s: float
) -> bytes:
    """Read and return the whole body.

    Raises:
        exceptions.RequestError: 408, the body was not complete after
            `timeout_s` seconds; 400, it ended early or is malformed; 413, it
            is longer than `max_bytes`.
    """
    timeout_error = exceptions.RequestError(
        408, "timeout", "body", f"not whole within {timeout_s:g} s"
    )
    try:
        with gevent.Timeout(timeout_s, timeout_error):
            # One byte above the limit shows that the body is too long.
            body = environ["wsgi.input"].read(max_bytes + 1)
    except OSError as error:
        raise exceptions.RequestError(
            400, "incomplete", "body", "the body ended early or is malformed"
        ) from error
    if len(body) > max_bytes:
        raise exceptions.RequestError(
            413, "too_large", "body", f"at most {max_bytes} bytes"
        )
    return body
