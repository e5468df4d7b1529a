"""Decoding of rows of the store, some of which other writers may have written."""

from collections.abc import Callable
import logging
from typing import TypeVar

from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import store as stores

LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

MAX_ERROR_CHARS = 200


class RowDecoder:
    """Decodes the rows of a table, and logs those that are not valid."""

    def __init__(self):
        self._rejected_versions: dict[str, int] = {}

    def decode(self, row: stores.Row, decode: Callable[[bytes], T]) -> T | None:
        """Return the decoded value of a row; None if it is not valid.

        An unexpected error rejects only this row, as the others hold.

        Args:
            row: The row.
            decode: Returns the decoded value, or raises `BadDocumentError`.
        """
        try:
            return decode(row.value)
        except exceptions.BadDocumentError as error:
            self.log_rejected(row, error)
        except Exception:
            logs.log_failure(LOGGER, "row", row.key)
        return None

    def log_rejected(self, row: stores.Row, error: Exception) -> None:
        """Log an invalid row, once for each of its versions."""
        if self._rejected_versions.get(row.key) == row.version:
            return
        self._rejected_versions[row.key] = row.version
        logs.log(
            LOGGER,
            "row_rejected",
            logging.WARNING,
            key=row.key,
            version=row.version,
            error=str(error)[:MAX_ERROR_CHARS],
        )
