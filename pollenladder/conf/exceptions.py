"""Errors in settings files and declaration files."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """One problem in a file.

    Attributes:
        file: Path of the file, or key of the table row.
        line: Line number, counted from 1; 0 if it is unknown.
        field: Path of the field, such as `customers[0].plans`; may be empty.
        detail: Description of the problem, without a final full stop.
    """

    file: str
    line: int
    field: str
    detail: str

    def __str__(self) -> str:
        location = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(
            part for part in (location, self.field, self.detail) if part
        )


class ConfError(Exception):
    """A file can't be loaded.

    Attributes:
        problems: One or more problems, ordered by line.
        check_id: Id shown by `pollenladder check`.
        hint: How to fix the problems.
    """

    check_id = "conf.E100"
    hint = "correct the file"

    def __init__(self, *problems: Problem):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class UnreadableError(ConfError):
    """The file is missing or can't be read."""

    check_id = "conf.E101"
    hint = "give the path of a UTF-8 file that this user is allowed to read"


class MalformedError(ConfError):
    """The text isn't JSON with comments, or an object has a key twice."""

    check_id = "conf.E102"
    hint = "look for a missing comma, quote or bracket before this position"


class InvalidError(ConfError):
    """The text is well-formed, but a field is invalid, missing or unknown."""

    check_id = "conf.E103"
    hint = "see docs/ref/settings.md and docs/ref/declarations.md"
