"""Take what workers reply to starts, stops and looks."""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.jobs import estimates
from pollenladder.scheduling import intake
from pollenladder.scheduling import placement
from pollenladder.scheduling import progress
from pollenladder.scheduling import runs
from pollenladder.scheduling import stalls
from pollenladder.scheduling import tables

# Looks without a reply after which a worker gets no new work.
MAX_MISSED_POLLS = 3
OTHER_INCARNATION_PAUSE_S = 0.2


def handle_start_reply(
    region: tables.Region,
    order: tables.StartRun,
    reply: fleet.StartReply,
    now: float,
) -> None:
    """Note what became of an order to start a run."""
    worker = region.workers.get(order.worker_id)
    run = worker.runs.get(order.task) if worker else None
    if run is None or run.number != order.number:
        return
    if reply is fleet.StartReply.STARTED:
        run.confirmed_at = now
        if run.state in (fleet.RunState.STARTING, fleet.RunState.UNCERTAIN):
            run.state = fleet.RunState.RUNNING
        region.note_change(worker)
        return
    region.log_event(
        "start_not_confirmed",
        job=jobs.read_job_id(run.task),
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reply=reply.value,
    )
    if reply is fleet.StartReply.NO_REPLY:
        _doubt(region, run)
    else:
        _take_rejection(region, worker, run, reply, now)
        placement.place(region, now)


def _doubt(region: tables.Region, run: fleet.Run) -> None:
    """Look whether a run is there, as its start got no reply."""
    if run.state is fleet.RunState.STARTING:
        run.state = fleet.RunState.UNCERTAIN
        region.effects.append(tables.LookNow(run.worker_id))


def _take_rejection(
    region: tables.Region,
    worker: fleet.Worker,
    run: fleet.Run,
    reply: fleet.StartReply,
    now: float,
) -> None:
    """Take a run back that the worker has not begun."""
    _, task = runs.find_task(region, run)
    if reply is fleet.StartReply.NO_ROOM:
        worker.busy_until = now + runs.NO_ROOM_PAUSE_S
    elif reply is fleet.StartReply.UNHEALTHY:
        health.record_failure(worker.health, jobs.read_job_id(run.task), now)
    elif reply is fleet.StartReply.OTHER_INCARNATION:
        worker.busy_until = now + OTHER_INCARNATION_PAUSE_S
    elif reply is fleet.StartReply.NOT_SENT:
        worker.is_reachable = False
    elif reply is fleet.StartReply.OLD_RUN and task is not None:
        task.next_run += runs.RUN_NUMBER_STEP
    if task is not None:
        task.avoided.add(run.worker_id)
    runs.release(region, worker, run, reply.value)
    region.effects.append(tables.LookNow(run.worker_id))


def handle_stop_reply(
    region: tables.Region,
    order: tables.StopRun,
    reply: fleet.StopReply,
    now: float,
) -> None:
    """Note what became of an order to stop a run."""
    worker = region.workers.get(order.worker_id)
    run = worker.runs.get(order.task) if worker else None
    if run is None or run.number != order.number:
        return
    if reply is fleet.StopReply.OTHER_INCARNATION:
        runs.release(region, worker, run, reply.value)
        placement.place(region, now)
    elif reply is fleet.StopReply.STOPPED:
        # A later look tells whether it has ended, or never was there.
        run.confirmed_at = now
        run.next_stop_at = now + runs.STOP_RETRY_S
        region.effects.append(tables.LookNow(run.worker_id))


def handle_missed_poll(
    region: tables.Region, worker_id: str, now: float
) -> None:
    """Note that a look got no reply."""
    worker = region.workers.get(worker_id)
    if worker is None:
        return
    worker.missed_polls += 1
    worker.missed_at = now
    if worker.is_reachable and worker.missed_polls >= MAX_MISSED_POLLS:
        worker.is_reachable = False
        region.log_event(
            "worker_lost",
            worker=worker_id,
            missed_looks=worker.missed_polls,
            runs=len(worker.runs),
        )


def handle_fenced(region: tables.Region, worker_id: str) -> None:
    """Note that a worker obeys another owner: its runs are not known here."""
    worker = region.workers.get(worker_id)
    if worker is None:
        return
    worker.is_synced = False
    worker.is_reachable = False
    region.log_event("worker_fenced", worker=worker_id, epoch=region.epoch)


def handle_poll_reply(
    region: tables.Region,
    worker_id: str,
    look: fleet.PollReply,
    sent_at: float,
    now: float,
) -> None:
    """Note what a worker says about its runs.

    Args:
        region: The tables.
        worker_id: The worker.
        look: What it said.
        sent_at: When the look was sent; runs confirmed before must be in it.
        now: Monotonic time in seconds.
    """
    worker = region.workers.get(worker_id)
    if worker is None or _is_outdated(worker, look):
        return
    _greet(region, worker, look, now)
    for ended in look.ended:
        if ended.sequence > worker.cursor:
            worker.cursor = ended.sequence
            _take_end(region, worker, ended, now)
    seen = {}
    for observed in look.running:
        seen[observed.task] = observed.number
        _take_running(region, worker, observed, now)
    _find_lost(region, worker, seen, sent_at, now)
    region.note_change(worker)
    stalls.move_stalled(region, worker, now)
    placement.place(region, now)


def _is_outdated(worker: fleet.Worker, look: fleet.PollReply) -> bool:
    """Return whether a later look has been taken; replies may overtake."""
    is_same = look.started_ms == worker.started_ms
    return is_same and look.clock_s < worker.looked_at_s


