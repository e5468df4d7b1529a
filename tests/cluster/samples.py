"""Sample heartbeats, and a wait for a condition."""

from collections.abc import Callable
import time

import gevent

from pollenladder.cluster import groups
from pollenladder.cluster import messages
from pollenladder.fleet import evacuations
from pollenladder.fleet import worker_lists

POLL_S = 0.01


def build_heartbeat(**changes: object) -> messages.Heartbeat:
    """Return the heartbeat of a healthy daemon that is not the owner.

    Args:
        changes: Fields with other values, by name; those of `GroupState` apply
            to the only group.
    """
    state = {
        "group": groups.REGION_GROUP,
        "is_owner": False,
        "epoch": 0,
        "workers_reached": 0,
        "is_settled": False,
        "is_backing_off": False,
        "follows": "",
        "successor": "",
        "pending": {},
        "loads": {},
    }
    state |= {name: changes.pop(name) for name in state.keys() & changes.keys()}
    plain = {
        "reads_store": True,
        "config_version": 1,
        "layout_version": 1,
        "lag_s": 0.0,
        "is_leaving": False,
        "processor_cores": 1.0,
        "shed_share": 0.0,
        "groups": (messages.GroupState(**state),),
        "worker_list": worker_lists.ListReport(),
        "evacuated": evacuations.EvacuatedSet(),
        "is_evacuated_current": True,
        "crashing_queues": {},
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
