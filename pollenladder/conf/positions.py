"""Locate fields by line number in JSON with comments."""

from collections.abc import Iterator
import dataclasses
import functools
import re

import json5

# Object keys and list indexes from the root of a document to a field.
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
    """A token of JSON5.

    Attributes:
        text: A punctuation mark, a quoted string, or an unquoted word.
        line: Line number on which the token starts, counted from 1.
    """

    text: str
    line: int


@dataclasses.dataclass(frozen=True)
class Positions:
    """Line numbers of the fields of one text.

    Attributes:
        lines: Line number by field path, counted from 1.
        repeated: Paths of keys that occur more than once in an object.
    """

    lines: dict[FieldPath, int]
    repeated: tuple[FieldPath, ...]

    def find_line(self, path: FieldPath) -> int:
        """Return the line of a field, or of its nearest parent with a line."""
        while path and path not in self.lines:
            path = path[:-1]
        return self.lines.get(path, 1)


def locate_fields(text: str) -> Positions:
    """Return the line number of each field of a well-formed text."""
    tokens = list(_split_tokens(text))
    lines: dict[FieldPath, int] = {}
    repeated: list[FieldPath] = []
    _locate_value(tokens, 0, (), lines, repeated)
    return Positions(lines, tuple(repeated))


def blank_comments(text: str) -> str:
    """Replace each comment and each run of white space by one space.

    Strings are left unchanged.
    """
    return TOKEN.sub(_blank_comment, text)


def format_path(path: FieldPath) -> str:
    """Return a path in the usual notation, such as `customers[0].plans`."""
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
    """Record the lines of a value and of the fields in it.

    Args:
        tokens: All tokens of the text.
        at: Index of the first token of the value.
        path: Path of the value.
        lines: Line numbers by path; extended in place.
        repeated: Paths of repeated keys; extended in place.

    Returns:
        The index of the token after the value.
    """
    lines.setdefault(path, tokens[at].line)
    if tokens[at].text == "{":
        return _locate_object(tokens, at + 1, path, lines, repeated)
    if tokens[at].text == "[":
        return _locate_list(tokens, at + 1, path, lines, repeated)
    return at + 1


def _locate_object(tokens, at, path, lines, repeated) -> int:
    """Record the fields of an object; `at` is the token after its `{`."""
    while tokens[at].text != "}":
        field = (*path, _read_key(tokens[at].text))
        if field in lines:
            repeated.append(field)
        lines[field] = tokens[at].line
        at = _locate_value(tokens, at + 2, field, lines, repeated)
        at += tokens[at].text == ","
    return at + 1


def _locate_list(tokens, at, path, lines, repeated) -> int:
    """Record the items of a list; `at` is the token after its `[`."""
    index = 0
    while tokens[at].text != "]":
        at = _locate_value(tokens, at, (*path, index), lines, repeated)
        at += tokens[at].text == ","
        index += 1
    return at + 1


@functools.lru_cache(maxsize=1024)
def _read_key(text: str) -> str:
    return json5.loads(text) if text[0] in "\"'" else text
