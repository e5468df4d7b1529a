"""Read the tables into the metrics."""

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

INTERVAL_S = 1.0
KINDS = {
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
    """Count a message to a peer under its kind."""
    metrics.count_message(KINDS[type(message)])


def count_close(metrics: registry.Metrics, reason: links.CloseReason) -> None:
    """Count a link that ended."""
    metrics.link_closes.labels(reason=reason.value).inc()


def run(
    metrics: registry.Metrics,
    shard_tables: dict[str, tables.Shard],
    peers: peering.Peering,
    clock: clocks.Clock,
) -> None:
    """Set the gauges at intervals, for ever."""
    before = links.Counts()
    while True:
        gevent.sleep(INTERVAL_S)
        update(metrics, list(shard_tables.values()), peers, clock())
        counts = peers.count()
        add_link_counts(metrics, before, counts)
        before = counts


def update(
    metrics: registry.Metrics,
    shards: list[tables.Shard],
    peers: peering.Peering,
    now: float,
) -> None:
    """Set the gauges from the tables of the shards owned here."""
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


def add_link_counts(
    metrics: registry.Metrics, before: links.Counts, now: links.Counts
) -> None:
    """Add what went over all links since an earlier count."""
    frames = metrics.link_frames
    frames.labels(direction="in").inc(now.frames_in - before.frames_in)
    frames.labels(direction="out").inc(now.frames_out - before.frames_out)
    octets = metrics.link_bytes
    octets.labels(direction="in").inc(now.bytes_in - before.bytes_in)
    octets.labels(direction="out").inc(now.bytes_out - before.bytes_out)
