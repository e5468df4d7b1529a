"""Restart the loops of a daemon after unexpected exceptions.

A loop handles the errors that it expects, and goes on with the next row, worker or
job after others. What it does not handle ends the loop here. It is logged, counted,
and the loop starts again after a pause, which grows while the loop keeps failing.
A daemon with such a loop is not ready for callers.

The process does not end. Its jobs would be lost, and a new process would read the
same values from the store.
"""

from collections.abc import Callable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.logs import lines as logs

LOGGER = logging.getLogger(__name__)

# Pause before a loop starts again; doubled each time, up to the longest one.
MIN_PAUSE_S = 0.1
MAX_PAUSE_S = 2.0
# A loop that has run for this long no longer counts as failing.
STEADY_S = 5.0
# A loop that has been failing for this long makes the daemon unready.
UNREADY_AFTER_S = 3.0


@dataclasses.dataclass(slots=True)
class _Failing:
    """A loop that has failed and has not been steady since.

    Attributes:
        since: When it failed first; monotonic, in seconds.
        failed_at: When it failed last.
        pause_s: The pause after the last failure.
    """

    since: float
    failed_at: float
    pause_s: float


class Supervisor:
    """Runs loops in greenlets, and knows which of them keep failing."""

    def __init__(
        self,
        clock: clocks.Clock = clocks.read_monotonic_s,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self._clock = clock
        self._sleep = sleep
        self._failing: dict[tuple[str, str], _Failing] = {}

    def spawn(
        self, name: str, loop: Callable[[], None], subject: str = ""
    ) -> None:
        """Run a loop in a greenlet of its own, until it returns.

        Args:
            name: The name of the loop, for logs and metrics.
            loop: The loop. It is called again after an exception.
            subject: What the loop is about, if there are several of its name.
        """
        gevent.spawn(self.run, name, loop, subject)

    def run(
        self, name: str, loop: Callable[[], None], subject: str = ""
    ) -> None:
        """Run a loop until it returns; see `spawn`."""
        while True:
            try:
                loop()
            except Exception:
                logs.log_failure(LOGGER, name, subject)
                self._sleep(self._record_failure(name, subject))
            else:
                self._failing.pop((name, subject), None)
                return

    def list_failing(self) -> list[str]:
        """Return the names of the loops that make the daemon unready."""
        now = self._clock()
        return sorted(
            {
                name
                for (name, _), found in self._failing.items()
                if not _is_steady(found, now)
                and now - found.since >= UNREADY_AFTER_S
            }
        )

    def _record_failure(self, name: str, subject: str) -> float:
        """Record that a loop has failed; return the pause, in seconds."""
        now = self._clock()
        found = self._failing.get((name, subject))
        if found is None or _is_steady(found, now):
            found = _Failing(now, now, MIN_PAUSE_S)
            self._failing[name, subject] = found
        else:
            found.failed_at = now
            found.pause_s = min(MAX_PAUSE_S, 2 * found.pause_s)
        return found.pause_s


def _is_steady(failing: _Failing, now: float) -> bool:
    """Return whether a loop has run for long enough since it last failed."""
    return now - failing.failed_at - failing.pause_s >= STEADY_S
