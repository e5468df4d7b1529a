"""Reads that transfer and parse nothing while nothing has changed.

The platform gives each answer an entity tag; a later request that names it is
answered "not modified". A platform that gives none answers in full each time.
"""

from collections.abc import Callable
import dataclasses
from typing import Any

from pollenladder.http import responses

NOT_MODIFIED = 304


@dataclasses.dataclass(frozen=True, slots=True)
class Seen:
    """The last answer of a target: its entity tag and what was read."""

    etag: str
    value: Any


# The last answers, by target.
Table = dict[str, Seen]


def format_fields(table: Table, target: str) -> bytes:
    """Return the header lines that ask for the target only if it changed."""
    seen = table.get(target)
    if seen is None:
        return b""
    return f"If-None-Match: {seen.etag}\r\n".encode("latin-1")


def read(
    table: Table,
    target: str,
    response: responses.Response,
    parse: Callable[[responses.Response], Any],
) -> Any:
    """Return what a response says, or what was read before if it is the same.

    Args:
        table: The last answers.
        target: What was asked for.
        response: The response to a request with `format_fields`.
        parse: Reads a response in full; may raise.
    """
    seen = table.get(target)
    if response.status == NOT_MODIFIED and seen:
        return seen.value
    table.pop(target, None)
    value = parse(response)
    etag = response.headers.get("etag")
    if etag:
        table[target] = Seen(etag, value)
    return value
