"""Generate increasing and unique ownership epochs.

An epoch is a time in milliseconds, multiplied by `DAEMON_NUMBERS`, plus a
number of the daemon. Two daemons that have known the same daemons have
different numbers, so their epochs differ even if they claim at the same time, on
the two sides of a network partition.

As epochs follow the wall clock, a daemon that knows no earlier epoch still
generates a higher one. If the wall clock is behind the highest known epoch, the
epoch follows that one, by the time since it became known. So of two daemons that
know of the same epoch, but not of each other's claims, the later one generates the
higher epoch, although their clocks differ.
"""

from collections.abc import Iterable
import zlib

# Unix time of 2020-01-01, in seconds.
ORIGIN_S = 1_577_836_800
DAEMON_NUMBERS = 1024
# Margin above an epoch whose exact value is unknown.
SKIP_AHEAD_MS = 10_000
MAX_SKIP_DOUBLINGS = 12
# Longer than two owners usually go on without hearing of each other.
MAX_ADVANCE_S = 10.0
# The epoch of 2100-01-01. A higher one was not made by a daemon.
MAX_EPOCH = (4_102_444_800 - ORIGIN_S) * 1000 * DAEMON_NUMBERS


def make_epoch(
    own_id: str, wall_s: float, highest: int, daemon_ids: Iterable[str] = ()
) -> int:
    """Return a new epoch of a daemon, above all epochs that it knows.

    Args:
        own_id: The id of the daemon.
        wall_s: The wall-clock time, in seconds since 1970.
        highest: The highest epoch that the daemon knows, advanced to now.
        daemon_ids: The ids of all daemons that the daemon has known.
    """
    wall_ms = int((wall_s - ORIGIN_S) * 1000)
    highest_ms = highest // DAEMON_NUMBERS + 1
    number = _choose_number(own_id, daemon_ids)
    return max(wall_ms, highest_ms, 1) * DAEMON_NUMBERS + number


def _choose_number(own_id: str, daemon_ids: Iterable[str]) -> int:
    """Return the number of a daemon: a hash of its id, or the next free number.

    The daemons choose in the order of their ids.
    """
    numbers: dict[str, int] = {}
    taken: set[int] = set()
    for daemon_id in sorted({own_id, *daemon_ids}):
        number = zlib.crc32(daemon_id.encode()) % DAEMON_NUMBERS
        while number in taken and len(taken) < DAEMON_NUMBERS:
            number = (number + 1) % DAEMON_NUMBERS
        taken.add(number)
        numbers[daemon_id] = number
    return numbers[own_id]


def advance(epoch: int, seconds: float) -> int:
    """Return an epoch's value after some time; 0 stays, as it is none.

    It advances only so far that epochs return to the wall clock after one that was made
    by a clock ahead of it.
    """
    advance_ms = int(min(seconds, MAX_ADVANCE_S) * 1000)
    return epoch and epoch + advance_ms * DAEMON_NUMBERS


def skip_ahead(epoch: int, attempts: int = 0) -> int:
    """Return a lower bound above an unknown epoch that is near a known one.

    Each further attempt skips twice as far, so that a daemon that restarted
    without any earlier epoch passes a distant one within a few attempts.

    Args:
        epoch: The known epoch.
        attempts: The number of earlier attempts in a row that were too low.
    """
    skipped_ms = SKIP_AHEAD_MS * 2 ** min(attempts, MAX_SKIP_DOUBLINGS)
    return epoch + skipped_ms * DAEMON_NUMBERS
