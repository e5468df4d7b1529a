"""Clocks that tests can replace."""

from collections.abc import Callable
import time

# Returns seconds; monotonic unless the parameter is named `wall_clock`.
Clock = Callable[[], float]


def read_monotonic_s() -> float:
    """Return the monotonic time, in seconds."""
    return time.monotonic()


def read_wall_s() -> float:
    """Return the wall-clock time, in seconds since 1970."""
    return time.time()
