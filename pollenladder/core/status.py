"""The status that a daemon shows to operators."""

import dataclasses
from typing import Any

from pollenladder.dispatch import placement
from pollenladder.dispatch import sharing
from pollenladder.dispatch import tables
from pollenladder.membership import health


@dataclasses.dataclass(frozen=True)
class DaemonStatus:
    """The status of one daemon, in the field names that operators see.

    Attributes:
        daemon: The daemon's id.
        data_centre: The daemon's data centre.
        version: Version of the declarations in force there; 0 if unknown.
        state: "live", "leaving" or "unreachable".
        last_heard_s: Time since the last digest was received from the daemon,
            in seconds; a very large number if there was none.
    """

    daemon: str
    data_centre: str
    version: int | None
    state: str
    last_heard_s: float | None


def describe(
    own: DaemonStatus,
    others: list[DaemonStatus],
    shards: list[tables.Shard],
    owners: list[tuple[str, str, int]],
    unreachable: list[str],
    now: float,
) -> dict[str, Any]:
    """Return the status as JSON values.

    Args:
        own: This daemon.
        others: The other daemons that this daemon knows.
        shards: The shards that this daemon owns.
        owners: Id, owner and epoch of every shard with a known owner.
        unreachable: Data centres in which no daemon can be reached.
        now: Monotonic time in seconds.
    """
    return {
        "daemon": own.daemon,
        "data_centre": own.data_centre,
        "version": own.version,
        "daemons": [dataclasses.asdict(daemon) for daemon in [own, *others]],
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
    """Return each plan's use and share, summed over the owned shards."""
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
