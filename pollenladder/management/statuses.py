"""Statuses of daemons, and what they say taken together.

A daemon knows the workers and the use of plans of its own shards only, so the
whole is seen by asking several.
"""

import math

import pydantic

from pollenladder.audit import spread


class _Row(pydantic.BaseModel):
    """A row of a status; fields of later daemons are kept."""

    model_config = pydantic.ConfigDict(extra="allow", frozen=True)


class Daemon(_Row):
    """A daemon as another one, or itself, sees it."""

    daemon: str
    data_centre: str = ""
    state: str = ""
    version: int | None = None
    last_heard_s: float | None = None


class Worker(_Row):
    """A worker as the owner of its shard sees it."""

    worker: str
    data_centre: str = ""
    shard: str = ""
    state: str = ""
    slots: int = 0
    running: int = 0
    quarantined: bool = False
    leaving: bool = False


class Plan(_Row):
    """What a daemon's shards hold and use of a plan."""

    plan: str
    allowance: int = 0
    running: int = 0
    share: int = 0
    waiting: int = 0


class Shard(_Row):
    """Who owns a shard, as far as is known."""

    shard: str
    owner: str | None = None
    epoch: int | None = None


class Status(_Row):
    """What one daemon says, or several together.

    Attributes:
        daemon: Who says so; several ids with commas between.
        data_centre: Where it is; likewise.
        version: The version in force there; the lowest of several.
        daemons: All daemons that are known.
        workers: Workers of the shards owned there.
        plans: Use of plans in the shards owned there.
        shards: Owners of shards.
        unreachable_data_centres: Where no daemon can be reached.
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
    """Return what one or more statuses say together."""
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
        "unreachable_data_centres": _find_unreached(statuses),
    }
    return first.model_copy(update=merged)


def build_view(status: Status) -> spread.View:
    """Return a status as a view; its word on the daemon itself is fresh."""
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
    cut = tuple(status.unreachable_data_centres)
    return spread.View((own, *others), cut)


def _get_age_s(row: Daemon) -> float:
    return math.inf if row.last_heard_s is None else row.last_heard_s


def _merge_daemons(statuses: list[Status]) -> list[Daemon]:
    """Return the freshest word on each daemon."""
    best: dict[str, Daemon] = {}
    for row in (row for status in statuses for row in status.daemons):
        known = best.setdefault(row.daemon, row)
        best[row.daemon] = min(known, row, key=_get_age_s)
    return sorted(best.values(), key=lambda row: (row.data_centre, row.daemon))


def _merge_workers(statuses: list[Status]) -> list[Worker]:
    """Return each worker once, from the owner with the highest epoch."""
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
    """Return the sums of what each daemon's shards hold and use."""
    sums: dict[str, Plan] = {}
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
    """Return the owner with the highest epoch of each shard."""
    best: dict[str, Shard] = {}
    for row in (row for status in statuses for row in status.shards):
        known = best.setdefault(row.shard, row)
        best[row.shard] = max(known, row, key=lambda item: item.epoch or 0)
    return [best[shard] for shard in sorted(best)]


def _find_unreached(statuses: list[Status]) -> list[str]:
    each = [set(status.unreachable_data_centres) for status in statuses]
    return sorted(set.intersection(*each))
