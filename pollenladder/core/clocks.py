"""Clocks that can be replaced in tests."""

from collections.abc import Callable
import time

# Seconds on a clock that never goes back.
Clock = Callable[[], float]


def read_monotonic_s() -> float:
    """Return the monotonic time, in seconds."""
    return time.monotonic()


def read_wall_s() -> float:
    """Return the wall-clock time, in seconds since 1970."""
    return time.time()
