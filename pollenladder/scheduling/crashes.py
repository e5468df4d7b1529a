"""Tasks that crash the workers that start them.

A crashed worker does not report which of its tasks was the cause. Tasks that crash
workers do so soon after their start, so the last ones that the worker had started are
suspected. A suspected task is started once more, alone on a worker (`isolation`). The
other tasks of the worker are started again like any other task.

Each count rests on evidence (`fleet.ProcessEnd`). A process that answers again has not
crashed, so whatever was counted is taken back. How a job ends because of the counts is
decided in `crash_outcomes`.

Once tasks of a queue are known to crash workers (`crash_evidence`), its suspected tasks
are given up after the first crash. Trying each of them again would cost one more
worker each.
"""

from pollenladder.fleet import entities as fleet
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import crash_outcomes
from pollenladder.scheduling import crash_records
from pollenladder.scheduling import effects
from pollenladder.scheduling import lost_runs
from pollenladder.scheduling import tables


def is_crash_possible(worker: fleet.Worker) -> bool:
    """Return whether the end of a worker's process would be a crash under runs.

    A draining worker ends its process as announced, so none of its tasks is
    suspected.
    """
    return (
        bool(worker.runs)
        and not worker.has_crash_recorded
        and not worker.listing.is_draining
    )


def record_crash(
    region: tables.Region,
    worker: fleet.Worker,
    evidence: fleet.ProcessEnd,
    now: float,
) -> None:
    """Record that the process of a worker has ended, with all of its runs.

    Args:
        region: The region.
        worker: The worker.
        evidence: What the end is concluded from.
        now: Monotonic time in seconds.
    """
    if not is_crash_possible(worker):
        return
    worker.has_crash_recorded = True
    lost = lost_runs.list_lost(region, worker, now)
    if not lost:
        return
    region.count_failure(effects.Failure.WORKER_CRASHED)
    region.log_event(
        "worker_crashed",
        worker=worker.listing.worker_id,
        evidence=evidence.value,
        runs=len(worker.runs),
    )
    suspects = lost_runs.choose_suspects(region, lost, evidence, now)
    for loss in lost:
        _count_loss(loss)
    for loss in suspects:
        _suspect(region, loss, now)
    queues = {loss.queue for loss in suspects}
    # A task that runs alone on its worker is there by choice, not by chance.
    is_isolated = worker.isolated_task in worker.runs
    rates = {} if is_isolated else _measure_rates(region)
    gains = region.crashes.add_evidence(queues, rates, now)
    if evidence is fleet.ProcessEnd.CLOSED:
        _keep_loss(region, worker, lost, suspects, True, gains, now)
    _blame(region, worker, queues, now)
    _report(region, lost)
    _give_up_lost(region, lost, now)


def record_silent_loss(
    region: tables.Region, worker: fleet.Worker, now: float
) -> None:
    """Record that the leases of the runs on an unreachable worker have expired.

    The worker may have crashed, or it may be partitioned from this daemon.
    """
    lost = lost_runs.list_lost(region, worker, now)
    if not lost:
        return
    evidence = fleet.ProcessEnd.REPLACED
    recent = lost_runs.choose_suspects(region, lost, evidence, now)
    for loss in lost:
        _count_loss(loss)
    _keep_loss(region, worker, lost, recent, False, {}, now)
    _report(region, lost)
    _give_up_lost(region, lost, now)


def settle_loss(
    region: tables.Region, worker: fleet.Worker, started_ms: int, now: float
) -> None:
    """Process that a worker that was lost answers again.

    The same process has not crashed, so whatever was counted is taken back. Another
    one proves that the process has ended.

    Args:
        region: The region.
        worker: The worker.
        started_ms: Start time of the process that answers.
        now: Monotonic time in seconds.
    """
    loss = region.crashes.losses.pop(worker.listing.worker_id, None)
    if loss is None:
        return
    if loss.started_ms == started_ms:
        _withdraw_loss(region, worker, loss, now)
    else:
        _prove_loss(region, worker, loss, now)


def prove_loss(region: tables.Region, worker: fleet.Worker, now: float) -> None:
    """Process that another process answers at the address of a lost worker."""
    loss = region.crashes.losses.pop(worker.listing.worker_id, None)
    if loss is not None:
        _prove_loss(region, worker, loss, now)


def _withdraw_loss(
    region: tables.Region,
    worker: fleet.Worker,
    loss: crash_records.WorkerLoss,
    now: float,
) -> None:
    worker_id = worker.listing.worker_id
    region.crashes.withdraw(worker_id, loss, now)
    for found in loss.tasks:
        counts = found.counts
        counts.lost_workers = max(0, counts.lost_workers - 1)
        if found.is_suspected:
            counts.suspicions = max(0, counts.suspicions - 1)
            region.log_event(
                "suspicion_withdrawn",
                job=found.job_id,
                task=jobs.format_task_name(found.job_id, found.task_index),
                worker=worker_id,
                suspicions=counts.suspicions,
            )
        job = region.jobs.get(found.job_id)
        if job is not None:
            _report_job(region, job)


