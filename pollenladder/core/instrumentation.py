"""Updates of the metrics from messages, links and tables."""

import gevent

from pollenladder.core import clocks
from pollenladder.core import peering
from pollenladder.dispatch import sharing
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.metrics import registry
from pollenladder.plans import loans
from pollenladder.wire import links
from pollenladder.wire import messages

UPDATE_INTERVAL_S = 1.0
KIND_BY_MESSAGE_TYPE = {
    messages.Digest: "heartbeat",
    messages.JobOffer: "hand_on",
    messages.JobAnswer: "answer",
    messages.JobCancel: "cancel",
    messages.BatchCancel: "cancel",
    messages.JobQuery: "inquiry",
    messages.JobPending: "inquiry",
    messages.BatchQuery: "inquiry",
    messages.BatchPending: "inquiry",
    messages.JobLookup: "inquiry",
    messages.JobLookupReply: "inquiry",
    messages.WorkerDrain: "inquiry",
    messages.WorkerDrainReply: "inquiry",
    messages.BatchOffer: "spill",
    messages.BatchResult: "spill",
    messages.ShardLoad: "probe",
    messages.DeclarationsPush: "plans",
    messages.DeclarationsDelta: "plans",
    messages.Claim: "loan",
    messages.ClaimReply: "loan",
    loans.LoanRequest: "loan",
    loans.LoanGrant: "loan",
    loans.LoanReturn: "loan",
}


def count_message(metrics: registry.Metrics, message: object) -> None:
    """Count a message to a peer by its kind."""
    metrics.count_message(KIND_BY_MESSAGE_TYPE[type(message)])


def count_close(metrics: registry.Metrics, reason: links.CloseReason) -> None:
    """Count a closed link by the reason."""
    metrics.link_closes.labels(reason=reason.value).inc()


def run(
    metrics: registry.Metrics,
    shard_tables: dict[str, tables.Shard],
    peers: peering.Peering,
    clock: clocks.Clock,
) -> None:
    """Update the gauges and link counters periodically; never return."""
    previous = links.Counts()
    while True:
        gevent.sleep(UPDATE_INTERVAL_S)
        update_gauges(metrics, list(shard_tables.values()), peers, clock())
        counts = peers.count()
        add_link_traffic(metrics, previous, counts)
        previous = counts


def update_gauges(
    metrics: registry.Metrics,
    shards: list[tables.Shard],
    peers: peering.Peering,
    now: float,
) -> None:
    """Set the gauges from the tables of the shards that this daemon owns."""
    owned = [shard for shard in shards if shard.ownership_is_held(now)]
    workers = [w for shard in owned for w in shard.workers.values()]
    metrics.queue_tasks.set(owned[0].queue.tasks if owned else 0)
    metrics.running_tasks.set(sum(worker.running for worker in workers))
    metrics.slots.set(sum(worker.slots for worker in workers))
    metrics.quarantined_workers.set(
        sum(len(health.list_quarantined(shard.health)) for shard in owned)
    )
    metrics.peers.set(len(peers.list_linked()))
    uses = [
        sharing.describe_allowance_use(shard, plan_id, now)
        for shard in owned
        for plan_id in shard.declared.plans
    ]
    metrics.shares.labels(state="held").set(sum(use.share for use in uses))
    metrics.shares.labels(state="taken").set(sum(use.in_use for use in uses))


def add_link_traffic(
    metrics: registry.Metrics, previous: links.Counts, current: links.Counts
) -> None:
    """Add the frames and bytes of all links since the previous counts."""
    frame_counter = metrics.link_frames
    frame_counter.labels(direction="in").inc(
        current.frames_in - previous.frames_in
    )
    frame_counter.labels(direction="out").inc(
        current.frames_out - previous.frames_out
    )
    byte_counter = metrics.link_bytes
    byte_counter.labels(direction="in").inc(
        current.bytes_in - previous.bytes_in
    )
    byte_counter.labels(direction="out").inc(
        current.bytes_out - previous.bytes_out
    )
