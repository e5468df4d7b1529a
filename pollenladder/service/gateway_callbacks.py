"""The functions of other components that the gateway calls."""

from collections.abc import Callable
from collections.abc import Sequence
import dataclasses
import math

from pollenladder.cluster import messages
from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the gateway calls.

    Attributes:
        find_owner: Returns the id of the current owner of a group, or "".
        get_ownerless_s: Returns for how long a group has had no owner, in
            seconds; 0 if it has one.
        get_owner_age_s: Returns for how long a group has had its present owner, in
            seconds.
        has_group: Returns whether there is a group of that name.
        count_groups: Returns the number of groups.
        choose_first_group: Returns the group that a job, given by id, first goes
            to, or "". It is given whether the job was not submitted before.
        rank_registrars: Returns the groups whose owners may know where a job, given
            by id, is; the first one that can be asked does.
        reserve: Asks the registrar of a job where it may be; returns False if the
            message cannot arrive.
        choose_group: Returns the next group for a refused job, or "". It is given
            the groups that have refused the job, and whether to choose only a group
            that has room for the job now.
        list_passed_over: Returns the groups that a job, given by id, would have
            gone to before a group.
        tell_runs_elsewhere: Tells the owner of a group that another one may
            execute an attempt; returns False if it cannot arrive.
        find_room: Returns a group that reports room for a whole job, or "". It
            is given the groups that have refused the job, which are returned
            only if no other group has room.
        get_shed_share: Returns the share of new jobs to refuse, 0 to 1, for a
            group.
        submit: Sends a job to a daemon, for a group; returns False if it cannot
            arrive. If it raises anything but `exceptions.EncodingError`, the
            daemon may have the job.
        cancel_attempt: Sends a daemon the cancellation of an attempt, given by job
            id and number, with the reason; returns False if it cannot arrive.
        release: Tells a group that refused an attempt, given by job id and number,
            that the attempt has an answer.
        on_refused_with_room: Called when a job is refused while some group
            reports room for it.
        on_answered: Called with a job's queue, its answer, and the time from
            its arrival to the answer, in seconds.
        find_doubt: Returns why a job, given by its id, that goes to a group may be in
            progress under another owner, or None.
    """

    find_owner: Callable[[str], str]
    get_ownerless_s: Callable[[str], float]
    has_group: Callable[[str], bool]
    count_groups: Callable[[], int]
    choose_first_group: Callable[[str, bool], str]
    rank_registrars: Callable[[str], Sequence[str]]
    reserve: Callable[[messages.Reserve], bool]
    choose_group: Callable[[jobs.Submission, frozenset[str], bool], str]
    list_passed_over: Callable[[str, str], tuple[str, ...]]
    tell_runs_elsewhere: Callable[[messages.RunsElsewhere], bool]
    find_room: Callable[[jobs.Submission, frozenset[str]], str]
    get_shed_share: Callable[[str], float]
    submit: Callable[[str, str, jobs.Submission], bool]
    cancel_attempt: Callable[[str, str, int, jobs.Reason], bool]
    release: Callable[[str, str, int], None]
    on_refused_with_room: Callable[[], None]
    on_answered: Callable[[str, jobs.Answer, float], None]
    find_doubt: Callable[[str, str], doubts.Doubt | None] = (
        lambda job_id, group: None
    )
    get_owner_age_s: Callable[[str], float] = lambda group: math.inf
