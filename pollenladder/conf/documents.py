"""Read JSON with comments and validate it against a model."""

import dataclasses
import json
import pathlib
import re
from typing import Any
from typing import TypeVar

import json5
import pydantic

from pollenladder.conf import exceptions
from pollenladder.conf import positions

# Error message of json5, with the line number and the detail.
JSON5_ERROR = re.compile(r"^<string>:(\d+) (.*)$", re.DOTALL)
Model = TypeVar("Model", bound=pydantic.BaseModel)


class Border(pydantic.BaseModel):
    """Base of all file models; forbids unknown fields and type coercion."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, frozen=True, allow_inf_nan=False
    )


@dataclasses.dataclass(frozen=True)
class Document:
    """A parsed document with the line numbers of its fields.

    Attributes:
        name: Path of the file, or key of the table row.
        value: The parsed JSON value.
        lines: Line numbers of the fields, or None if the value was not parsed
            from a text.
    """

    name: str
    value: Any
    lines: positions.Positions | None = None

    def describe_problem(
        self, path: positions.FieldPath, detail: str
    ) -> exceptions.Problem:
        """Return a problem that names a field of this document."""
        line = self.lines.find_line(path) if self.lines else 0
        field = positions.format_path(path)
        return exceptions.Problem(self.name, line, field, detail)


def read_document(path: str | pathlib.Path) -> Document:
    """Read and parse one file.

    Raises:
        exceptions.UnreadableError: The file is missing or not UTF-8.
        exceptions.MalformedError: The file isn't JSON with comments.
    """
    name = str(path)
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeError) as error:
        detail = getattr(error, "strerror", None) or "is not UTF-8"
        problem = exceptions.Problem(name, 0, "", detail)
        raise exceptions.UnreadableError(problem) from error
    return parse_document(name, text)


def parse_document(name: str, text: str) -> Document:
    """Parse a text.

    Args:
        name: Name of the text in error messages.
        text: JSON with comments.

    Raises:
        exceptions.MalformedError: The text isn't JSON with comments, or an
            object has a key twice.
    """
    try:
        value = _parse_text(text)
        found = positions.locate_fields(text)
    except (ValueError, RecursionError) as error:
        problem = _describe_parser_error(name, error)
        raise exceptions.MalformedError(problem) from error
    document = Document(name, value, found)
    if found.repeated:
        problems = [
            document.describe_problem(path, "is given twice")
            for path in found.repeated
        ]
        raise exceptions.MalformedError(*problems)
    return document


def validate_document(model: type[Model], document: Document) -> Model:
    """Validate a document and return it as an instance of a model.

    Raises:
        exceptions.InvalidError: A field is invalid, missing or unknown.
    """
    try:
        return model.model_validate(document.value)
    except pydantic.ValidationError as error:
        problems = [
            _describe_model_error(document, entry) for entry in error.errors()
        ]
        problems.sort(key=lambda problem: problem.line)
        raise exceptions.InvalidError(*problems) from error


def _parse_text(text: str) -> Any:
    """Parse with `json`, and with the slower `json5` only if that fails."""
    try:
        return json.loads(positions.blank_comments(text))
    except ValueError:
        return json5.loads(text)


def _describe_model_error(document: Document, entry) -> exceptions.Problem:
    detail = entry["msg"].removeprefix("Value error, ")
    if entry["type"] == "extra_forbidden":
        detail = "is not a known field"
    if entry["type"] == "missing":
        detail = "is missing"
    return document.describe_problem(tuple(entry["loc"]), detail)


def _describe_parser_error(name: str, error) -> exceptions.Problem:
    if isinstance(error, RecursionError):
        return exceptions.Problem(name, 0, "", "is nested too deeply")
    match = JSON5_ERROR.match(str(error))
    if match is None:
        return exceptions.Problem(name, 0, "", str(error))
    return exceptions.Problem(name, int(match[1]), "", match[2])
