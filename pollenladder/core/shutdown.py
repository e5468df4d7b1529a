"""Graceful shutdown: finish or transfer all work, then release the shards."""

from collections.abc import Callable
import dataclasses
import logging

import gevent

from pollenladder.core import clocks
from pollenladder.core import engine as engines

LOGGER = logging.getLogger(__name__)

POLL_INTERVAL_S = 0.02
# The longest time in which a start that was sent reaches its worker.
START_DELIVERY_S = 0.6


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """Functions that the shutdown calls.

    Attributes:
        drain_gateway: Accept no new callers and answer the open requests,
            within a timeout in seconds.
        resign: Release all leases and acquire no more.
        broadcast_digest: Send this daemon's state to its peers.
    """

    drain_gateway: Callable[[float], object]
    resign: Callable[[], None]
    broadcast_digest: Callable[[], None]


def shut_down(
    engine: engines.Engine,
    callbacks: Callbacks,
    clock: clocks.Clock,
    timeout_s: float,
) -> None:
    """Accept nothing new, forward queued tasks and finish running ones.

    Args:
        engine: The tables of this daemon.
        callbacks: Functions of the other parts of the daemon.
        clock: Monotonic time in seconds.
        timeout_s: The longest duration of the shutdown, in seconds.
    """
    LOGGER.info("draining")
    ends_at = clock() + timeout_s
    for shard in engine.shards.values():
        shard.draining = True
    callbacks.broadcast_digest()
    transfer = gevent.spawn(_transfer_shards, engine, callbacks, clock, ends_at)
    # The load balancer sends connections here until it notices the shutdown;
    # the gateway still answers these callers.
    callbacks.drain_gateway(timeout_s)
    _wait_while(lambda: _has_open_work(engine), clock, ends_at)
    transfer.join()
    LOGGER.info("drained")


def _transfer_shards(
    engine: engines.Engine,
    callbacks: Callbacks,
    clock: clocks.Clock,
    ends_at: float,
) -> None:
    """Release the shards once no task is queued and all starts have arrived.

    Running tasks need no lease to finish, so they are not waited for. A start
    in transit needs one: a worker whose lease was released refuses the start.
    The leases are therefore kept until the last starts must have arrived, and
    longer if a refused start was queued again.
    """
    while clock() < ends_at:
        _wait_while(lambda: _has_queued_work(engine), clock, ends_at)
        gevent.sleep(START_DELIVERY_S)
        if not _has_queued_work(engine):
            break
    callbacks.resign()
    callbacks.broadcast_digest()


def _wait_while(
    condition: Callable[[], bool], clock: clocks.Clock, ends_at: float
) -> None:
    while condition() and clock() < ends_at:
        gevent.sleep(POLL_INTERVAL_S)


def _has_queued_work(engine: engines.Engine) -> bool:
    return any(
        group.waiting or group.offloaded
        for shard in engine.shards.values()
        for group in shard.groups.values()
    )


def _has_open_work(engine: engines.Engine) -> bool:
    return bool(engine.submissions.pending) or any(
        shard.groups for shard in engine.shards.values()
    )
