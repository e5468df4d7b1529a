"""Bodies of requests, within bounds of size, time and memory."""

from collections.abc import Iterator
import contextlib
from typing import Any

import gevent

from pollenladder.gateway import exceptions
from pollenladder.gateway import limits

MEDIA_TYPE = "application/json"


class Holdings:
    """What requests in progress hold.

    Attributes:
        jobs: Requests that wait for a job.
        held_bytes: Bodies being read or worked on.
    """

    def __init__(self, bounds: limits.Limits):
        self.bounds = bounds
        self.jobs = 0
        self.held_bytes = 0

    def _refuse(self, what: str) -> exceptions.RequestError:
        return exceptions.RequestError(
            503, "overload", "request", what, self.bounds.retry_after_s
        )

    @contextlib.contextmanager
    def hold_bytes(self, size: int) -> Iterator[None]:
        """Count a body while it is in use.

        Raises:
            exceptions.RequestError: 503, too many bytes are held already.
        """
        if self.held_bytes + size > self.bounds.max_held_bytes:
            raise self._refuse("too many bodies at a time")
        self.held_bytes += size
        try:
            yield
        finally:
            self.held_bytes -= size

    @contextlib.contextmanager
    def hold_job(self) -> Iterator[None]:
        """Count a request while it waits for a job.

        Raises:
            exceptions.RequestError: 503, too many are waiting already.
        """
        if self.jobs >= self.bounds.max_jobs:
            raise self._refuse("too many jobs at a time")
        self.jobs += 1
        try:
            yield
        finally:
            self.jobs -= 1


def check_content_type(environ: dict[str, Any]) -> None:
    """Check that a request announces JSON.

    Raises:
        exceptions.RequestError: 415, it does not.
    """
    media_type = environ.get("CONTENT_TYPE", "").split(";")[0]
    if media_type.strip().lower() != MEDIA_TYPE:
        raise exceptions.RequestError(
            415, "media_type", "Content-Type", f"must be {MEDIA_TYPE}"
        )


def get_size(environ: dict[str, Any], max_bytes: int) -> int:
    """Return the body's size, or the bound if it comes in chunks.

    Raises:
        exceptions.RequestError: 413, it announces more than `max_bytes`; 400,
            it is encoded in a way that is not understood.
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
    """Return the whole body.

    Raises:
        exceptions.RequestError: 408, it did not come whole in time; 400, it
            never will; 413, it is longer than `max_bytes`.
    """
    late = exceptions.RequestError(
        408, "timeout", "body", f"not whole within {timeout_s:g} s"
    )
    try:
        with gevent.Timeout(timeout_s, late):
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
