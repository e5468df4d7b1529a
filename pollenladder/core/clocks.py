"""Clocks that tests can replace."""

from collections.abc import Callable
import time

# Returns seconds; monotonic unless the parameter is named `wall_clock`.
Clock = Callable[[], float]


def read_monotonic_s() -> float:
    """Return the monotonic time, in seconds.

    It counts the time for which the machine was suspended, unlike `time.monotonic`.
    Leases and timeouts of other machines go on meanwhile.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)


def read_wall_s() -> float:
    """Return the wall-clock time, in seconds since 1970."""
    return time.time()
