"""Process the replies of workers to polls."""

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crashes
from pollenladder.scheduling import effects
from pollenladder.scheduling import job_ends
from pollenladder.scheduling import learned_state
from pollenladder.scheduling import placement
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import run_learning
from pollenladder.scheduling import runs
from pollenladder.scheduling import stalls
from pollenladder.scheduling import tables
from pollenladder.scheduling import worker_losses

# Consecutive polls without a reply after which a worker is unreachable and gets
# no new runs.
MAX_MISSED_POLLS = 3
# An order that was sent to an earlier process of a worker arrives within this time.
ORDER_ARRIVAL_S = 0.35


def handle_missed_poll(
    region: tables.Region,
    worker_id: str,
    now: float,
    cause: fleet.MissedPoll = fleet.MissedPoll.NO_REPLY,
) -> None:
    """Record that a poll got no reply.

    Args:
        region: The region.
        worker_id: The worker's id.
        now: Monotonic time in seconds.
        cause: What the missed poll tells about the worker's process.
    """
    worker = region.workers.get(worker_id)
    if worker is None:
        return
    worker.missed_polls += 1
    worker.last_missed_at = now
    worker.missed_causes |= {cause}
    if worker.missed_polls >= MAX_MISSED_POLLS:
        worker_losses.mark_lost(region, worker, now)
    if cause is fleet.MissedPoll.REPLACED:
        handle_process_end(region, worker_id, fleet.ProcessEnd.REPLACED, now)


def handle_process_end(
    region: tables.Region,
    worker_id: str,
    evidence: fleet.ProcessEnd,
    now: float,
) -> None:
    """Record that the process of an unreachable worker has ended."""
    worker = region.workers.get(worker_id)
    if worker is None or worker.is_reachable:
        return
    if evidence is fleet.ProcessEnd.REPLACED:
        crashes.prove_loss(region, worker, now)
    crashes.record_crash(region, worker, evidence, now)


def handle_fenced(region: tables.Region, worker_id: str) -> None:
    """Record that a worker follows another owner, so its runs are unknown."""
    worker = region.workers.get(worker_id)
    if worker is None:
        return
    worker.is_synced = False
    worker.is_reachable = False
    region.log_event("worker_fenced", worker=worker_id, epoch=region.epoch)


def handle_poll_reply(
    region: tables.Region,
    worker_id: str,
    reply: fleet.PollReply,
    sent_at: float,
    now: float,
) -> None:
    """Process the runs and ends that a worker reports.

    Args:
        region: The region.
        worker_id: The worker's id.
        reply: The worker's reply.
        sent_at: When the poll was sent, monotonic. The reply must contain every
            run that was confirmed before.
        now: Monotonic time in seconds.
    """
    worker = region.workers.get(worker_id)
    if worker is None or _is_outdated(worker, reply):
        return
    _update_connection(region, worker, reply, now)
    for ended in reply.ended:
        if ended.sequence > worker.cursor:
            worker.cursor = ended.sequence
            region.decide(
                effects.Decision.RUN_END,
                ended.task,
                _handle_end,
                region,
                worker,
                ended,
                now,
            )
    seen = {}
    worker.renumbered_runs.clear()
    for observed in reply.running:
        seen[observed.task] = observed.number
        region.decide(
            effects.Decision.RUN_REPORT,
            observed.task,
            _handle_running,
            region,
            worker,
            observed,
            now,
        )
    region.decide(
        effects.Decision.MISSING_RUNS,
        worker_id,
        _handle_missing_runs,
        region,
        worker,
        seen,
        sent_at,
        now,
    )
    region.record_worker_change(worker)
    region.decide(
        effects.Decision.STALLS,
        worker_id,
        stalls.move_stalled_runs,
        region,
        worker,
        now,
    )
    placement.place(region, now)


def _is_outdated(worker: fleet.Worker, reply: fleet.PollReply) -> bool:
    """Return whether a later reply was processed first."""
    is_same = reply.started_ms == worker.started_ms
    return is_same and reply.clock_s < worker.polled_clock_s


def _update_connection(
    region: tables.Region,
    worker: fleet.Worker,
    reply: fleet.PollReply,
    now: float,
) -> None:
    """Record that a worker is reachable, and whether it has restarted."""
    crashes.settle_loss(region, worker, reply.started_ms, now)
    if worker.started_ms and reply.started_ms != worker.started_ms:
        worker.cursor = 0
        # The worker cuts a lease by the clock of its earlier process to the longest.
        latest_order_s = reply.clock_s + ORDER_ARRIVAL_S
        worker.lease_until_s = latest_order_s + region.max_lease_s
        worker.granted_until_s = 0.0
        worker.health = fleet.Health()
        # The process may run on another machine now.
        worker.speed = fleet.SpeedEstimate()
        crashes.record_crash(region, worker, fleet.ProcessEnd.REPLACED, now)
        region.log_event(
            "worker_restarted",
            worker=worker.listing.worker_id,
            born_ms=reply.started_ms,
            runs=len(worker.runs),
        )
    worker.started_ms = reply.started_ms
    learned_state.apply_inherited_speed(region, worker)
    worker.polled_clock_s = reply.clock_s
    worker.clock_ahead_s = reply.clock_s - now
    worker.missed_polls = 0
    if not worker.is_reachable:
        region.log_event(
            "worker_reached",
            worker=worker.listing.worker_id,
            runs=len(reply.running),
            ends=len(reply.ended),
        )
    worker_losses.mark_reached(region, worker, now)
    if not worker.is_synced:
        _record_earlier_leases(region, worker)
    worker.is_synced = True


