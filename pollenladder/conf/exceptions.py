"""Errors of files that people write: settings and declarations."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Problem:
    """One thing wrong in a file.

    Attributes:
        file: The file's path, or the table row's key.
        line: Line in the file from 1; 0 if the text has no lines.
        field: Path of the field, such as `customers[0].plans`; may be empty.
        detail: What is wrong, as a sentence without a stop.
    """

    file: str
    line: int
    field: str
    detail: str

    def __str__(self) -> str:
        place = f"{self.file}:{self.line}" if self.line else self.file
        return ": ".join(
            part for part in (place, self.field, self.detail) if part
        )


class ConfError(Exception):
    """A file can't be used.

    Attributes:
        problems: One or more problems, in the order of the file.
        check_id: The id that `pollenladder check` shows.
        hint: What to do.
    """

    check_id = "conf.E100"
    hint = "correct the file"

    def __init__(self, *problems: Problem):
        super().__init__("\n".join(str(problem) for problem in problems))
        self.problems = problems


class UnreadableError(ConfError):
    """The file is missing or can't be read."""

    check_id = "conf.E101"
    hint = "give the path of a UTF-8 file that this user may read"


class MalformedError(ConfError):
    """The text isn't JSON with comments, or names a key twice."""

    check_id = "conf.E102"
    hint = "look for a missing comma, quote or bracket before this place"


class InvalidError(ConfError):
    """The text is well-formed, but a field is wrong, missing or unknown."""

    check_id = "conf.E103"
    hint = "see docs/ref/settings.md and docs/ref/declarations.md"
