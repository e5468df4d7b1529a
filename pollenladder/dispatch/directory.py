"""The owner of each shard and the load that it last reported."""

from collections.abc import Iterator
import dataclasses

from pollenladder.wire import messages


@dataclasses.dataclass
class ShardEntry:
    """One shard's owner and load.

    Attributes:
        shard_id: The shard.
        daemon_id: The daemon that owns it.
        epoch: The owner's epoch.
        free: Slots assumed free: those last reported, less the tasks sent
            there since.
        queued: Queued tasks as last reported.
        slots: Slots of the shard's usable workers.
        stamp: The prefix that callers put before their keys; empty if the
            shard issues none now.
        stamp_expires_at: New keys with the stamp are accepted until this
            monotonic time, in seconds.
        received_at: Monotonic time of the last report, in seconds.
    """

    shard_id: str
    daemon_id: str
    epoch: int
    free: int
    queued: int
    slots: int
    stamp: str
    stamp_expires_at: float
    received_at: float


@dataclasses.dataclass
class Directory:
    """The shards with a known owner.

    Attributes:
        entries: Entries by shard id.
    """

    entries: dict[str, ShardEntry] = dataclasses.field(default_factory=dict)


def record_load(
    table: Directory, daemon_id: str, load: messages.ShardLoad, now: float
) -> bool:
    """Record the load that an owner reports.

    A report with an epoch older than the known one is ignored, so a replaced
    owner can't reinstate itself.

    Args:
        table: The directory.
        daemon_id: The daemon that sent the report.
        load: The report.
        now: Monotonic time in seconds.

    Returns:
        Whether the shard's owner changed.
    """
    known = table.entries.get(load.shard_id)
    if known and load.epoch < known.epoch:
        return False
    table.entries[load.shard_id] = ShardEntry(
        load.shard_id,
        daemon_id,
        load.epoch,
        load.free,
        load.queued,
        load.slots,
        load.stamp,
        now + load.stamp_expires_s,
        now,
    )
    return known is None or known.daemon_id != daemon_id


def record_owner(
    table: Directory, owner: messages.ShardOwner, now: float
) -> bool:
    """Record an owner that another daemon has named.

    The owner's load is unknown, so it gets no tasks before it reports a load.

    Args:
        table: The directory.
        owner: The owner, with its epoch.
        now: Monotonic time in seconds.

    Returns:
        Whether the entry is new or has a newer epoch.
    """
    known = table.entries.get(owner.shard_id)
    if known and known.epoch >= owner.epoch:
        return False
    table.entries[owner.shard_id] = ShardEntry(
        shard_id=owner.shard_id,
        daemon_id=owner.daemon_id,
        epoch=owner.epoch,
        free=0,
        queued=0,
        slots=owner.slots,
        stamp="",
        stamp_expires_at=now,
        received_at=now,
    )
    return True


def forget_daemon(table: Directory, daemon_id: str) -> None:
    """Delete the entries of all shards of an unreachable daemon."""
    for shard_id in [
        key
        for key, entry in table.entries.items()
        if entry.daemon_id == daemon_id
    ]:
        del table.entries[shard_id]


def forget_disowned_shards(
    table: Directory, daemon_id: str, shard_ids: frozenset[str]
) -> None:
    """Delete the entries of a daemon's shards that it no longer reports.

    Args:
        table: The directory.
        daemon_id: The daemon.
        shard_ids: The shards that it reports as its own.
    """
    for shard_id, entry in list(table.entries.items()):
        if entry.daemon_id == daemon_id and shard_id not in shard_ids:
            del table.entries[shard_id]


def iterate_other_shards(
    table: Directory, shard_id: str
) -> Iterator[ShardEntry]:
    """Yield the entries of all shards except the given one."""
    for entry in table.entries.values():
        if entry.shard_id != shard_id:
            yield entry


def get_data_centre(shard_id: str) -> str:
    """Return the data centre in a shard id (`<data centre>/<number>`)."""
    return shard_id.rpartition("/")[0]


def forget_shard(table: Directory, shard_id: str) -> None:
    """Delete the entry of a shard."""
    table.entries.pop(shard_id, None)
