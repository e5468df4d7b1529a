"""Conditional GET requests that reuse the last response while it is current.

The platform may send an entity tag with a response. The next request for the
same target sends the tag in If-None-Match, and the platform answers 304 (not
modified) without a body if nothing has changed. Without an entity tag, each
response is sent and parsed in full.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.http import responses

NOT_MODIFIED = 304


@dataclasses.dataclass(frozen=True, slots=True)
class CachedResponse:
    """The last response of a target: its entity tag and its parsed value."""

    etag: str
    value: Any


# The last responses, by target (path and query).
Cache = dict[str, CachedResponse]


def format_fields(cache: Cache, target: str) -> bytes:
    """Return the header lines that make a request for a target conditional.

    The result is empty if no response of the target is cached.
    """
    seen = cache.get(target)
    if seen is None:
        return b""
    return f"If-None-Match: {seen.etag}\r\n".encode("latin-1")


def read(
    cache: Cache,
    target: str,
    response: responses.Response,
    parse: Callable[[responses.Response], Any],
) -> Any:
    """Return the parsed value of a response, or the cached one if unchanged.

    Args:
        cache: The last responses; updated.
        target: The path and query of the request.
        response: The response to a request with the lines that
            `format_fields` returned.
        parse: Returns the value of a full response, or raises an error.
    """
    seen = cache.get(target)
    if response.status == NOT_MODIFIED and seen:
        return seen.value
    cache.pop(target, None)
    value = parse(response)
    etag = response.headers.get("etag")
    if etag:
        cache[target] = CachedResponse(etag, value)
    return value
