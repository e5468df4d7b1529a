"""Decoding of rows of the store, some of which other writers may have written."""

import collections
from collections.abc import Callable
import logging
from typing import TypeVar

from pollenladder.core import clocks
from pollenladder.logs import lines as logs
from pollenladder.platform import exceptions
from pollenladder.platform import store as stores

LOGGER = logging.getLogger(__name__)

T = TypeVar("T")

MAX_ERROR_CHARS = 200
# Invalid rows that are remembered; beyond it, the one logged first is forgotten.
MAX_ROWS = 1024
# An invalid row that keeps changing is logged at most once within this time.
ROW_INTERVAL_S = 60.0
# At most `MAX_LINES` are logged about all rows within this time.
LINES_INTERVAL_S = 10.0
MAX_LINES = 20


class RowDecoder:
    """Decodes the rows of a table, and logs those that are not valid.

    Other writers choose how many such rows there are and how often they change,
    so the lines about them and the memory for them are limited.
    """

    def __init__(self, clock: clocks.Clock = clocks.read_monotonic_s):
        self._clock = clock
        # The version that was rejected last, and when the row was last logged.
        self._rejected: collections.OrderedDict[str, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._interval_began_at = float("-inf")
        self._lines = 0
        self._omitted = 0

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
        """Log an invalid row within the limits, and once for each version."""
        version, logged_at = self._rejected.get(row.key, (0, float("-inf")))
        if version == row.version:
            return
        now = self._clock()
        is_due = now >= logged_at + ROW_INTERVAL_S and self._may_log(now)
        self._remember(row, now if is_due else logged_at)
        if not is_due:
            self._omitted += 1
            return
        omitted, self._omitted = self._omitted, 0
        logs.log(
            LOGGER,
            "row_rejected",
            logging.WARNING,
            key=row.key,
            version=row.version,
            error=str(error)[:MAX_ERROR_CHARS],
            omitted=omitted,
        )

    def _may_log(self, now: float) -> bool:
        if now >= self._interval_began_at + LINES_INTERVAL_S:
            self._interval_began_at = now
            self._lines = 0
        self._lines += 1
        return self._lines <= MAX_LINES

    def _remember(self, row: stores.Row, logged_at: float) -> None:
        self._rejected[row.key] = (row.version, logged_at)
        if len(self._rejected) > MAX_ROWS:
            self._rejected.popitem(last=False)
