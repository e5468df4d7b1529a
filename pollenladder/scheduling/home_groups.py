"""Choose the group that a job first goes to.

A caller may submit its job again through any gateway, mostly one of its own data
centre. All gateways of a data centre send a job to the same group of that data centre,
so both submissions meet there, also while the data centre is cut off from the others.

Gateways of other data centres learn from the registrar of the job where it is: the
owner of the group that the job's id hashes to over all groups; see `places`.

A group without an owner is passed over if the registrar tells that the job has not been
submitted before, or else once no run can be left there.
"""

from collections.abc import Iterable
from collections.abc import Mapping
from collections.abc import Sequence

from pollenladder.cluster import groups as layouts
from pollenladder.scheduling import attempt_leases
from pollenladder.scheduling import lease_limits
from pollenladder.scheduling import runs
from pollenladder.scheduling import sharing

# Within this time after one gateway, the others lose the same owner too.
LOSS_SPREAD_S = 0.25
# An owner may not know the runs of one that it has followed for less than this time;
# their leases are over by then.
RECENT_CLAIM_S = 2.5


def bound_absence_s(run_limit_s: float) -> float:
    """Return after how long without an owner a group has no run left, in seconds.

    Args:
        run_limit_s: For how long runs go on after the last contact with their
            gateways; see `lease_limits`.
    """
    expired_s = run_limit_s * (1 + runs.MAX_CLOCK_DRIFT)
    return expired_s + lease_limits.ARRIVAL_S + LOSS_SPREAD_S


def bound_earlier_attempt_s(budget_s: float, resubmission_s: float) -> float:
    """Return for how long an earlier attempt of a job may go on, in seconds.

    It counts from the arrival of the job. The earlier attempt began at least the
    resubmission time before, and waits as long as this one. Its gateway may not have
    noticed that its caller has left.

    Args:
        budget_s: How long callers wait for an answer.
        resubmission_s: Time after which a caller submits its job again.
    """
    left_s = max(0.0, budget_s - resubmission_s)
    return left_s + attempt_leases.STOP_ALLOWANCE_S


def rank(job_id: str, groups: Iterable[str], data_centre: str) -> list[str]:
    """Return the groups in the order in which a job may first go to them.

    Args:
        job_id: The job.
        groups: All groups.
        data_centre: The data centre of the gateway.
    """
    ranked = sharing.rank_groups(job_id, groups)
    return sorted(
        ranked, key=lambda name: layouts.get_data_centre(name) != data_centre
    )


def choose_first(
    ranked: Sequence[str], ownerless_s: Mapping[str, float], absence_s: float
) -> str:
    """Return the group that a job first goes to, or "" if there are no groups.

    It may have no owner at present; the job then waits for one.

    Args:
        ranked: All groups, as `rank` returns them.
        ownerless_s: For how long the gateway has followed no owner of each group,
            in seconds; 0 if it follows one.
        absence_s: The time after which a group without an owner is passed over;
            0 if the job has not been submitted before.
    """
    for name in ranked:
        if ownerless_s[name] <= absence_s:
            return name
    return next(iter(ranked), "")


def list_passed_over(ranked: Sequence[str], chosen: str) -> tuple[str, ...]:
    """Return the groups that a job would have gone to before the chosen one.

    Args:
        ranked: All groups, as `rank` returns them.
        chosen: The group that the job goes to.
    """
    if chosen not in ranked:
        return ()
    return tuple(ranked[: ranked.index(chosen)])
