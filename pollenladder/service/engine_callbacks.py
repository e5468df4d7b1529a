"""The functions of other components that the engine calls."""

from collections.abc import Callable
import dataclasses

from pollenladder.jobs import doubts
from pollenladder.jobs import entities as jobs


@dataclasses.dataclass(frozen=True)
class Callbacks:
    """The functions that the engine calls.

    Attributes:
        answer: Called with a gateway's id and a job's final answer.
        on_fenced: Called with the id of a worker that has seen a higher epoch.
        report_crashes: Called with a gateway's id, a job's id, the number of the
            attempt, and the crashes under the job's tasks.
        get_lag_s: Returns the mean lag of the event loop, in seconds.
        count: Adds one to the counter of a kind of decision.
        count_failure: Adds one to the counter of a kind of failure of workers.
        reject_attempt: Called with a gateway's id, a job's id and the number of an
            attempt that has ended, as the gateway was silent.
        list_read_times: Returns when the last bytes from each linked daemon were
            read, by id.
        find_doubt: Returns why a job, given by its id, may be in progress under
            another owner, or None.
    """

    answer: Callable[[str, jobs.Answer], None]
    on_fenced: Callable[[str], None]
    get_lag_s: Callable[[], float]
    count: Callable[[str], None]
    count_failure: Callable[[str], None] = lambda failure: None
    report_crashes: Callable[
        [str, str, int, tuple[jobs.TaskCrashes, ...]], None
    ] = lambda gateway_id, job_id, attempt, crashes: None
    reject_attempt: Callable[[str, str, int], None] = (
        lambda gateway_id, job_id, attempt: None
    )
    list_read_times: Callable[[], dict[str, float]] = dict
    find_doubt: Callable[[str], doubts.Doubt | None] = lambda job_id: None
