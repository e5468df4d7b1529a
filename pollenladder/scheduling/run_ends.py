"""Proofs that a run is over, without which its task does not start again.

A guess may decide on which worker a task starts next. That it may start again needs a
proof that holds whatever other owners of the same workers do.
"""

import dataclasses
import enum

from pollenladder.fleet import entities as fleet


class Ground(enum.Enum):
    """What shows that a run is over.

    Attributes:
        REPORTED: The worker has reported its end.
        ABSENT: The worker does not report the run any more, and rejects its start.
        NOT_STARTED: The start was rejected, or never sent.
        REPLACED: Another process answers for the worker.
        LEASE_EXPIRED: Every lease that any owner can have granted has expired.
        NOWHERE: No worker has a run of the task: all that are listed have been polled,
            and no other one can have it.
        FIRST_OWNER: No other owner has had the job.
    """

    REPORTED = "reported"
    ABSENT = "absent"
    NOT_STARTED = "not_started"
    REPLACED = "replaced"
    LEASE_EXPIRED = "lease_expired"
    NOWHERE = "nowhere"
    FIRST_OWNER = "first_owner"


@dataclasses.dataclass(frozen=True, slots=True)
class Proof:
    """Proof that a run is over.

    Attributes:
        ground: What shows it.
        reason: How the run ended, for the log.
    """

    ground: Ground
    reason: str


LEASE_EXPIRED = Proof(Ground.LEASE_EXPIRED, "lease_expired")
ABSENT = Proof(Ground.ABSENT, "not_there")
ON_NO_WORKER = Proof(Ground.NOWHERE, "on_no_worker")
FIRST_OWNER = Proof(Ground.FIRST_OWNER, "first_owner")

# The replies that leave open whether the run has started.
_OPEN_REPLIES = (fleet.StartReply.STARTED, fleet.StartReply.NO_REPLY)


def prove_by_report(end: fleet.RunEnd) -> Proof:
    """Return the proof from a worker's report of the end."""
    return Proof(Ground.REPORTED, end.value)


def prove_by_rejection(reply: fleet.StartReply) -> Proof | None:
    """Return the proof from the result of a start, or None if it may have run."""
    if reply in _OPEN_REPLIES:
        return None
    return Proof(Ground.NOT_STARTED, reply.value)


def prove_by_stop(reply: fleet.StopReply) -> Proof | None:
    """Return the proof from the result of a stop, or None if it shows none."""
    if reply is fleet.StopReply.OTHER_INCARNATION:
        return Proof(Ground.REPLACED, reply.value)
    return None
