"""What must hold at any time, judged by what callers and workers have seen."""

from collections.abc import Iterable
import dataclasses

from soak import callers
from standins import site as sites
from standins import site_worker

REFUSED = 429
GIVEN_UP = 504
# A daemon that was disturbed so lately may break a connection off.
DISTURBED_S = 1.0
# A worker that leaves gets no new work after this time.
LEAVING_S = 2.0


@dataclasses.dataclass(frozen=True)
class Span:
    """A time in which a daemon was disturbed.

    Attributes:
        daemon_id: The daemon.
        begin_s: Monotonic time in seconds.
        end_s: Likewise.
    """

    daemon_id: str
    begin_s: float
    end_s: float


@dataclasses.dataclass(frozen=True)
class Leave:
    """A worker that has told the store that it leaves.

    Attributes:
        worker_id: The worker.
        begin_s: When, by the monotonic clock.
        end_s: When it said that it stays after all.
    """

    worker_id: str
    begin_s: float
    end_s: float


def find_late_starts(
    site: sites.Site,
    leaves: Iterable[Leave],
    store_troubles: Iterable[Span],
) -> list[str]:
    """Return a line for each run begun on a worker that had long been leaving.

    Args:
        site: The workers, with the story of each run.
        leaves: The workers that left, and when.
        store_troubles: When the store could not tell.
    """
    troubles = list(store_troubles)
    return [
        f"task {run.task} began on {leave.worker_id}"
        f" {run.began_s - leave.begin_s:.1f} s after it told that it leaves"
        for leave in leaves
        for run in site.workers[leave.worker_id].history
        if leave.begin_s + LEAVING_S < run.began_s < leave.end_s
        and not any(
            t.begin_s < run.began_s and leave.begin_s < t.end_s + DISTURBED_S
            for t in troubles
        )
    ]


def find_broken(
    site: sites.Site,
    calls: Iterable[callers.Call],
    disturbed: Iterable[Span],
) -> list[str]:
    """Return a line for each promise that was broken.

    Args:
        site: The workers, with the story of each run.
        calls: Calls that have ended.
        disturbed: When which daemons were killed, paused or cut off.
    """
    runs = _group_runs(site)
    spans = list(disturbed)
    broken = [
        f"task {task} ran twice at a time: runs {one} and {other}"
        for task, one, other in site.find_overlaps()
    ]
    broken += [
        f"worker {worker.worker_id} held more than it has"
        for worker in site.workers.values()
        if _find_peak_cpu(worker.history) > worker.cpu
    ]
    for call in calls:
        broken += _judge(call, runs.get(call.job_id, []), spans)
    return broken


def _group_runs(site: sites.Site) -> dict[str, list[site_worker.Run]]:
    groups: dict[str, list[site_worker.Run]] = {}
    for worker in site.workers.values():
        for run in worker.history:
            groups.setdefault(run.task.split(".")[0], []).append(run)
    return groups


def _judge(
    call: callers.Call, runs: list[site_worker.Run], spans: list[Span]
) -> list[str]:
    """Return what is wrong with one call."""
    name = f"job {call.job_id} by {call.daemon_id}"
    if call.reply.status == REFUSED and runs:
        return [f"{name}: refused as not run, with {len(runs)} runs"]
    if call.reply.state == "completed":
        done = {run.task for run in runs if run.how == "done"}
        if len(done) < call.tasks:
            return [f"{name}: completed with {len(done)} of {call.tasks} done"]
    is_broken_off = call.reply.status == 0 and not call.has_left
    if is_broken_off and not _was_disturbed(call, spans):
        return [f"{name}: no answer from a daemon that was left in peace"]
    return []


def _was_disturbed(call: callers.Call, spans: list[Span]) -> bool:
    return any(
        span.daemon_id == call.daemon_id
        and span.begin_s <= call.ended_s
        and call.sent_s <= span.end_s + DISTURBED_S
        for span in spans
    )


def _find_peak_cpu(history: list[site_worker.Run]) -> int:
    """Return the most that runs of a worker took together."""
    changes = [(run.began_s, 1, run.cpu) for run in history]
    changes += [
        (run.ended_s, 0, -run.cpu) for run in history if run.ended_s is not None
    ]
    taken = peak = 0
    for _, _, change in sorted(changes):
        taken += change
        peak = max(peak, taken)
    return peak
