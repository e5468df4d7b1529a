"""Disruptions in the files of the users' bench: sites, days and its journal."""

from collections.abc import Iterable
from collections.abc import Iterator
import dataclasses
import pathlib

import msgspec

ANY_KIND = "any"
HUNT_COMMAND = "hunt"


@dataclasses.dataclass(frozen=True)
class Disruption:
    """A kind of disruption, or one variant of it.

    Attributes:
        kind: The kind, or `ANY_KIND` for a variant of several kinds.
        variant: The variant, or "".
    """

    kind: str
    variant: str = ""


class _Entry(msgspec.Struct):
    kind: str
    how: str = ""


class _Day(msgspec.Struct):
    plan: list[_Entry] = []
    faults: list[_Entry] = []
    closing: _Entry | None = None


class _File(_Day):
    troubles: list[_Entry] = []
    day: list[_Day] = []
    further: list[_Day] = []


class _PlayedDay(msgspec.Struct):
    troubles: list[str] = []


class _JournalEntry(msgspec.Struct):
    cmd: str
    days: list[_PlayedDay] = []


def read_file(path: pathlib.Path) -> set[Disruption]:
    """Return the disruptions of a site file or of a file of days.

    Raises:
        msgspec.DecodeError: The file isn't a valid site or day.
    """
    content = msgspec.toml.decode(path.read_bytes(), type=_File)
    days = (content, *content.day, *content.further)
    entries = [*content.troubles, *(e for day in days for e in _list(day))]
    return {found for entry in entries for found in _expand(entry)}


def read_hunts(paths: Iterable[pathlib.Path]) -> set[Disruption]:
    """Return the kinds that hunts of the journal have drawn.

    An entry names no variants, and no kinds for some of its days.

    Raises:
        msgspec.DecodeError: A file isn't a valid entry.
    """
    decoder = msgspec.json.Decoder(_JournalEntry)
    entries = (decoder.decode(path.read_bytes()) for path in paths)
    return {
        Disruption(kind)
        for entry in entries
        if entry.cmd == HUNT_COMMAND
        for day in entry.days
        for kind in day.troubles
    }


def _list(day: _Day) -> list[_Entry]:
    closing = [day.closing] if day.closing else []
    return [*day.plan, *day.faults, *closing]


def _expand(entry: _Entry) -> Iterator[Disruption]:
    """Yield the kind, and each variant both for the kind and for any kind."""
    yield Disruption(entry.kind)
    for variant in entry.how.split():
        yield Disruption(entry.kind, variant)
        yield Disruption(ANY_KIND, variant)
