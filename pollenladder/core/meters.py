"""Read the tables into the metrics."""

import gevent

from pollenladder.core import clocks
from pollenladder.core import peering
from pollenladder.dispatch import tables
from pollenladder.membership import health
from pollenladder.metrics import registry
from pollenladder.plans import loans
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
    loans.LoanAsk: "loan",
    loans.LoanGrant: "loan",
    loans.LoanReturn: "loan",
}


def count_message(metrics: registry.Metrics, message: object) -> None:
    """Count a message to a peer under its kind."""
    metrics.count_message(KINDS[type(message)])


def run(
    metrics: registry.Metrics,
    shard_tables: dict[str, tables.Shard],
    peers: peering.Peering,
    clock: clocks.Clock,
) -> None:
    """Set the gauges at intervals, for ever."""
    while True:
        gevent.sleep(INTERVAL_S)
        update(metrics, list(shard_tables.values()), peers, clock())


def update(
    metrics: registry.Metrics,
    shards: list[tables.Shard],
    peers: peering.Peering,
    now: float,
) -> None:
    """Set the gauges from the tables of the shards owned here."""
    owned = [shard for shard in shards if shard.ownership_is_held(now)]
    workers = [w for shard in owned for w in shard.workers.values()]
    metrics.queue_tasks.set(sum(shard.queue.tasks for shard in owned))
    metrics.running_tasks.set(sum(worker.running for worker in workers))
    metrics.slots.set(sum(worker.slots for worker in workers))
    metrics.quarantined_workers.set(
        sum(len(health.list_quarantined(shard.health)) for shard in owned)
    )
    metrics.peers.set(len(peers.list_linked()))
    counts = peers.count()
    frames = metrics.link_frames
    _advance(frames.labels(direction="in"), counts.frames_in)
    _advance(frames.labels(direction="out"), counts.frames_out)
    octets = metrics.link_bytes
    _advance(octets.labels(direction="in"), counts.bytes_in)
    _advance(octets.labels(direction="out"), counts.bytes_out)


def _advance(counter, value: int) -> None:
    """Bring a counter up to a total that is kept elsewhere."""
    behind = value - counter._value.get()
    if behind > 0:
        counter.inc(behind)
