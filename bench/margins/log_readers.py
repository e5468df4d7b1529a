"""Read what a daemon has logged since the last read."""

from collections.abc import Iterator
import datetime
import json
import pathlib
import time
from typing import Any


class LogReader:
    """Reads the lines of a log file once, as they are written."""

    def __init__(self, path: pathlib.Path):
        self._path = path
        self._offset = 0
        # Log lines have wall-clock times.
        self._monotonic_origin_s = time.time() - time.monotonic()

    def read_new(self) -> Iterator[tuple[float, dict[str, Any]]]:
        """Yield the monotonic time, in seconds, and the fields of new lines."""
        with self._path.open("rb") as log:
            log.seek(self._offset)
            whole, ending, _ = log.read().rpartition(b"\n")
        self._offset += len(whole) + len(ending)
        for line in whole.splitlines():
            if line.startswith(b"{"):
                fields = json.loads(line)
                yield self._parse_time(fields["time"]), fields

    def _parse_time(self, text: str) -> float:
        wall_s = datetime.datetime.fromisoformat(text).timestamp()
        return wall_s - self._monotonic_origin_s