def _greet(
    region: tables.Region,
    worker: fleet.Worker,
    look: fleet.PollReply,
    now: float,
) -> None:
    if worker.started_ms and look.started_ms != worker.started_ms:
        worker.cursor = 0
        worker.health = fleet.Health()
        region.log_event(
            "worker_restarted",
            worker=worker.listing.worker_id,
            born_ms=look.started_ms,
            runs=len(worker.runs),
        )
    worker.started_ms = look.started_ms
    worker.looked_at_s = look.clock_s
    worker.clock_ahead_s = look.clock_s - now
    worker.missed_polls = 0
    if not worker.is_reachable:
        region.log_event(
            "worker_reached",
            worker=worker.listing.worker_id,
            runs=len(look.running),
            ends=len(look.ended),
        )
    worker.is_reachable = True
    worker.is_synced = True


def _take_end(
    region: tables.Region,
    worker: fleet.Worker,
    ended: fleet.ObservedEnd,
    now: float,
) -> None:
    run = worker.runs.get(ended.task)
    if run is None or run.number != ended.number:
        if ended.end is fleet.RunEnd.DONE:
            _take_orphan_end(region, ended, now)
        return
    if ended.end is fleet.RunEnd.DONE:
        _take_done(region, worker, run, now)
    elif ended.end is fleet.RunEnd.FAILED:
        _take_failed(region, worker, run, now)
    else:
        runs.release(region, worker, run, ended.end.value)


def _take_orphan_end(
    region: tables.Region, ended: fleet.ObservedEnd, now: float
) -> None:
    """Take a result of an earlier owner's run, or keep it for its job."""
    job = region.jobs.get(jobs.read_job_id(ended.task))
    if job is None:
        region.orphan_ends[ended.task] = now
        return
    index = runs.read_index(ended.task)
    if not 0 <= index < len(job.tasks):
        return
    task = job.tasks[index]
    if task.state is tables.TaskState.WAITING:
        task.state = tables.TaskState.DONE
        intake.finish_if_complete(region, job, now)


def _take_done(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> None:
    job, task = runs.find_task(region, run)
    region.remove_run(worker, run)
    if job is None or task is None:
        if run.is_orphan:
            region.orphan_ends[run.task] = now
        return
    measured_s = now - (run.confirmed_at or run.sent_at)
    _judge_worker(region, worker, job, run, measured_s, now)
    if worker.health.slowness < health.SLOW_FACTOR:
        estimates.record_run(
            region.estimates,
            job.submission.queue,
            job.submission.estimate_s,
            measured_s,
        )
    task.state = tables.TaskState.DONE
    task.took_s = measured_s
    intake.finish_if_complete(region, job, now)


def _judge_worker(
    region: tables.Region,
    worker: fleet.Worker,
    job: tables.Job,
    run: fleet.Run,
    measured_s: float,
    now: float,
) -> None:
    """Compare a run with those of the same job elsewhere, if there are any."""
    usual_s = progress.predict_by_siblings_s(region, job, run.worker_id)
    usual_s = usual_s or run.expected_s
    slowness = measured_s / usual_s if usual_s else 1.0
    health.record_success(worker.health, slowness, now)


def _take_failed(
    region: tables.Region, worker: fleet.Worker, run: fleet.Run, now: float
) -> None:
    job, task = runs.find_task(region, run)
    runs.blame(worker, run, region, now)
    runs.release(region, worker, run, "failed")
    if job is None or task is None:
        return
    task.failures += 1
    task.avoided.add(run.worker_id)
    if task.failures >= job.submission.max_attempts:
        intake.end_job(
            region, job, jobs.Outcome.FAILED, jobs.Reason.TASK_FAILED, now
        )


def _take_running(
    region: tables.Region,
    worker: fleet.Worker,
    observed: fleet.ObservedRun,
    now: float,
) -> None:
    run = worker.runs.get(observed.task)
    if run is None:
        _meet_orphan(region, worker, observed, now)
        return
    if run.number != observed.number:
        region.effects.append(
            tables.StopRun(
                worker.listing.worker_id, observed.task, observed.number
            )
        )
        return
    run.percent = observed.percent
    run.seen_at = now
    run.confirmed_at = run.confirmed_at or now
    if run.state in (fleet.RunState.STARTING, fleet.RunState.UNCERTAIN):
        run.state = fleet.RunState.RUNNING


def _meet_orphan(
    region: tables.Region,
    worker: fleet.Worker,
    observed: fleet.ObservedRun,
    now: float,
) -> None:
    """Take a run that this owner has not started."""
    job = region.jobs.get(jobs.read_job_id(observed.task))
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
        seen_at=now,
        is_orphan=True,
    )
    region.add_run(worker, run)
    index = runs.read_index(observed.task)
    if job is None or not 0 <= index < len(job.tasks):
        return
    task = job.tasks[index]
    if task.state is tables.TaskState.WAITING and runs.adopt_orphan(
        region, job, task
    ):
        intake.finish_if_complete(region, job, now)
        return
    runs.stop(region, run, now)


def _find_lost(
    region: tables.Region,
    worker: fleet.Worker,
    seen: dict[str, int],
    sent_at: float,
    now: float,
) -> None:
    """Settle runs that the worker should have named and did not."""
    for run in list(worker.runs.values()):
        if seen.get(run.task) == run.number:
            continue
        if run.state is fleet.RunState.UNCERTAIN:
            if run.sent_at < sent_at:
                # It may still come; a stop bars it.
                runs.stop(region, run, now)
        elif run.confirmed_at and run.confirmed_at < sent_at:
            runs.release(region, worker, run, "not_there")
