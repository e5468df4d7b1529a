"""Leave without cutting off a request: hand on, finish, give back."""

from collections.abc import Callable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.core import engine as engines

LOGGER = logging.getLogger(__name__)

POLL_S = 0.02
STARTS_ARRIVE_S = 0.6


@dataclasses.dataclass(frozen=True)
class Outlets:
    """Functions by which a daemon leaves.

    Attributes:
        drain_gateway: Accept no more callers and answer those in flight, at
            most for so many seconds.
        resign: Give all leases back and ask for no more.
        tell_all: Tell the peers of the change.
    """

    drain_gateway: Callable[[float], object]
    resign: Callable[[], None]
    tell_all: Callable[[], None]


def leave(
    engine: engines.Engine,
    outlets: Outlets,
    clock: clocks.Clock,
    timeout_s: float,
) -> None:
    """Take nothing new, hand on what waits, finish what has begun.

    Args:
        engine: The tables of this daemon.
        outlets: What else takes part.
        clock: The time, in seconds.
        timeout_s: The longest this may take.
    """
    LOGGER.info("draining")
    ends_at = clock() + timeout_s
    for shard in engine.shards.values():
        shard.draining = True
    outlets.tell_all()
    handing_over = gevent.spawn(_hand_over, engine, outlets, clock, ends_at)
    # Callers whose connection the balancer still brings here are answered
    # until it has noticed.
    outlets.drain_gateway(timeout_s)
    _wait(lambda: _has_work(engine), clock, ends_at)
    handing_over.join()
    LOGGER.info("drained")


def _hand_over(
    engine: engines.Engine,
    outlets: Outlets,
    clock: clocks.Clock,
    ends_at: float,
) -> None:
    """Give the shards to others once all that has begun here runs.

    What runs needs no lease to end, so nobody waits for it. A start that is
    still on its way does: a worker that has its lease back refuses it, so the
    leases are kept until the last starts must have arrived.
    """
    while clock() < ends_at:
        _wait(lambda: _has_waiting(engine), clock, ends_at)
        gevent.sleep(STARTS_ARRIVE_S)
        if not _has_waiting(engine):
            break
    outlets.resign()
    outlets.tell_all()


def _wait(
    condition: Callable[[], bool], clock: clocks.Clock, ends_at: float
) -> None:
    while condition() and clock() < ends_at:
        gevent.sleep(POLL_S)


def _has_waiting(engine: engines.Engine) -> bool:
    return any(
        group.waiting or group.offloaded
        for shard in engine.shards.values()
        for group in shard.groups.values()
    )


def _has_work(engine: engines.Engine) -> bool:
    return bool(engine.submissions.pending) or any(
        shard.groups for shard in engine.shards.values()
    )
