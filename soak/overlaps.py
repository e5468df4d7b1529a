"""Describes concurrent runs of a task by what daemons and callers tell of them."""

from collections.abc import Iterable
from collections.abc import Mapping
import datetime
from typing import Any

from soak import resubmissions
from standins import site as sites
from standins import site_worker

Lines = Mapping[str, Iterable[Mapping[str, Any]]]


def describe(
    overlaps: Iterable[sites.Overlap],
    site: sites.Site,
    requests: Iterable[resubmissions.Request],
    lines: Lines,
    began_s: float,
) -> list[str]:
    """Return a line for each overlap, in order of time.

    Args:
        overlaps: The overlaps.
        site: The site, with the workers of the runs.
        requests: What the callers have sent.
        lines: The log lines of each daemon.
        began_s: The monotonic time from which times are told, in seconds.
    """
    owners = _find_owners(lines)
    by_job: dict[str, list[resubmissions.Request]] = {}
    for request in requests:
        by_job.setdefault(request.job_id, []).append(request)
    described = []
    for found in sorted(overlaps, key=lambda o: o.second.began_s):
        job_id = found.first.task.partition(".")[0]
        runs = [
            _describe_run(run, site, owners, began_s)
            for run in (found.first, found.second)
        ]
        sent = [_describe_request(r, began_s) for r in by_job.get(job_id, ())]
        described.append(
            f"task {found.first.task} had two concurrent runs: {runs[0]};"
            f" {runs[1]}; the job was sent {', '.join(sent)}"
        )
    return described


def collect_history(
    job_id: str, lines: Lines, began_at: datetime.datetime
) -> list[str]:
    """Return what all daemons have logged on a job, in order of time.

    Args:
        job_id: The id of the job.
        lines: The log lines of each daemon.
        began_at: The time from which times are told.
    """
    found = [
        (line["time"], daemon_id, line)
        for daemon_id, logged in lines.items()
        for line in logged
        if line.get("job") == job_id
    ]
    return [
        f"{_compute_second(time, began_at):.3f} s {daemon_id}"
        f" {_format_fields(line)}"
        for time, daemon_id, line in sorted(found, key=lambda row: row[:2])
    ]


def _compute_second(time: str, began_at: datetime.datetime) -> float:
    at = datetime.datetime.fromisoformat(time)
    return (at - began_at).total_seconds()


def _format_fields(line: Mapping[str, Any]) -> str:
    hidden = ("time", "level", "daemon", "event", "job")
    fields = [f"{k}={v}" for k, v in line.items() if k not in hidden]
    return " ".join([line["event"], *fields])


def _find_owners(lines: Lines) -> dict[int, str]:
    return {
        line["epoch"]: f"{daemon_id}, owner of {line['group']}"
        for daemon_id, logged in lines.items()
        for line in logged
        if line["event"] == "ownership_claimed"
    }


def _describe_run(
    run: site_worker.Run,
    site: sites.Site,
    owners: Mapping[int, str],
    began_s: float,
) -> str:
    data_centre = site.workers[run.worker_id].data_centre
    owner = owners.get(run.fence, f"epoch {run.fence}")
    end = "open"
    if run.ended_s is not None:
        end = f"{run.how} at {run.ended_s - began_s:.3f} s"
    return (
        f"run {run.number} on {run.worker_id} in {data_centre} under {owner}"
        f" from {run.began_s - began_s:.3f} s, {end}"
    )


def _describe_request(request: resubmissions.Request, began_s: float) -> str:
    return (
        f"to {request.daemon_id} at {request.sent_s - began_s:.3f} s"
        f" ({request.end or 'open'} at {request.ended_s - began_s:.3f} s)"
    )
