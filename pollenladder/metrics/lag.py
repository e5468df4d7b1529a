"""How late the event loop runs."""

from collections.abc import Callable

import gevent

from pollenladder.core import clocks
from pollenladder.metrics import registry

INTERVAL_S = 0.5


def watch_event_loop(
    meters: registry.Metrics,
    clock: clocks.Clock = clocks.read_monotonic_s,
    sleep: Callable[[float], None] = gevent.sleep,
) -> None:
    """Observe how late a timer fires, again and again, without end."""
    while True:
        expected_s = clock() + INTERVAL_S
        sleep(INTERVAL_S)
        meters.event_loop_lag.observe(max(0.0, clock() - expected_s))
