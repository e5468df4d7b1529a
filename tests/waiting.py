"""Waiting for conditions in tests with greenlets."""

from collections.abc import Callable
import time

import gevent

TIMEOUT_S = 60.0
INTERVAL_S = 0.002


def wait_until(condition: Callable[[], object]) -> None:
    """Wait until a condition is true while other greenlets run.

    Raises:
        TimeoutError: If the condition is still false after `TIMEOUT_S`.
    """
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("condition is still false after the timeout")
        gevent.sleep(INTERVAL_S)
