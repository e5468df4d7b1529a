"""Measurement of the event loop's lag."""

from collections.abc import Callable

import gevent

from pollenladder.core import clocks
from pollenladder.metrics import registry

SAMPLE_INTERVAL_S = 0.5


def measure_event_loop_lag(
    metrics: registry.Metrics,
    clock: clocks.Clock = clocks.read_monotonic_s,
    sleep: Callable[[float], None] = gevent.sleep,
) -> None:
    """Record the delay with which a periodic timer fires; never return.

    Args:
        metrics: Where the lag is recorded.
        clock: Monotonic time in seconds.
        sleep: Suspend the calling greenlet for a number of seconds.
    """
    while True:
        expected_at = clock() + SAMPLE_INTERVAL_S
        sleep(SAMPLE_INTERVAL_S)
        metrics.event_loop_lag.observe(max(0.0, clock() - expected_at))
