"""Why it may be doubtful which owner executes an attempt."""

import enum


class Doubt(enum.Enum):
    """What has made the place of an attempt doubtful.

    Attributes:
        LINK_CHANGED: The link between its gateway and its owner has ended, or was
            made again.
        PEER_LOST: The link to another daemon was lost shortly before, while it was
            open, or soon after. That daemon may follow another owner, which starts
            another attempt of the job.
        MOVED: Its gateway forwards it to another owner.
        GATEWAY_LOST: Its owner has removed it, as the gateway was silent or did not
            confirm it.
        ANSWERED_ELSEWHERE: Another owner has answered it.
        REJECTED: An owner has told its gateway that it does not have it.
        SECOND_ATTEMPT: There are two attempts of its job, or its caller has sent
            the job again to the same gateway.
        FORWARDED_AGAIN: Another owner may have begun the job.
        CLAIMED_AGAIN: Its owner has claimed the group again.
        RESIGNED: Its owner has resigned.
        RUN_ADOPTED: A run that this owner has not started continues for it.
        RUN_UNCLAIMED: A run of the job was found that no job of the owner needs.
        RUNS_LEFT: Its runs are not known to be over, some time after its end.
        DEADLINE: It has ended at its deadline, after its job may have begun.
        HOME_GROUP_PASSED_OVER: No owner of the group that the job would go to first
            is known, and another group has the job.
    """

    LINK_CHANGED = "link_changed"
    PEER_LOST = "peer_lost"
    MOVED = "moved"
    GATEWAY_LOST = "gateway_lost"
    ANSWERED_ELSEWHERE = "answered_elsewhere"
    REJECTED = "rejected"
    SECOND_ATTEMPT = "second_attempt"
    FORWARDED_AGAIN = "forwarded_again"
    CLAIMED_AGAIN = "claimed_again"
    RESIGNED = "resigned"
    RUN_ADOPTED = "run_adopted"
    RUN_UNCLAIMED = "run_unclaimed"
    RUNS_LEFT = "runs_left"
    DEADLINE = "deadline"
    HOME_GROUP_PASSED_OVER = "home_group_passed_over"


# Many attempts have such a doubt at once, and few are in another group.
_WEAK = frozenset({Doubt.PEER_LOST})


def is_urgent(found: dict[Doubt, float] | None) -> bool:
    """Return whether an attempt with some doubts is told before others."""
    return bool(found) and not _WEAK.issuperset(found)


def format_doubts(
    found: dict[Doubt, float] | None, now: float
) -> dict[str, float]:
    """Return how long ago each doubt came up, in seconds, by its value."""
    return {
        doubt.value: round(now - at, 3) for doubt, at in (found or {}).items()
    }


def format_age(at: float | None, now: float) -> float | None:
    """Return how long ago something was, in seconds; None if it never was."""
    return None if at is None else round(now - at, 3)
