"""Sample heartbeats, and a wait for a condition."""

from collections.abc import Callable
import time

import gevent

from pollenladder.cluster import messages

POLL_S = 0.01


def build_heartbeat(**changes: object) -> messages.Heartbeat:
    """Return the heartbeat of a healthy daemon that is not the owner.

    Args:
        changes: Fields with other values, by name.
    """
    plain = {
        "is_owner": False,
        "epoch": 0,
        "workers_reached": 0,
        "reads_store": True,
        "config_version": 1,
        "lag_s": 0.0,
        "is_leaving": False,
        "is_backing_off": False,
        "pending": {},
        "processor_cores": 1.0,
        "follows": "",
        "shed_share": 0.0,
        "is_settled": False,
        "successor": "",
    }
    return messages.Heartbeat(**(plain | changes))


def wait_until(condition: Callable[[], object], timeout_s: float) -> None:
    """Wait until a condition holds.

    Raises:
        TimeoutError: The condition did not hold in time.
    """
    until_s = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until_s:
            raise TimeoutError(f"condition did not hold within {timeout_s} s")
        gevent.sleep(POLL_S)
