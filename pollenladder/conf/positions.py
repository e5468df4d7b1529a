"""Find the line of a field in a text of JSON with comments."""

from collections.abc import Iterator
import dataclasses
import functools
import re

import json5

# Keys and list indexes from the top of a document down to a field.
FieldPath = tuple[str | int, ...]

TOKEN = re.compile(
    r"""(?P<skipped>\s+|//[^\n\u2028\u2029]*|/\*.*?\*/)
    |(?P<mark>[{}\[\]:,])
    |(?P<text>"(?:\\.|[^"\\])*"|'(?:\\.|[^'\\])*')
    |(?P<bare>[^\s{}\[\]:,"'/]+)""",
    re.VERBOSE | re.DOTALL,
)


@dataclasses.dataclass(frozen=True)
class Token:
    """A mark, a string, or a bare word with the line that it starts on."""

    text: str
    line: int


@dataclasses.dataclass(frozen=True)
class Positions:
    """Lines of the fields of one text.

    Attributes:
        lines: Line from 1 by field path.
        repeated: Paths of keys that stand twice in one object.
    """

    lines: dict[FieldPath, int]
    repeated: tuple[FieldPath, ...]

    def find_line(self, path: FieldPath) -> int:
        """Return the line of a field, or of its nearest known parent."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def locate_fields(text: str) -> Positions:
    """Return the line of each field of a well-formed text."""
    tokens = list(_split_tokens(text))
    lines: dict[FieldPath, int] = {}
    repeated: list[FieldPath] = []
    _locate_value(tokens, 0, (), lines, repeated)
    return Positions(lines, tuple(repeated))


def blank_comments(text: str) -> str:
    """Return the text with a blank for each comment outside of strings."""
    return TOKEN.sub(_blank_comment, text)


def format_path(path: FieldPath) -> str:
    """Return a path as people write it, such as `customers[0].plans`."""
    parts = [f"[{p}]" if isinstance(p, int) else f".{p}" for p in path]
    return "".join(parts).removeprefix(".")


def _blank_comment(match: re.Match) -> str:
    is_skipped = match.lastgroup == "skipped"
    return " " if is_skipped else match.group()


def _split_tokens(text: str) -> Iterator[Token]:
    line = 1
    for match in TOKEN.finditer(text):
        if match.lastgroup != "skipped":
            yield Token(match.group(), line)
        line += match.group().count("\n")


def _locate_value(tokens, at, path, lines, repeated) -> int:
    """Record the value that starts at a token; return the index after it."""
    lines.setdefault(path, tokens[at].line)
    if tokens[at].text == "{":
        return _locate_object(tokens, at + 1, path, lines, repeated)
    if tokens[at].text == "[":
        return _locate_list(tokens, at + 1, path, lines, repeated)
    return at + 1


def _locate_object(tokens, at, path, lines, repeated) -> int:
    while tokens[at].text != "}":
        field = (*path, _read_key(tokens[at].text))
        if field in lines:
            repeated.append(field)
        lines[field] = tokens[at].line
        at = _locate_value(tokens, at + 2, field, lines, repeated)
        at += tokens[at].text == ","
    return at + 1


def _locate_list(tokens, at, path, lines, repeated) -> int:
    index = 0
    while tokens[at].text != "]":
        at = _locate_value(tokens, at, (*path, index), lines, repeated)
        at += tokens[at].text == ","
        index += 1
    return at + 1


@functools.lru_cache(maxsize=1024)
def _read_key(text: str) -> str:
    return json5.loads(text) if text[0] in "\"'" else text