def _prove_loss(
    region: tables.Region,
    worker: fleet.Worker,
    loss: crash_records.WorkerLoss,
    now: float,
) -> None:
    """Suspect the last tasks of a worker that was lost in silence.

    The tasks of a crash that was found at once are suspected already.
    """
    suspects = [
        found
        for found in loss.tasks
        if found.is_recent and not found.is_suspected
    ]
    if not suspects or worker.listing.is_draining:
        return
    names = [
        jobs.format_task_name(found.job_id, found.task_index)
        for found in suspects
    ]
    region.count_failure(effects.Failure.WORKER_CRASHED)
    region.log_event(
        "crash_found_late", worker=worker.listing.worker_id, tasks=names
    )
    for found in suspects:
        found.counts.suspicions += 1
    queues = {found.queue for found in suspects}
    region.crashes.add_evidence(queues, _measure_rates(region), now)
    _blame(region, worker, queues, now)
    for found in suspects:
        job = region.jobs.get(found.job_id)
        if job is None:
            continue
        _report_job(region, job)
        task = job.tasks[found.task_index]
        if _needs_restart(region, task):
            crash_outcomes.give_up(region, job, task, now)


def _keep_loss(
    region: tables.Region,
    worker: fleet.Worker,
    lost: list[lost_runs.LostRun],
    recent: list[lost_runs.LostRun],
    are_suspected: bool,
    gains: dict[str, float],
    now: float,
) -> None:
    """Keep what was counted until the worker's process is known to run or not."""
    tasks = [
        crash_records.TaskLoss(
            job_id=loss.job_id,
            task_index=loss.task_index,
            queue=loss.queue,
            counts=loss.counts,
            is_suspected=are_suspected and loss in recent,
            is_recent=loss in recent,
        )
        for loss in lost
    ]
    region.crashes.losses[worker.listing.worker_id] = crash_records.WorkerLoss(
        worker.started_ms, now, tasks, gains
    )


def _count_loss(loss: lost_runs.LostRun) -> None:
    loss.counts.lost_workers += 1
    if loss.job is not None:
        loss.job.has_lost_workers = True


def _give_up_lost(
    region: tables.Region, lost: list[lost_runs.LostRun], now: float
) -> None:
    """End the jobs whose lost tasks must not be started again."""
    for loss in lost:
        if loss.job is not None:
            task = loss.job.tasks[loss.task_index]
            crash_outcomes.give_up(region, loss.job, task, now)


def _blame(
    region: tables.Region,
    worker: fleet.Worker,
    queues: set[str],
    now: float,
) -> None:
    """Record the queues of the suspected tasks as the cause of a crash."""
    worker_id = worker.listing.worker_id
    region.crashes.mark_down(worker_id, queues, min(now, worker.lost_at))
    for queue in region.crashes.find_crashing(queues, now):
        region.log_event(
            "queue_crashes_workers",
            queue=queue,
            group=region.group,
            workers_down=len(region.crashes.down[queue]),
        )
        give_up_waiting(region, queue, now)


def give_up_waiting(region: tables.Region, queue: str, now: float) -> None:
    """Give up the suspected tasks of a queue that would be started again."""
    for job in list(region.jobs.values()):
        if not job.has_lost_workers or job.submission.queue != queue:
            continue
        for task in job.tasks:
            if _needs_restart(region, task):
                crash_outcomes.give_up(region, job, task, now)


def _needs_restart(region: tables.Region, task: tables.Task) -> bool:
    """Return whether a task waits, or has a run on a lost worker."""
    if task.state is not tables.TaskState.PLACED:
        return task.state is tables.TaskState.WAITING
    worker = region.workers.get(task.worker_id)
    return worker is None or not worker.is_reachable


def _measure_rates(region: tables.Region) -> dict[str, float]:
    """Return how often a worker's last runs include one of a queue, by queue."""
    counts: dict[str, int] = {}
    busy = 0
    for worker in region.workers.values():
        found = [run for run in worker.runs.values() if run.kind]
        if not found:
            continue
        busy += 1
        for queue in {run.kind for run in lost_runs.list_recent(found)}:
            counts[queue] = counts.get(queue, 0) + 1
    return {queue: count / busy for queue, count in counts.items()}


def _suspect(
    region: tables.Region, loss: lost_runs.LostRun, now: float
) -> None:
    run = loss.run
    loss.counts.suspicions += 1
    region.log_event(
        "task_suspected",
        job=loss.job_id,
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        queue=loss.queue,
        suspicions=loss.counts.suspicions,
        age_s=round(now - run.sent_at, 4),
    )


def _report(region: tables.Region, lost: list[lost_runs.LostRun]) -> None:
    """Tell the gateways, so that the next owner knows of the crashes."""
    affected = {loss.job_id: loss.job for loss in lost if loss.job is not None}
    for job in affected.values():
        _report_job(region, job)


def _report_job(region: tables.Region, job: tables.Job) -> None:
    found = list_crashes(job)
    for attempt in job.attempts.values():
        report = effects.ReportCrashes(
            attempt.gateway_id,
            job.submission.job_id,
            attempt.number,
            found,
        )
        region.effects.append(report)


def list_crashes(job: tables.Job) -> tuple[jobs.TaskCrashes, ...]:
    """Return the crashes under a job's tasks, for the next owner."""
    return tuple(
        jobs.TaskCrashes(
            task.index,
            task.crashes.suspicions,
            task.crashes.lost_workers,
        )
        for task in job.tasks
        if task.crashes.lost_workers
    )
