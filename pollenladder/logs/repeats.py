"""Limits how often the same error is logged.

A step that fails each time it is repeated would otherwise fill the log with its
traceback.
"""

import collections
import logging
import types

# The same error is logged at most once within this time.
INTERVAL_S = 10.0
# Distinct errors that are remembered; beyond it, the one seen first is forgotten.
MAX_ERRORS = 256


class Repeats:
    """The errors that were logged lately.

    Two errors are the same if they were reported by the same step and raised by
    the same line with the same class.
    """

    def __init__(self):
        # When each error was last logged, and how many have been dropped since.
        self._seen: collections.OrderedDict[tuple, tuple[float, int]] = (
            collections.OrderedDict()
        )

    def record(self, record: logging.LogRecord) -> int | None:
        """Record an error that is about to be logged.

        Args:
            record: A log record with an exception.

        Returns:
            The number of the same errors that were dropped since the last one
            that was logged; None if this one is to be dropped.
        """
        key = _build_key(record)
        logged_at, dropped = self._seen.get(key, (float("-inf"), 0))
        if 0.0 <= record.created - logged_at < INTERVAL_S:
            self._seen[key] = (logged_at, dropped + 1)
            return None
        if key not in self._seen and len(self._seen) >= MAX_ERRORS:
            self._seen.popitem(last=False)
        self._seen[key] = (record.created, 0)
        return dropped


def _build_key(record: logging.LogRecord) -> tuple:
    error_class, _, traceback = record.exc_info
    where = getattr(record, "fields", {}).get("where", "")
    name = getattr(error_class, "__name__", "")
    return (record.msg, where, name, *_find_line(traceback))


def _find_line(traceback: types.TracebackType | None) -> tuple:
    """Return the file and the line number that raised an exception."""
    if traceback is None:
        return ()
    while traceback.tb_next is not None:
        traceback = traceback.tb_next
    return traceback.tb_frame.f_code.co_filename, traceback.tb_lineno
