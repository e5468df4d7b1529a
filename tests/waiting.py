"""Wait for conditions in tests."""

from collections.abc import Callable
import time

import gevent

TIMEOUT_S = 60.0
INTERVAL_S = 0.002


def wait_until(condition: Callable[[], object]) -> None:
    """Let other greenlets run until the condition is true."""
    end_s = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > end_s:
            raise TimeoutError("condition never came true")
        gevent.sleep(INTERVAL_S)
