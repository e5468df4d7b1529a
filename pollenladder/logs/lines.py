"""One JSON line a decision, bounded in volume and never waited for.

Lines are kept in memory until the event loop has time to write them. If the
reader stalls or there are too many, lines are dropped and counted, and a line
says how many.
"""

import collections
import datetime
import logging
import os
from typing import Any

import gevent
import msgspec

LOGGER = logging.getLogger(__name__)

MAX_LINES_PER_S = 500
MAX_WAITING_BYTES = 512 * 1024
FLUSH_S = 0.1
MAX_WRITE_BYTES = 65_536
DROPPED_EVENT = "log_lines_dropped"


class JsonLines(logging.Handler):
    """Turns records into JSON lines and keeps them until they are written.

    Attributes:
        dropped: Lines left out since the last summary.
    """

    def __init__(self, daemon_id: str, descriptor: int):
        super().__init__()
        self.dropped = 0
        self._daemon_id = daemon_id
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._waiting_bytes = 0
        self._second = 0
        self._lines_this_second = 0

    def emit(self, record: logging.LogRecord) -> None:
        """Keep a record's line, or count it as dropped."""
        if not self._has_room(record):
            self.dropped += 1
            return
        self._append(_format(record, self._daemon_id))

    def flush_some(self) -> None:
        """Write what the reader takes without a wait."""
        if self.dropped and self._waiting_bytes <= MAX_WAITING_BYTES:
            count, self.dropped = self.dropped, 0
            self._append(_format_dropped(count, self._daemon_id))
        while self._lines:
            chunk = self._take_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads any more, so there is nobody to tell.
                self._lines.clear()
                self._waiting_bytes = 0
                return
            if written < len(chunk):
                self._put_back(chunk[written:])
                return

    def run(self) -> None:
        """Write lines, for ever."""
        while True:
            gevent.sleep(FLUSH_S)
            self.flush_some()

    def _has_room(self, record: logging.LogRecord) -> bool:
        if self._waiting_bytes > MAX_WAITING_BYTES:
            return False
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
        self._lines_this_second += 1
        return (
            self._lines_this_second <= MAX_LINES_PER_S
            or record.levelno >= logging.WARNING
        )

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._waiting_bytes += len(line)

    def _put_back(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._waiting_bytes += len(rest)

    def _take_chunk(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < MAX_WRITE_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._waiting_bytes -= size
        return b"".join(parts)


def configure_logging(daemon_id: str, descriptor: int = 1) -> JsonLines:
    """Send all logs to a descriptor as JSON lines; return the handler."""
    os.set_blocking(descriptor, False)
    handler = JsonLines(daemon_id, descriptor)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    gevent.get_hub().print_exception = _log_failed_greenlet
    return handler


def _log_failed_greenlet(context: object, *error: object) -> None:
    """Log an error that ended a greenlet, in place of a bare traceback."""
    LOGGER.error(
        "greenlet_failed",
        exc_info=error,
        extra={"fields": {"greenlet": repr(context)[:200]}},
    )


def _format(record: logging.LogRecord, daemon_id: str) -> bytes:
    line: dict[str, Any] = {
        "time": _format_time(record.created),
        "level": record.levelname,
        "daemon": daemon_id,
        "event": record.getMessage(),
    }
    line.update(getattr(record, "fields", ()))
    if record.exc_info:
        line["error"] = logging.Formatter().formatException(record.exc_info)
    return msgspec.json.encode(line, enc_hook=str) + b"\n"


def _format_dropped(count: int, daemon_id: str) -> bytes:
    line = {
        "time": _format_time(datetime.datetime.now().timestamp()),
        "level": "WARNING",
        "daemon": daemon_id,
        "event": DROPPED_EVENT,
        "lines": count,
    }
    return msgspec.json.encode(line) + b"\n"


def _format_time(at_s: float) -> str:
    time = datetime.datetime.fromtimestamp(at_s, datetime.UTC)
    return time.isoformat(timespec="milliseconds").replace("+00:00", "Z")


def log(
    logger: logging.Logger,
    event: str,
    level: int = logging.INFO,
    **fields: object,
) -> None:
    """Log one decision with the fields that it rests on."""
    logger.log(level, event, extra={"fields": fields})
