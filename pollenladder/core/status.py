"""What operators are shown of a daemon and of the shards it owns."""

import dataclasses
from typing import Any

from pollenladder.dispatch import placement
from pollenladder.dispatch import sharing
from pollenladder.dispatch import tables
from pollenladder.membership import health


@dataclasses.dataclass(frozen=True)
class DaemonFacts:
    """What is known of one daemon.

    Attributes:
        daemon: Its id.
        data_centre: Where it is.
        version: Version of the declarations in force there; None if unknown.
        state: "live", "leaving" or "unreachable".
        last_heard_s: Seconds since it was last heard of; None if never.
    """

    daemon: str
    data_centre: str
    version: int | None
    state: str
    last_heard_s: float | None


def describe(
    own: DaemonFacts,
    others: list[DaemonFacts],
    shards: list[tables.Shard],
    owners: list[tuple[str, str, int]],
    unreachable: list[str],
    now: float,
) -> dict[str, Any]:
    """Return the status as JSON values.

    Args:
        own: This daemon.
        others: Other daemons that it knows.
        shards: Shards that it owns.
        owners: Shard, owner and epoch of every shard it knows of.
        unreachable: Data centres of which no daemon can be reached.
        now: Monotonic time in seconds.
    """
    return {
        "daemon": own.daemon,
        "data_centre": own.data_centre,
        "version": own.version,
        "daemons": [dataclasses.asdict(facts) for facts in [own, *others]],
        "workers": [
            _describe_worker(shard, worker, now)
            for shard in shards
            for worker in shard.workers.values()
        ],
        "plans": _describe_plans(shards, now),
        "shards": [
            {"shard": shard_id, "owner": owner, "epoch": epoch}
            for shard_id, owner, epoch in owners
        ],
        "unreachable_data_centres": unreachable,
    }


def _describe_worker(
    shard: tables.Shard, worker: tables.Worker, now: float
) -> dict[str, Any]:
    quarantined = health.is_quarantined(shard.health, worker.worker_id)
    state = "live"
    if quarantined:
        state = "quarantined"
    if worker.leaving:
        state = "leaving"
    return {
        "worker": worker.worker_id,
        "data_centre": shard.data_centre,
        "shard": shard.shard_id,
        "state": state,
        "slots": worker.slots,
        "running": worker.running
        + placement.count_predecessor_tasks(worker, now),
        "quarantined": quarantined,
        "leaving": worker.leaving,
    }


def _describe_plans(
    shards: list[tables.Shard], now: float
) -> list[dict[str, Any]]:
    """Sum what the owned shards hold and use of each plan."""
    rows: dict[str, dict[str, Any]] = {}
    for shard in shards:
        for plan_id, plan in shard.declared.plans.items():
            row = rows.setdefault(
                plan_id,
                {
                    "plan": plan_id,
                    "allowance": plan.allowance.running_tasks,
                    "running": 0,
                    "share": 0,
                    "waiting": 0,
                },
            )
            use = sharing.describe_allowance_use(shard, plan_id, now)
            row["running"] += use.in_use
            row["share"] += use.share
            row["waiting"] += use.waiting
    return list(rows.values())
