"""Process the replies of workers to orders: starts and stops of runs."""

from pollenladder.fleet import entities as fleet
from pollenladder.fleet import health
from pollenladder.jobs import entities as jobs
from pollenladder.scheduling import effects
from pollenladder.scheduling import placement
from pollenladder.scheduling import run_ends
from pollenladder.scheduling import runs
from pollenladder.scheduling import tables
from pollenladder.scheduling import worker_losses

# A worker that answered as another incarnation gets no starts for this time.
OTHER_INCARNATION_PAUSE_S = 0.2


def handle_start_reply(
    region: tables.Region,
    order: effects.StartRun,
    reply: fleet.StartReply,
    now: float,
) -> None:
    """Process the result of an order to start a run."""
    worker = region.workers.get(order.worker_id)
    run = worker.runs.get(order.task) if worker else None
    if run is None or run.number != order.number:
        return
    if reply is fleet.StartReply.STARTED:
        run.confirmed_at = now
        if run.state in (fleet.RunState.STARTING, fleet.RunState.UNCERTAIN):
            run.state = fleet.RunState.RUNNING
        region.record_worker_change(worker)
        return
    region.log_event(
        "start_not_confirmed",
        job=jobs.parse_job_id(run.task),
        task=run.task,
        run=run.number,
        worker=run.worker_id,
        reply=reply.value,
    )
    proof = run_ends.prove_by_rejection(reply)
    if proof is None or run.task in worker.renumbered_runs:
        # A run of the task may be there, with this number or another one.
        _mark_uncertain(region, run)
    else:
        _handle_rejection(region, worker, run, reply, proof, now)
        placement.place(region, now)


def _mark_uncertain(region: tables.Region, run: fleet.Run) -> None:
    """Mark a run whose start got no reply, and poll its worker."""
    if run.state is fleet.RunState.STARTING:
        run.state = fleet.RunState.UNCERTAIN
        region.effects.append(effects.LookNow(run.worker_id))


def _handle_rejection(
    region: tables.Region,
    worker: fleet.Worker,
    run: fleet.Run,
    reply: fleet.StartReply,
    proof: run_ends.Proof,
    now: float,
) -> None:
    """Requeue the task of a run that its worker did not start."""
    _, task = runs.find_task(region, run)
    if reply is fleet.StartReply.NO_ROOM:
        worker.busy_until = now + runs.NO_CAPACITY_PAUSE_S
    elif reply is fleet.StartReply.UNHEALTHY:
        health.record_failure(worker.health, jobs.parse_job_id(run.task), now)
    elif reply is fleet.StartReply.OTHER_INCARNATION:
        worker.busy_until = now + OTHER_INCARNATION_PAUSE_S
    elif reply is fleet.StartReply.NOT_SENT:
        worker_losses.mark_lost(region, worker, now)
    elif reply is fleet.StartReply.OLD_RUN and task is not None:
        task.next_run += runs.RUN_NUMBER_STEP
    if task is not None and reply is not fleet.StartReply.OUTDATED:
        task.avoided_workers.add(run.worker_id)
    runs.release(region, worker, run, proof)
    region.effects.append(effects.LookNow(run.worker_id))


def handle_stop_reply(
    region: tables.Region,
    order: effects.StopRun,
    reply: fleet.StopReply,
    now: float,
) -> None:
    """Process the result of an order to stop a run."""
    worker = region.workers.get(order.worker_id)
    run = worker.runs.get(order.task) if worker else None
    if run is None or run.number != order.number:
        return
    proof = run_ends.prove_by_stop(reply)
    if proof is not None:
        runs.release(region, worker, run, proof)
        placement.place(region, now)
    elif reply is fleet.StopReply.STOPPED:
        # The worker also confirms a stop of a run that it never started. The
        # next poll either reports the end or does not contain the run.
        run.confirmed_at = now
        run.next_stop_at = now + runs.STOP_RETRY_S
        region.effects.append(effects.LookNow(run.worker_id))