def _record_earlier_leases(region: tables.Region, worker: fleet.Worker) -> None:
    """Record how long the leases may last that an earlier owner has granted.

    From its first reply on, a worker obeys no earlier owner. Leases never shorten,
    so they also apply to the runs that this owner starts.
    """
    latest_s = worker.polled_clock_s + region.max_lease_s
    worker.lease_until_s = max(worker.lease_until_s, latest_s)


def _handle_end(
    region: tables.Region,
    worker: fleet.Worker,
    ended: fleet.ObservedEnd,
    now: float,
) -> None:
    run = worker.runs.get(ended.task)
    if run is None or run.number != ended.number:
        if ended.end is fleet.RunEnd.DONE:
            _handle_orphan_end(region, ended, now)
        return
    if ended.end is fleet.RunEnd.DONE:
        _handle_done(region, worker, run, now)
    elif ended.end is fleet.RunEnd.FAILED:
        _handle_failed(region, worker, run, now)
    else:
        runs.release(region, worker, run, run_ends.prove_by_report(ended.end))


def _handle_orphan_end(
    region: tables.Region, ended: fleet.ObservedEnd, now: float
) -> None:
    """Use the completion of an unknown run, or keep it for its job."""
    job = region.jobs.get(jobs.parse_job_id(ended.task))
    if job is None:
        region.orphan_ends[ended.task] = now
        return
    index = runs.parse_task_index(ended.task)
    if not 0 <= index < len(job.tasks):
        return
    task = job.tasks[index]
    if task.state is tables.TaskState.WAITING:
        task.state = tables.TaskState.DONE
        job_ends.finish_if_complete(region, job, now)


def _handle_done(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> None:
    job, task = runs.find_task(region, run)
    region.remove_run(worker, run)
    if job is None or task is None:
        if run.is_orphan:
            region.orphan_ends[run.task] = now
        return
    task.state = tables.TaskState.DONE
    # The job is answered even if nothing can be learned from the run.
    region.decide(
        effects.Decision.LEARNING,
        run.task,
        run_learning.learn_from_run,
        region,
        worker,
        job,
        task,
        run,
        now,
    )
    job_ends.finish_if_complete(region, job, now)


def _handle_failed(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> None:
    job, task = runs.find_task(region, run)
    runs.attribute_failure(worker, run, region, now)
    proof = run_ends.prove_by_report(fleet.RunEnd.FAILED)
    runs.release(region, worker, run, proof)
    if job is None or task is None:
        return
    task.failed_runs |= {run.number}
    task.avoided_workers.add(run.worker_id)
    if len(task.failed_runs) >= job.submission.max_attempts:
        job_ends.end_job(
            region, job, jobs.Outcome.FAILED, jobs.Reason.TASK_FAILED, now
        )


def _handle_running(
    region: tables.Region,
    worker: fleet.Worker,
    observed: fleet.ObservedRun,
    now: float,
) -> None:
    run = worker.runs.get(observed.task)
    if run is None:
        _add_orphan(region, worker, observed, now)
        return
    if run.number != observed.number:
        worker.renumbered_runs.add(observed.task)
        region.effects.append(
            effects.StopRun(
                worker.listing.worker_id, observed.task, observed.number
            )
        )
        return
    run.percent = observed.percent
    run.percent_at = now
    run.confirmed_at = run.confirmed_at or now
    if run.state in (fleet.RunState.STARTING, fleet.RunState.UNCERTAIN):
        run.state = fleet.RunState.RUNNING


def _add_orphan(
    region: tables.Region,
    worker: fleet.Worker,
    observed: fleet.ObservedRun,
    now: float,
) -> None:
    """Add a run that this owner has not started.

    If its job is known, the run is assigned to its task, or stopped if the task
    does not need it.
    """
    job = region.jobs.get(jobs.parse_job_id(observed.task))
    resources = job.resources if job else jobs.Resources()
    run = fleet.Run(
        task=observed.task,
        number=observed.number,
        worker_id=worker.listing.worker_id,
        resources=resources,
        state=fleet.RunState.RUNNING,
        sent_at=now,
        expected_s=job.expected_s if job else 0.0,
        confirmed_at=now,
        percent=observed.percent,
        percent_at=now,
        is_orphan=True,
        is_start_known=False,
        claim_by=now + runs.ORPHAN_GRACE_S,
    )
    region.add_run(worker, run)
    index = runs.parse_task_index(observed.task)
    if job is None or not 0 <= index < len(job.tasks):
        return
    task = job.tasks[index]
    if task.state is tables.TaskState.WAITING and runs.adopt_orphan(
        region, job, task
    ):
        job_ends.finish_if_complete(region, job, now)
        return
    runs.stop(region, run, now)


def _handle_missing_runs(
    region: tables.Region,
    worker: fleet.Worker,
    seen: dict[str, int],
    sent_at: float,
    now: float,
) -> None:
    """Process runs that a poll reply should have contained but did not.

    Args:
        region: The region.
        worker: The worker.
        seen: Run numbers that the worker reported, by task name.
        sent_at: When the poll was sent, monotonic.
        now: Monotonic time in seconds.
    """
    for run in list(worker.runs.values()):
        if run.task in seen:
            # A run of the task is there, even if under another number.
            continue
        if run.state is fleet.RunState.UNCERTAIN:
            if run.sent_at < sent_at:
                # The start order may still arrive. A stop makes the worker
                # reject it.
                runs.stop(region, run, now)
        elif run.confirmed_at and run.confirmed_at < sent_at:
            runs.release(region, worker, run, run_ends.ABSENT)
