"""Give up what waits for the share of a shard that is lost or given away."""

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import tables
from pollenladder.membership import leases

RETRY_AFTER_S = 1.0


def give_up(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Answer the groups that cannot go on, as their shard was lost.

    Tasks that run already are waited for, so a group ends only if some of it
    still waits. A job of which nothing has begun may go to the new owner; an
    owner that leaves hands on just these, and finishes what has begun.

    Args:
        shard: One of this daemon's shards, which share their groups.
        now: Monotonic time in seconds.
    """
    if not shard.groups:
        return []
    lost = {
        own.shard_id: own
        for own in shard.local_shards.values()
        if own.draining or not own.ownership_is_held(now)
    }
    effects: list[tables.Effect] = []
    for group in list(shard.groups.values()):
        if group.shard_id in lost and group.waiting:
            home = lost[group.shard_id]
            is_held = home.ownership_is_held(now)
            effects += _give_up_group(home, group, is_held, now)
    return effects


def _give_up_group(
    home: tables.Shard, group: tables.Group, is_held: bool, now: float
) -> list[tables.Effect]:
    if group.is_remote:
        return completion.hand_back_waiting(home, group, now)
    if not is_held and _may_regain(home):
        return []
    if not (group.started or group.offloaded or group.results):
        return _refuse(home, group, is_held, now)
    if is_held:
        return []
    reason = verdicts.Reason.OWNER_LOST
    return completion.fail_group(home, group, reason, now)


def _refuse(
    home: tables.Shard, group: tables.Group, is_held: bool, now: float
) -> list[tables.Effect]:
    reason = verdicts.Reason.NOT_READY
    detail = "the shard has another owner"
    if is_held:
        reason, detail = verdicts.Reason.DRAINING, "the shard's owner leaves"
    refused = verdicts.Refused(group.job_id, reason, RETRY_AFTER_S, detail)
    return completion.refuse_group(home, group, refused, now)


def _may_regain(home: tables.Shard) -> bool:
    """Return whether the shard may still be owned again in the same epoch."""
    entry = home.shard_directory.entries.get(home.shard_id)
    replaced = entry is not None and entry.epoch > home.ownership.epoch
    return home.ownership.phase is leases.Phase.EXPIRED and not replaced
