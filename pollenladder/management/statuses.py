"""Models of daemons' statuses, and functions that merge them.

A daemon only knows the workers and the plan usage of the shards that it owns.
The state of the whole system is obtained by merging the statuses of several
daemons.
"""

import math

import pydantic

from pollenladder.audit import spread


class _Row(pydantic.BaseModel):
    """Base of all status models.

    Unknown fields, such as those of a newer daemon version, are kept.
    """

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class Daemon(_Row):
    """A daemon as reported by itself or by another daemon."""

    daemon: str
    data_centre: str = ""
    state: str = ""
    version: int | None = None
    last_heard_s: float | None = None


class Worker(_Row):
    """A worker as reported by the owner of its shard."""

    worker: str
    data_centre: str = ""
    shard: str = ""
    state: str = ""
    slots: int = 0
    running: int = 0
    quarantined: bool = False
    leaving: bool = False


class Plan(_Row):
    """Usage of a plan in the shards that a daemon owns.

    Attributes:
        plan: Id of the plan.
        allowance: Maximum number of running tasks in all data centres
            together; the same in the statuses of all daemons.
        running: Units of the allowance in use in the daemon's shards.
        share: Units that these shards may use: their own and borrowed ones,
            less those lent.
        waiting: Waiting tasks in these shards.
    """

    plan: str
    allowance: int = 0
    running: int = 0
    share: int = 0
    waiting: int = 0


class Shard(_Row):
    """A shard with its owner and epoch, which are None if unknown."""

    shard: str
    owner: str | None = None
    epoch: int | None = None


class Status(_Row):
    """Status of one daemon, or the merged status of several daemons.

    Attributes:
        daemon: Id of the reporting daemon; a merged status has all ids,
            separated by commas.
        data_centre: Data centre of the reporting daemon; a merged status has
            all data centres, separated by commas.
        version: Version of the declarations in force at the reporting daemon;
            a merged status has the lowest.
        daemons: All known daemons.
        workers: Workers of the shards that the reporting daemons own.
        plans: Plan usage in the shards that the reporting daemons own.
        shards: Shards and their owners.
        unreachable_data_centres: Data centres without a reachable daemon. A
            merged status has those that no reporting daemon can reach.
    """

    daemon: str
    data_centre: str
    version: int | None = None
    daemons: list[Daemon] = []
    workers: list[Worker] = []
    plans: list[Plan] = []
    shards: list[Shard] = []
    unreachable_data_centres: list[str] = []


def merge_statuses(statuses: list[Status]) -> Status:
    """Merge one or more statuses into one."""
    first = statuses[0]
    merged = {
        "daemon": ", ".join(dict.fromkeys(s.daemon for s in statuses)),
        "data_centre": ", ".join(
            dict.fromkeys(s.data_centre for s in statuses)
        ),
        "version": min((s.version or 0 for s in statuses), default=0),
        "daemons": _merge_daemons(statuses),
        "workers": _merge_workers(statuses),
        "plans": _merge_plans(statuses),
        "shards": _merge_shards(statuses),
        "unreachable_data_centres": _find_unreachable(statuses),
    }
    return first.model_copy(update=merged)


def build_view(status: Status) -> spread.View:
    """Convert a status to a view.

    What the status reports about its own daemon has an age of 0 s.
    """
    own = spread.DaemonView(
        status.daemon, status.data_centre, status.version or 0, "", 0.0
    )
    others = [
        spread.DaemonView(
            row.daemon,
            row.data_centre,
            row.version or 0,
            row.state,
            _get_age_s(row),
        )
        for row in status.daemons
        if row.daemon != status.daemon
    ]
    unreachable = tuple(status.unreachable_data_centres)
    return spread.View((own, *others), unreachable)


def _get_age_s(row: Daemon) -> float:
    return math.inf if row.last_heard_s is None else row.last_heard_s


def _merge_daemons(statuses: list[Status]) -> list[Daemon]:
    """Return the most recent report about each daemon."""
    best: dict[str, Daemon] = {}
    for row in (row for status in statuses for row in status.daemons):
        known = best.setdefault(row.daemon, row)
        best[row.daemon] = min(known, row, key=_get_age_s)
    return sorted(best.values(), key=lambda row: (row.data_centre, row.daemon))


def _merge_workers(statuses: list[Status]) -> list[Worker]:
    """Return each worker as reported by the owner with the highest epoch."""
    best: dict[str, tuple[int, Worker]] = {}
    for status in statuses:
        epochs = {row.shard: row.epoch or 0 for row in status.shards}
        for row in status.workers:
            entry = (epochs.get(row.shard, 0), row)
            known = best.setdefault(row.worker, entry)
            best[row.worker] = max(known, entry, key=lambda item: item[0])
    rows = [row for _, row in best.values()]
    return sorted(rows, key=lambda row: (row.data_centre, row.worker))


def _merge_plans(statuses: list[Status]) -> list[Plan]:
    """Return the sums of share and usage per plan over all daemons."""
    sums: dict[str, Plan] = {}
    # A daemon counts once, even if it was queried at several addresses.
    unique = {status.daemon: status for status in statuses}
    for row in (row for status in unique.values() for row in status.plans):
        known = sums.get(row.plan)
        if known is None:
            sums[row.plan] = row
            continue
        added = {
            "running": known.running + row.running,
            "share": known.share + row.share,
            "waiting": known.waiting + row.waiting,
        }
        sums[row.plan] = known.model_copy(update=added)
    return [sums[plan_id] for plan_id in sorted(sums)]


def _merge_shards(statuses: list[Status]) -> list[Shard]:
    """Return each shard with the owner that has the highest epoch."""
    best: dict[str, Shard] = {}
    for row in (row for status in statuses for row in status.shards):
        known = best.setdefault(row.shard, row)
        best[row.shard] = max(known, row, key=lambda item: item.epoch or 0)
    return [best[shard] for shard in sorted(best)]


def _find_unreachable(statuses: list[Status]) -> list[str]:
    """Return the data centres that all daemons report as unreachable."""
    reported = [set(status.unreachable_data_centres) for status in statuses]
    return sorted(set.intersection(*reported))
