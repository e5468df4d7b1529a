"""Which daemon owns each shard, and how loaded each was when last heard of."""

from collections.abc import Iterator
import dataclasses

from pollenladder.wire import messages


@dataclasses.dataclass
class ShardEntry:
    """One shard's owner and load.

    Attributes:
        shard_id: The shard.
        daemon_id: Its owner.
        epoch: The owner's epoch.
        free: Slots believed free: as last heard, less what was sent since.
        queued: Tasks that waited there when last heard of.
        slots: Slots of its usable workers.
        stamp: What callers put before their keys; empty if not ready.
        stamp_expires_at: Until when new keys with the stamp are accepted.
        received_at: When it was last heard of.
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
    """Shards with a known owner, by shard id."""

    entries: dict[str, ShardEntry] = dataclasses.field(default_factory=dict)


def record_load(
    table: Directory, daemon_id: str, load: messages.ShardLoad, now: float
) -> bool:
    """Take in what an owner tells; return whether the shard's owner changed.

    A load with an older epoch than known is left out, so an owner that has
    been replaced cannot bring itself back.
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
    """Take in hearsay on an owner; return whether it is news.

    Nothing is known of its load, so it gets no tasks before it tells.
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
    """Drop the shards of a daemon that cannot be reached."""
    for shard_id in [
        key
        for key, entry in table.entries.items()
        if entry.daemon_id == daemon_id
    ]:
        del table.entries[shard_id]


def forget_disowned_shards(
    table: Directory, daemon_id: str, shard_ids: frozenset[str]
) -> None:
    """Drop the shards that a daemon no longer says it owns."""
    for shard_id, entry in list(table.entries.items()):
        if entry.daemon_id == daemon_id and shard_id not in shard_ids:
            del table.entries[shard_id]


def iterate_others(table: Directory, shard_id: str) -> Iterator[ShardEntry]:
    """Yield the entries of all shards but one."""
    for entry in table.entries.values():
        if entry.shard_id != shard_id:
            yield entry


def get_data_centre(shard_id: str) -> str:
    """Return the data centre of a shard."""
    return shard_id.rpartition("/")[0]


def forget_shard(table: Directory, shard_id: str) -> None:
    """Drop what is known of a shard's owner."""
    table.entries.pop(shard_id, None)
