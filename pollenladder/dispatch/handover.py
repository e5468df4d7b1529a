"""End the groups that wait for a shard this daemon has lost or hands over."""

from pollenladder.core import verdicts
from pollenladder.dispatch import completion
from pollenladder.dispatch import tables
from pollenladder.membership import leases

# Retry delay of jobs that are refused because the owner leaves or was replaced.
RETRY_AFTER_S = 1.0


def abandon_groups(shard: tables.Shard, now: float) -> list[tables.Effect]:
    """Answer the groups that can't continue because their shard was lost.

    A group whose tasks have all started is left to finish. A job of which no
    task has started is refused, so that its gateway can offer it to the new
    owner; other jobs with waiting tasks fail. A draining owner refuses the
    former and finishes the latter. Waiting tasks of remote batches go back to
    the batch's owner. A job keeps waiting while this daemon may still regain
    the shard in the same epoch.

    Args:
        shard: Any shard of this daemon; all of them share their groups.
        now: Monotonic time in seconds.

    Returns:
        The effects to carry out.
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
            is_owned = home.ownership_is_held(now)
            effects += _abandon_group(home, group, is_owned, now)
    return effects


def _abandon_group(
    home: tables.Shard, group: tables.Group, is_owned: bool, now: float
) -> list[tables.Effect]:
    """Return a remote batch, refuse or fail a job, or leave it waiting.

    Args:
        home: The group's shard, which is lost or draining.
        group: A group with waiting tasks.
        is_owned: Whether this daemon still owns the shard.
        now: Monotonic time in seconds.
    """
    if group.is_remote:
        return completion.return_waiting_tasks(home, group, now)
    if not is_owned and _may_regain(home):
        return []
    if not (group.started or group.offloaded or group.results):
        return _refuse(home, group, is_owned, now)
    if is_owned:
        return []
    reason = verdicts.Reason.OWNER_LOST
    return completion.fail_group(home, group, reason, now)


def _refuse(
    home: tables.Shard, group: tables.Group, is_owned: bool, now: float
) -> list[tables.Effect]:
    reason = verdicts.Reason.NOT_READY
    detail = "the shard has another owner"
    if is_owned:
        reason, detail = verdicts.Reason.DRAINING, "the shard's owner leaves"
    refused = verdicts.Refused(group.job_id, reason, RETRY_AFTER_S, detail)
    return completion.refuse_group(home, group, refused, now)


def _may_regain(home: tables.Shard) -> bool:
    """Return whether this daemon may regain the shard in the same epoch."""
    entry = home.shard_directory.entries.get(home.shard_id)
    replaced = entry is not None and entry.epoch > home.ownership.epoch
    return home.ownership.phase is leases.Phase.EXPIRED and not replaced
