"""Structured logging: one JSON line per decision, written without blocking.

Lines are buffered in memory and written by a greenlet. If the reader of the log
stalls or the rate of lines is too high, lines are dropped. A later
`log_lines_dropped` line reports their number. Events with a reserve have a limit
and a part of the buffer of their own, so that other lines do not displace them.
"""

import collections
import datetime
import logging
import os
from typing import Any

import gevent
import msgspec

from pollenladder.logs import events
from pollenladder.logs import repeats

LOGGER = logging.getLogger(__name__)

# Warnings and errors are not subject to this limit.
MAX_LINES_PER_S = 500
# Limit of the events with a reserve, in addition to the one above.
MAX_RESERVED_LINES_PER_S = 300
MAX_BUFFERED_BYTES = 512 * 1024
# Part of the buffer that only events with a reserve may use.
RESERVED_BYTES = 128 * 1024
MAX_UNRESERVED_BYTES = MAX_BUFFERED_BYTES - RESERVED_BYTES
FLUSH_INTERVAL_S = 0.1
# A chunk holds whole lines, so its last line may exceed this size.
WRITE_CHUNK_BYTES = 65_536
DROPPED_EVENT = "log_lines_dropped"
# Logged for an unexpected exception that its caller survives.
FAILURE_EVENT = "unexpected_error"
# Logged for an exception that has ended a greenlet.
GREENLET_EVENT = "greenlet_failed"
# The end of a longer traceback is logged; it names the line that failed.
MAX_ERROR_CHARS = 4000
MAX_SUBJECT_CHARS = 200


class JsonLinesHandler(logging.Handler):
    """Logging handler that formats records as JSON lines and buffers them.

    Attributes:
        dropped: Number of lines dropped and not yet reported.
    """

    def __init__(self, daemon_id: str, descriptor: int):
        super().__init__()
        self.dropped = 0
        self._daemon_id = daemon_id
        self._descriptor = descriptor
        self._lines: collections.deque[bytes] = collections.deque()
        self._buffered_bytes = 0
        self._second = 0
        self._lines_this_second = 0
        self._reserved_this_second = 0
        self._repeats = repeats.Repeats()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffer the line of a record, or count it as dropped.

        An error that was just logged is not logged again. The next line about
        it tells how often it has occurred since.
        """
        repeated = self._repeats.record(record) if record.exc_info else 0
        if repeated is None:
            return
        if not self._is_within_limits(record):
            self.dropped += 1
            return
        self._append(_format(record, self._daemon_id, repeated))

    def write_pending(self) -> None:
        """Write buffered lines until the descriptor would block."""
        if self.dropped and self._buffered_bytes <= MAX_UNRESERVED_BYTES:
            count, self.dropped = self.dropped, 0
            self._append(_format_dropped(count, self._daemon_id))
        while self._lines:
            chunk = self._take_chunk()
            try:
                written = os.write(self._descriptor, chunk)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the descriptor, so the error can't be
                # logged either.
                self._lines.clear()
                self._buffered_bytes = 0
                return
            if written < len(chunk):
                self._put_back(chunk[written:])
                return

    def run(self) -> None:
        """Write buffered lines periodically, forever."""
        while True:
            gevent.sleep(FLUSH_INTERVAL_S)
            self.write_pending()

    def _is_within_limits(self, record: logging.LogRecord) -> bool:
        """Count a record; return whether the limits allow buffering it."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._lines_this_second = 0
            self._reserved_this_second = 0
        if self._buffered_bytes > MAX_BUFFERED_BYTES:
            return False
        if self._takes_reserve(record):
            self._reserved_this_second += 1
            return True
        if self._buffered_bytes > MAX_UNRESERVED_BYTES:
            return False
        self._lines_this_second += 1
        return (
            self._lines_this_second <= MAX_LINES_PER_S
            or record.levelno >= logging.WARNING
        )

    def _takes_reserve(self, record: logging.LogRecord) -> bool:
        """Return whether a record's event has a reserve that is not used up."""
        return (
            record.msg in events.RESERVED
            and self._reserved_this_second < MAX_RESERVED_LINES_PER_S
        )

    def _append(self, line: bytes) -> None:
        self._lines.append(line)
        self._buffered_bytes += len(line)

    def _put_back(self, rest: bytes) -> None:
        self._lines.appendleft(rest)
        self._buffered_bytes += len(rest)

    def _take_chunk(self) -> bytes:
        """Remove whole lines from the buffer and return them as one chunk."""
        parts = []
        size = 0
        while self._lines and size < WRITE_CHUNK_BYTES:
            line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        self._buffered_bytes -= size
        return b"".join(parts)


def configure_logging(daemon_id: str, descriptor: int = 1) -> JsonLinesHandler:
    """Write all logs to a file descriptor as JSON lines.

    The descriptor is set to non-blocking mode.

    Args:
        daemon_id: Value of the field `daemon` of all lines.
        descriptor: File descriptor; standard output by default.

    Returns:
        The handler. The caller runs its `run` in a greenlet.
    """
    os.set_blocking(descriptor, False)
    handler = JsonLinesHandler(daemon_id, descriptor)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(logging.INFO)
    gevent.get_hub().print_exception = _log_failed_greenlet
    return handler


def _log_failed_greenlet(context: object, *error: object) -> None:
    """Log an exception that ended a greenlet.

    This replaces gevent's function, which prints a bare traceback.
    """
    LOGGER.error(
        GREENLET_EVENT,
        exc_info=error,
        extra={"fields": {"greenlet": repr(context)[:200]}},
    )


def _format(record: logging.LogRecord, daemon_id: str, repeated: int) -> bytes:
    line: dict[str, Any] = {
        "time": _format_time(record.created),
        "level": record.levelname,
        "daemon": daemon_id,
        "event": record.getMessage(),
    }
    line.update(getattr(record, "fields", ()))
    if record.exc_info:
        text = logging.Formatter().formatException(record.exc_info)
        line["error"] = text[-MAX_ERROR_CHARS:]
        line["repeated"] = repeated
    try:
        return msgspec.json.encode(line, enc_hook=str) + b"\n"
    except ValueError:
        # Text with lone surrogates has no encoding.
        escaped = {name: ascii(value) for name, value in line.items()}
        return msgspec.json.encode(escaped) + b"\n"


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
    """Log an event with its fields.

    Args:
        logger: Logger of the calling module.
        event: Name of an event in `pollenladder.logs.events`.
        level: Level of `logging`.
        **fields: Values that the reported decision is based on.
    """
    logger.log(level, event, extra={"fields": fields})


def log_failure(
    logger: logging.Logger,
    where: str,
    subject: str = "",
    error: BaseException | None = None,
) -> None:
    """Log an unexpected exception that the caller survives.

    Args:
        logger: Logger of the calling module.
        where: The step that failed. It is the label of a metric, so it must be
            one of few names.
        subject: What the step was about, such as the id of a worker.
        error: The exception; the one that is being handled by default.
    """
    logger.error(
        FAILURE_EVENT,
        exc_info=error or True,
        extra={
            "fields": {"where": where, "subject": subject[:MAX_SUBJECT_CHARS]}
        },
    )
