"""Configuration of logging, as JSON or as text.

Modules log through `logging.getLogger(__name__)` and pass ids in `extra`, as in
`logger.info("task started", extra={"job": ..., "task": ...})`.
"""

import datetime
import logging
import sys
from typing import TextIO

from pythonjsonlogger import json

# Ids that the text format appends to a line.
FIELDS = ("job", "task", "customer", "worker", "daemon")
HANDLER_NAME = "pollenladder"


def configure_logging(
    log_format: str, level: str, daemon_id: str, stream: TextIO | None = None
) -> None:
    """Write all logs to one stream; a second call replaces the first.

    Args:
        log_format: "json" or "text".
        level: A level name of `logging`.
        daemon_id: Added to each record that names no other daemon.
        stream: The stream to write to; standard error by default.
    """
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.set_name(HANDLER_NAME)
    handler.addFilter(_build_daemon_filter(daemon_id))
    is_json = log_format == "json"
    handler.setFormatter(_JsonFormatter() if is_json else _TextFormatter())
    root = logging.getLogger()
    for old in [h for h in root.handlers if h.get_name() == HANDLER_NAME]:
        root.removeHandler(old)
    root.addHandler(handler)
    root.setLevel(level)


def _build_daemon_filter(daemon_id: str):
    def add_daemon(record: logging.LogRecord) -> bool:
        if not hasattr(record, "daemon"):
            record.daemon = daemon_id
        return True

    return add_daemon


def _format_time(record: logging.LogRecord) -> str:
    time = datetime.datetime.fromtimestamp(record.created, datetime.UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


class _JsonFormatter(json.JsonFormatter):
    """Formats each record as one line with a JSON object."""

    def __init__(self):
        super().__init__("%(message)s", json_ensure_ascii=False)

    def add_fields(self, log_data, record, message_dict) -> None:
        """Add the time, level and logger to the record's own fields."""
        log_data["time"] = _format_time(record)
        log_data["level"] = record.levelname
        log_data["logger"] = record.name
        super().add_fields(log_data, record, message_dict)


class _TextFormatter(logging.Formatter):
    """Formats each record as a readable line that ends with `name=value` ids."""

    def format(self, record: logging.LogRecord) -> str:
        """Return the line, followed by the traceback if there is one."""
        ids = [
            f"{name}={getattr(record, name)}"
            for name in FIELDS
            if getattr(record, name, None)
        ]
        parts = [_format_time(record), record.levelname, record.name]
        message = record.getMessage().replace("\n", "\\n")
        line = " ".join([*parts, message, *ids])
        if record.exc_info:
            line += "\n" + self.formatException(record.exc_info)
        return line
