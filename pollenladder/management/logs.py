"""Read the logs of daemons for commands of the tool."""

from collections.abc import Callable
import pathlib

from pollenladder.logs import exceptions as log_exceptions
from pollenladder.logs import explanations
from pollenladder.management import exceptions


def read_lines(
    path: pathlib.Path, write_error: Callable[[str], None]
) -> list[explanations.Line]:
    """Return the lines of a log file.

    Malformed lines are reported with `write_error` and skipped.

    Raises:
        exceptions.UsageError: The file cannot be read.
    """
    try:
        texts = path.read_text(errors="replace").splitlines()
    except OSError as error:
        raise exceptions.UsageError(f"{path}: {error.strerror}") from error
    lines = []
    for number, text in enumerate(texts, 1):
        try:
            lines.append(explanations.parse_line(text, f"{path}:{number}"))
        except log_exceptions.MalformedLineError as error:
            write_error(str(error))
    return lines
