"""Make epochs that grow and are never made twice.

Epochs count milliseconds and leave room for a daemon's number, so that no two
daemons make the same one. They follow the time of day, so that a daemon that has
heard of no other one still makes a higher one; a time of day that is behind is made
up for by the highest epoch that was heard of.
"""

import zlib

# From 1970 to 2020.
ORIGIN_S = 1_577_836_800
DAEMON_NUMBERS = 1024
# Above an epoch of unknown height, by so many milliseconds.
SKIP_AHEAD_MS = 10_000


def make_epoch(own_id: str, wall_s: float, highest: int) -> int:
    """Return an epoch of a daemon above all that are known to it.

    Args:
        own_id: The daemon.
        wall_s: The time of day, in seconds since 1970.
        highest: The highest epoch that it has heard of.
    """
    wall_ms = int((wall_s - ORIGIN_S) * 1000)
    highest_ms = highest // DAEMON_NUMBERS + 1
    number = zlib.crc32(own_id.encode()) % DAEMON_NUMBERS
    return max(wall_ms, highest_ms, 1) * DAEMON_NUMBERS + number


def skip_ahead(epoch: int) -> int:
    """Return a height above an epoch that is not known but near this one."""
    return epoch + SKIP_AHEAD_MS * DAEMON_NUMBERS
